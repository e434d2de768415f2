package process_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/core/event"
	"tanagerspread/node/process"
	"tanagerspread/node/settings"
	"tanagerspread/platform"
	"tanagerspread/standin/deployed"
	"tanagerspread/standin/pipe"
)

const (
	storeAddress = "10.0.0.1:1"
	testHost     = "calls.example"
	testKey      = "secret-key-marker"
	// testMaxConcurrency is the concurrency limit of a server.
	testMaxConcurrency = 6
	// testRetryWindow is the time over which the repeats of calls are counted.
	testRetryWindow = 10 * time.Second
)

// deployedSite is a metadata store with servers and nodes, connected in memory
// and running in virtual time.
type deployedSite struct {
	t       *testing.T
	network *pipe.Network
	store   *deployed.Store
	// plan sets how the servers treat their next calls.
	plan    *deployed.Plan
	version int
	mu      sync.Mutex
	// storeUnreachable has the nodes that cannot reach the store.
	storeUnreachable map[string]bool
	// cacheStore is the address of a cache store, or empty.
	cacheStore string
	// maxBodyBytes is the configured limit on bodies, or 0.
	maxBodyBytes int64
	// calls is the number of calls so far, which is part of the id of each.
	calls atomic.Int64
	// nodeMemoryBytes is the memory of each node.
	nodeMemoryBytes int64
	// unfenced is true when the servers do not enforce fencing tokens.
	unfenced bool
	// isolated is true when the tenant shares no cached parts with others.
	isolated bool
	// callTimeout is the time limit of the routes.
	callTimeout time.Duration
	cleanups    []func()
}

// runAtSite runs a test at a site without a configuration.
func runAtSite(t *testing.T, test func(*deployedSite)) {
	synctest.Test(t, func(t *testing.T) {
		site := &deployedSite{t: t, network: pipe.NewNetwork(), store: deployed.NewStore(), plan: &deployed.Plan{}, storeUnreachable: map[string]bool{}, nodeMemoryBytes: 1 << 30, callTimeout: 5 * time.Second}
		site.serve(storeAddress, site.store.Handler())
		test(site)
		for _, cleanup := range site.cleanups {
			cleanup()
		}
	})
}

func (s *deployedSite) serve(address string, handler http.Handler) {
	server := &http.Server{Handler: handler}
	listener := s.network.Listen(address)
	go func() { _ = server.Serve(listener) }()
	s.cleanups = append(s.cleanups, func() { _ = server.Close() })
}

// writeConfiguration writes a newer version with all kinds of routes. It returns
// when the store has acknowledged the version.
func (s *deployedSite) writeConfiguration(keys ...string) {
	s.version += 3
	s.store.Configure(deployed.Configuration{
		Version: s.version, Host: testHost, Timeout: s.callTimeout, TargetLatency: 500 * time.Millisecond, Tenant: "derwent", Keys: keys,
		CacheStoreAddress: s.cacheStore, MaxBodyBytes: s.maxBodyBytes, Isolated: s.isolated,
	})
}

// startServer starts a server and writes its entry to the store.
func (s *deployedSite) startServer(id string, events int) *deployed.Server {
	server := deployed.NewServer(id, events)
	server.Plan = s.plan
	address := fmt.Sprintf("10.0.1.%d:1", len(s.cleanups))
	s.serve(address, server.Handler())
	s.store.RegisterServer(server, address, "ready", testMaxConcurrency)
	return server
}

// deployedNode is one running node.
type deployedNode struct {
	site      *deployedSite
	address   string
	readiness string
	signals   chan os.Signal
	done      chan error
	log       *logBuffer
	// kill ends the process without a planned stop.
	kill context.CancelFunc
}

// logBuffer collects the log of a node. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends to the log.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startNode starts a node in failure domain "a". Seeds are the peer addresses of other
// nodes.
func (s *deployedSite) startNode(name string, seeds ...string) *deployedNode {
	return s.startNodeIn("a", name, seeds...)
}

// startNodeIn starts a node in a failure domain.
func (s *deployedSite) startNodeIn(domain, name string, seeds ...string) *deployedNode {
	n := &deployedNode{
		site: s, address: name + ":callers", readiness: name + ":ready",
		signals: make(chan os.Signal, 2), done: make(chan error, 1), log: &logBuffer{},
	}
	nodeSettings := &platform.Settings{
		Node: name, Domain: domain, IP: name, CallerAddress: n.address, ReadinessAddress: n.readiness, PeerAddress: name + ":peers", LastPort: 7715,
		Seeds: seeds, StoreAddress: storeAddress, MemoryBytes: s.nodeMemoryBytes, ContactTime: contactTime, StopGrace: testStopGrace, LeaseTTL: 3 * time.Second,
		ServersEnforceFencing: !s.unfenced, RetryRatio: 0.2, RetryWindow: testRetryWindow, RetrySlack: 50, OutdatedWeightsLimit: 12 * time.Second,
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	n.kill = cancel
	options := process.DeployedOptions{
		Settings: nodeSettings, Tuning: settings.DefaultTuning(), Log: n.log, LogLevel: event.LevelInfo, Signals: n.signals,
		ReloadSettings: func() (*platform.Settings, []platform.Fault) { return nodeSettings, nil },
		Listen:         func(_, address string) (net.Listener, error) { return s.network.Listen(address), nil },
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == storeAddress && s.isStoreUnreachable(name) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return s.network.Dial(ctx, network, address)
		},
	}
	go func() { n.done <- process.RunDeployed(ctx, options) }()
	s.cleanups = append([]func(){func() {
		cancel()
		if err := <-n.done; err != nil && !errors.Is(err, context.Canceled) {
			s.t.Errorf("node %s: %v", name, err)
		}
	}}, s.cleanups...)
	return n
}

func (s *deployedSite) setStoreUnreachable(node string, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeUnreachable[node] = unreachable
}

func (s *deployedSite) isStoreUnreachable(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeUnreachable[node]
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// incomplete is true when no complete response arrived.
	incomplete bool
}

// call sends a call with testKey on a new connection.
func (n *deployedNode) call(method, path string, header http.Header, body string) reply {
	n.site.t.Helper()
	got, err := n.tryCall(method, path, header, body)
	if err != nil {
		n.site.t.Fatal(err)
	}
	return got
}

// tryCall is call for any goroutine: it returns an error when the call cannot be encoded.
func (n *deployedNode) tryCall(method, path string, header http.Header, body string) (reply, error) {
	transport := &http.Transport{DialContext: n.site.network.Dial, DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(n.site.t.Context(), method, "http://x"+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	transport.DialContext = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return n.site.network.Dial(ctx, network, n.address)
	}
	request.Host = testHost
	request.Header = deployed.Call{ID: fmt.Sprintf("attempt-%d", n.site.calls.Add(1)), Key: testKey, Deadline: 3 * time.Second}.Header()
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{incomplete: true}, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), incomplete: err != nil}, nil
}

// waitForSync waits for 1 s, in which the nodes receive the entries of the store.
func waitForSync() {
	time.Sleep(time.Second)
	synctest.Wait()
}

// waitForRepeats waits until a node that has just started may use its share of the
// repeats that all nodes share.
func waitForRepeats() {
	time.Sleep(testRetryWindow)
	synctest.Wait()
}
