package process_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/pprof"
	"strings"
	"syscall"
	"testing"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
	"tanagerspread/core/config"
	"tanagerspread/node/confkv"
	"tanagerspread/node/process"
	"tanagerspread/node/settings"
	standinengine "tanagerspread/standin/engine"
	standinkv "tanagerspread/standin/kv"
	standinvmlist "tanagerspread/standin/vmlist"
)

// The size of the platform and of the load.
const (
	loadServers       = 1000
	loadOrganisations = 1400
	// loadInterval is the time between two requests: 7 requests a second.
	loadInterval = time.Second / 7
	// loadTokens is the number of generated tokens of one request.
	loadTokens = 300
	// loadPromptBytes is a prompt of about 20,000 tokens.
	loadPromptBytes = 80_000
	// loadTokenInterval is the time between two tokens.
	loadTokenInterval = 40 * time.Millisecond
)

// loadRules returns rules of the target size, with one token for each
// organisation.
func loadRules() string {
	var b strings.Builder
	b.WriteString("[classes]\nurgent = priority=0 queue=100 ; M. Tasker\n[organisations]\n")
	for i := range loadOrganisations {
		fmt.Fprintf(&b, "organisation-%04d = rate=1000/s burst=1000 token-rate=20000000/s token-burst=40000000 ; M. Tasker, ticket 20260101-%04d\n", i, i)
	}
	b.WriteString("[tokens]\n")
	for i := range loadOrganisations {
		fmt.Fprintf(&b, "%x = organisation=organisation-%04d ; M. Tasker, ticket 20260101-%04d\n", sha256.Sum256(fmt.Append(nil, token, i)), i, i)
	}
	b.WriteString("[models]\nm = weights=1 class=urgent ; M. Tasker\n")
	return b.String()
}

// startLoadPlatform starts a key-value service, a VM list of the target size and
// one engine, whose address all servers of the list have. It returns the
// addresses of the service and of the list.
func startLoadPlatform(t testing.TB) (string, string) {
	t.Helper()
	service := standinkv.NewStore(standinkv.Options{})
	data, err := confkv.Encode(config.Configuration{Version: 1, ApplyID: "a", Author: "M. Tasker", Text: []byte(loadRules())})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := service.Put(t.Context(), kv.Write{Key: confkv.KeyCurrent, Value: data, Expected: kv.Absent}); err != nil {
		t.Fatal(err)
	}
	backend := httptest.NewServer(standinengine.New(t.Context(), standinengine.Options{PrefillRate: 1e7, TokenInterval: loadTokenInterval, Slots: 1000}).Handler())
	t.Cleanup(backend.Close)
	list := standinvmlist.New(0)
	for i := range loadServers {
		serves := "m"
		if i > loadServers/10 {
			serves = fmt.Sprintf("m%d", i%10)
		}
		list.Set(vmlist.VM{ID: fmt.Sprintf("engine-vm-%04d", i), Address: backend.Listener.Addr().String(), Domain: "hobart-a", Role: "engine", Serves: serves, Weights: 1, State: vmlist.StateLive})
	}
	list.Set(vmlist.VM{ID: "n1", Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:1", Domain: "hobart-a", Role: "entry", State: vmlist.StateLive})
	var addresses []string
	for _, handler := range []http.Handler{service.Handler(), list.Handler()} {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return addresses[0], addresses[1]
}

// startLoadNode starts a node whose goroutines carry the profiler label
// part=node, so that a profile distinguishes them from the stand-ins and the
// caller.
func startLoadNode(t testing.TB) *testNode {
	s := &testNode{t: t, done: make(chan error, 1)}
	keyValue, list := startLoadPlatform(t)
	addresses := make(chan string, 3)
	options := process.Options{
		Settings: &settings.Settings{
			Node: "n1", Domain: "hobart-a", DrainDelay: 100 * time.Millisecond, MaxBodyBytes: 1 << 20, ServerSlots: 64, LogLevel: "info",
			KeyValue: keyValue, VMList: list,
		},
		Log: io.Discard,
		Listen: func(string, string) (net.Listener, error) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err == nil {
				addresses <- listener.Addr().String()
			}
			return listener, err
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	go pprof.Do(ctx, pprof.Labels("part", "node"), func(ctx context.Context) { s.done <- process.Run(ctx, options) })
	t.Cleanup(func() {
		cancel()
		if err := <-s.done; !errors.Is(err, context.Canceled) {
			t.Errorf("the process ended with %v", err)
		}
	})
	s.callers, s.operators = <-addresses, <-addresses
	for ready := false; !ready; {
		status, _, _ := s.do(http.MethodGet, s.callers+"/readyz", "", "")
		ready = status == http.StatusOK
	}
	return s
}

// cpuTime returns the processor time of the whole test process.
func cpuTime(t testing.TB) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure calls run and reports the processor time that the whole test process
// used meanwhile, in percent of one core, and the heap in bytes after it.
func measure(b *testing.B, run func()) {
	b.Helper()
	cpuBefore, measureStart := cpuTime(b), time.Now()
	run()
	b.ReportMetric(100*(cpuTime(b)-cpuBefore).Seconds()/time.Since(measureStart).Seconds(), "%core")
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	b.ReportMetric(float64(stats.HeapAlloc), "B/heap")
}

// BenchmarkIdleNode measures a node without requests. An operation is 1/7 s.
// In a profile of -cpuprofile, the label part=node separates the node from the
// stand-ins in the same process.
func BenchmarkIdleNode(b *testing.B) {
	startLoadNode(b)
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	b.ResetTimer()
	measure(b, func() {
		for range b.N {
			<-ticker.C
		}
	})
}

// BenchmarkBusyNode measures a node that streams 7 requests of 300 tokens a
// second. An operation is one request.
func BenchmarkBusyNode(b *testing.B) {
	s := startLoadNode(b)
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	results := make(chan error, b.N)
	b.ResetTimer()
	measure(b, func() {
		for i := range b.N {
			<-ticker.C
			go func() { results <- s.streamCompletion(i) }()
		}
		for range b.N {
			if err := <-results; err != nil {
				b.Error(err)
			}
		}
	})
}

func (s *testNode) streamCompletion(i int) error {
	prompt := fmt.Sprintf("%d ", i) + strings.Repeat("sand ", loadPromptBytes/5)
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "stream": true, "max_tokens": loadTokens})
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+s.callers+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", fmt.Sprintf("Bearer %s%d", token, i%loadOrganisations))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, error %w", response.StatusCode, err)
	}
	if got := strings.Count(string(data), "data: "); got < loadTokens {
		return fmt.Errorf("%d events, want at least %d", got, loadTokens)
	}
	return nil
}
