package peer

import (
	"context"
	"net"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
)

// configControl is a control thread that answers every question with one
// configuration.
type configControl struct {
	current config.Configuration
}

func (c configControl) Ask(context.Context, control.Question) (control.Decision, *code.Error) {
	return control.ConfigAnswer{Current: c.current}, nil
}

func (configControl) Tell(control.Message) bool { return true }

// TestExchangeBytes guards against an exchange of digests that grows by more
// than half a byte per member before base64 encoding. It prints the sizes that
// docs/CAPACITY.md lists.
func TestExchangeBytes(t *testing.T) {
	bytesFor := func(members int) int64 {
		var bytesPerExchange int64
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			response := maxSizeDigest(true)
			response.LastSeenAges = response.LastSeenAges[:members]
			client, written, _ := newPipeClient(ctx, response)
			defer client.Close()
			request := maxSizeDigest(false)
			request.LeavingReports, request.Quarantine = nil, nil
			const exchanges = 20
			for range exchanges {
				if _, err := client.Digest(ctx, "n2", request); err != nil {
					t.Fatal(err)
				}
			}
			bytesPerExchange = written.Load() / exchanges
		})
		return bytesPerExchange
	}
	smallest := bytesFor(10)
	for _, members := range []int{10, 100, 340} {
		bytesPerExchange := bytesFor(members)
		t.Logf("%d members: %d bytes an exchange without lists, %d bytes/s", members, bytesPerExchange, 4*bytesPerExchange)
		// In base64, half a byte takes two thirds of a byte.
		if bound := smallest + int64(members); bytesPerExchange > bound {
			t.Errorf("%d members: %d bytes an exchange, want at most %d", members, bytesPerExchange, bound)
		}
	}
}

// TestConfigBytes guards against a peer that cannot transfer a configuration of
// the maximum size. It prints the sizes that docs/CAPACITY.md lists.
func TestConfigBytes(t *testing.T) {
	for _, size := range []int{300_000, 1_000_000} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			line := "org-0001 = rate=10 burst=20 token-rate=20000 token-burst=400000 ; M. Tasker\n"
			current := config.Configuration{Version: 2, ApplyID: "a", Author: "M. Tasker", Text: []byte(strings.Repeat(line, size/len(line)))}
			client, written, _ := newPipeClientTo(ctx, configControl{current})
			defer client.Close()
			received, err := client.Config(ctx, "n2")
			if err != nil || len(received.Current.Text) != len(current.Text) {
				t.Fatalf("%d bytes of rules, error %v", len(received.Current.Text), err)
			}
			t.Logf("%d bytes of rules: 2 calls, %d bytes", len(current.Text), written.Load())
		})
	}
}

// BenchmarkDigest measures one exchange of digests with 340 members over
// net.Pipe, including encoding and decoding on both sides.
func BenchmarkDigest(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client, _, _ := newPipeClient(ctx, maxSizeDigest(true))
	defer client.Close()
	request := maxSizeDigest(false)
	b.ReportAllocs()
	for range b.N {
		if _, err := client.Digest(ctx, "n2", request); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkConnections reports the heap and stack memory in bytes of one
// outgoing and one incoming peer connection over loopback. Each iteration opens
// 339 of both.
func BenchmarkConnections(b *testing.B) {
	const peers = 339
	for range b.N {
		ctx, cancel := context.WithCancel(context.Background())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = NewServer(fakeControl{maxSizeDigest(true)}).Serve(ctx, listener) }()
		client := NewClient(func(ctx context.Context, network, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, listener.Addr().String())
		}, nil)
		before := memoryInUse()
		for i := range peers {
			if _, err := client.Digest(ctx, strconv.Itoa(i), maxSizeDigest(false)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/peers, "B/peer")
		client.Close()
		cancel()
	}
}

// memoryInUse returns the bytes of heap and stack memory in use after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
