package peer

import (
	"context"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
	"tanagerspread/standin/pipe"
)

// controlBytesPerSecond is the bandwidth that a node may use for control
// messages, in bytes per second.
const controlBytesPerSecond = 3000

// fakeControl is a control thread that answers every question with one digest.
type fakeControl struct {
	digest membership.Digest
}

func (f fakeControl) Ask(context.Context, control.Question) (control.Decision, *code.Error) {
	return control.DigestAnswer{Digest: f.digest}, nil
}

func (fakeControl) Tell(control.Message) bool { return true }

// countingConn counts the bytes written. It discards them while unresponsive is
// true.
type countingConn struct {
	net.Conn
	written      *atomic.Int64
	unresponsive *atomic.Bool
}

func (c countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	if c.unresponsive.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// newPipeClient returns a client whose connections lead to a server over
// net.Pipe, the counter of the bytes that both ends write, and a function that
// makes the connections opened so far unresponsive. The server answers with the
// digest.
func newPipeClient(ctx context.Context, digest membership.Digest) (*Client, *atomic.Int64, func()) {
	return newPipeClientTo(ctx, fakeControl{digest})
}

// newPipeClientTo is newPipeClient with a server of the given control thread.
func newPipeClientTo(ctx context.Context, thread ControlThread) (*Client, *atomic.Int64, func()) {
	written := &atomic.Int64{}
	var unresponsiveFlags []*atomic.Bool
	server := NewServer(thread)
	client := NewClient(func(context.Context, string, string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		unresponsive := &atomic.Bool{}
		unresponsiveFlags = append(unresponsiveFlags, unresponsive)
		go server.serveConn(ctx, countingConn{serverEnd, written, unresponsive})
		return countingConn{clientEnd, written, unresponsive}, nil
	}, nil)
	return client, written, func() {
		for _, unresponsive := range unresponsiveFlags {
			unresponsive.Store(true)
		}
	}
}

// maxSizeDigest returns the largest digest of a fleet of the target size: the
// one in a response, which has the ages of 340 members, or the one in a request,
// which has full lists of leaving reports and quarantine statuses.
func maxSizeDigest(response bool) membership.Digest {
	d := membership.Digest{Node: "entry-vm-0340", Incarnation: 1_780_000_000_000, State: "ready", Version: 266450, NewestVersion: 266451, ConfirmationAge: 3 * time.Second, MemberListID: 1 << 31}
	if response {
		for i := range 340 {
			d.LastSeenAges = append(d.LastSeenAges, uint8(i%membership.MaxAgeSeconds))
		}
		return d
	}
	d.ConfirmationAge = membership.UnknownConfirmation
	d.WantsNamedWeights = true
	for i := range membership.MaxPeriodicItems {
		d.LeavingReports = append(d.LeavingReports, membership.LeavingReport{Server: fmt.Sprintf("engine-vm-%04d", i), Address: "10.200.100.100:8000", Age: 59 * time.Second})
		d.Quarantine = append(d.Quarantine, membership.QuarantineStatus{
			Fingerprint: quarantine.Fingerprint{byte(i)}, Kind: quarantine.Quarantined, Server: fleet.ServerID(fmt.Sprintf("engine-vm-%04d", i)), ExpiresIn: quarantine.QuarantineTTL,
		})
	}
	return d
}

// TestDigestBytes guards against digests that exceed the bandwidth for control
// messages in a fleet of the target size. Each second, a node starts an exchange
// with two peers and answers two.
func TestDigestBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		client, written, _ := newPipeClient(ctx, maxSizeDigest(true))
		defer client.Close()
		const exchanges = 100
		for range exchanges {
			if _, err := client.Digest(ctx, "n2", maxSizeDigest(false)); err != nil {
				t.Fatal(err)
			}
		}
		bytesPerExchange := written.Load() / exchanges
		t.Logf("%d bytes an exchange, %d bytes/s with four exchanges a second", bytesPerExchange, 4*bytesPerExchange)
		if 4*bytesPerExchange > controlBytesPerSecond {
			t.Errorf("%d bytes/s, budget %d", 4*bytesPerExchange, controlBytesPerSecond)
		}
	})
}

// TestUnresponsiveConnection guards against a client that keeps using a
// connection whose peer has stopped responding.
func TestUnresponsiveConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		client, _, makeUnresponsive := newPipeClient(ctx, membership.Digest{Node: "n2"})
		defer client.Close()
		if err := client.Ping(ctx, "n2"); err != nil {
			t.Fatal(err)
		}
		makeUnresponsive()
		start := time.Now()
		if err := client.Ping(ctx, "n2"); err != nil {
			t.Errorf("ping after the replacement: %v", err)
		}
		if waited := time.Since(start); waited != pingTimeout {
			t.Errorf("replaced after %v, want %v", waited, pingTimeout)
		}
	})
}

// TestNamedWeightsInDigest guards against ages of named weights that are lost, raised,
// negative or overflow after a digest was encoded, and against a list without a bound.
func TestNamedWeightsInDigest(t *testing.T) {
	var digest membership.Digest
	digest.WantsNamedWeights = true
	for i := range membership.MaxNamedWeights + 1 {
		digest.NamedWeights = append(digest.NamedWeights, membership.NamedWeights{Model: "m", Version: i, Age: time.Second + 900*time.Microsecond})
	}
	encoded := digestToWire(digest)
	encoded.NamedWeights[1].AgeMS = -1
	encoded.NamedWeights[2].AgeMS = math.MaxInt64
	decoded := digestFromWire(encoded)
	if !decoded.WantsNamedWeights || len(decoded.NamedWeights) != membership.MaxNamedWeights-1 {
		t.Fatalf("got %+v, want %d named weights", decoded, membership.MaxNamedWeights-1)
	}
	if got := decoded.NamedWeights[0]; got != (membership.NamedWeights{Model: "m", Version: 0, Age: time.Second}) {
		t.Errorf("got %+v, want an age of 1 s", got)
	}
	if got := decoded.NamedWeights[1].Age; got < time.Minute {
		t.Errorf("got an age of %s for a very large one", got)
	}
}

// TestPartReportsInDigest guards against reports about prompt parts that are changed or lost
// when a digest is encoded, and against malformed ones and lists without a bound.
func TestPartReportsInDigest(t *testing.T) {
	var digest membership.Digest
	for i := range quarantine.MaxDigestEntries + 1 {
		id := quarantine.PartID(strconv.Itoa(i))
		digest.Parts.Crashes = append(digest.Parts.Crashes, membership.PartCrash{Part: id, Server: "s", Age: 1500 * time.Millisecond, Depth: 2})
		digest.Parts.Proofs = append(digest.Parts.Proofs, membership.PartAge{Part: id, Age: time.Second})
		digest.Parts.Quarantined = append(digest.Parts.Quarantined, membership.PartAge{Part: id, Age: time.Minute})
	}
	encoded := digestToWire(digest)
	encoded.PartCrashes[1].AgeMS = -1
	encoded.PartCrashes[2].Part = strings.Repeat("x", maxPartIDBytes+1)
	encoded.PartCrashes[3].Server = ""
	encoded.PartProofs[1].AgeMS = math.MaxInt64
	encoded.QuarantinedParts[1] = "60 "
	decoded := digestFromWire(encoded).Parts
	if len(decoded.Crashes) != quarantine.MaxDigestEntries-3 || len(decoded.Proofs) != quarantine.MaxDigestEntries-1 || len(decoded.Quarantined) != quarantine.MaxDigestEntries-1 {
		t.Fatalf("%d crashes, %d proofs, %d quarantined parts", len(decoded.Crashes), len(decoded.Proofs), len(decoded.Quarantined))
	}
	if decoded.Crashes[0] != digest.Parts.Crashes[0] || decoded.Proofs[0] != digest.Parts.Proofs[0] || decoded.Quarantined[0] != digest.Parts.Quarantined[0] {
		t.Errorf("got %+v", decoded)
	}
}

// TestPeerConnectionsBounded guards against peers that take descriptors which the
// connections of callers need.
func TestPeerConnectionsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipe.NewNetwork()
		server := NewServer(fakeControl{})
		server.MaxConnections = 2
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		listener := network.Listen("peers")
		go func() { done <- server.Serve(ctx, listener) }()
		open := 0
		for range 3 {
			client := NewClient(network.Dial, nil)
			defer client.Close()
			if client.call(ctx, "peers", methodPing, pingTimeout, struct{}{}, nil) == nil {
				open++
			}
		}
		if open != 2 {
			t.Errorf("%d connections are served, want 2", open)
		}
		cancel()
		if err := <-done; err == nil {
			t.Error("the server ended without an error of its listener")
		}
	})
}
