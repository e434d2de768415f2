package process_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/standin/deployed"
)

// TestForwardedCall guards against a call that is changed when it is forwarded,
// a key that is passed to the server, and system headers that a caller sets.
func TestForwardedCall(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		server := s.startServer("i-1", 0)
		s.writeConfiguration(testKey)
		n := s.startNode("n1")
		waitForSync()
		got := n.call("POST", "/lookup/x%2Fy/?q=%20a", http.Header{
			"X-Caller": {"kept"}, "Tenant": {"another"}, "Cache-Salt": {"stolen"}, "Hold": {"1"}, "Kv-From": {"1.2.3.4:5/6"},
		}, "the body")
		if got.status != http.StatusOK || got.body != "answer of i-1 to attempt-1" || got.header.Get("Server-Seal") != "seal-i-1" {
			t.Fatalf("got %+v", got)
		}
		received := server.Received()
		if len(received) != 1 {
			t.Fatalf("the server received %d calls", len(received))
		}
		r := received[0]
		if r.Method != "POST" || r.URI != "/lookup/x%2Fy/?q=%20a" || r.Host != testHost || r.Body != "the body" {
			t.Errorf("received %+v", r)
		}
		want := map[string]string{
			"X-Caller": "kept", "Tenant": "derwent", "Expect-Instance": "i-1", "Request-Attempt-Id": "attempt-1",
			"Api-Key": "", "Cache-Salt": "", "Hold": "", "Kv-From": "",
		}
		for name, value := range want {
			if r.Header.Get(name) != value {
				t.Errorf("header %s is %q, want %q", name, r.Header.Get(name), value)
			}
		}
		if strings.Contains(n.log.String(), testKey) {
			t.Error("the log shows the key")
		}
	})
}

// TestOutcomeOfServerFaults guards against a second run of a call that must not
// be repeated, and against a call that is reported as not run although it ran.
func TestOutcomeOfServerFaults(t *testing.T) {
	cases := []struct {
		path      string
		behaviour deployed.Behaviour
		// wantStatus is the status for the caller when the first server behaves
		// so, wantCalls the number of calls that servers receive.
		wantStatus, wantCalls int
	}{
		{"/charge/", deployed.Shed, 200, 2},
		{"/charge/", deployed.CloseConnection, 502, 1},
		{"/charge/", deployed.MismatchID, 502, 1},
		{"/charge/", deployed.Hang, 504, 1},
		{"/charge/", deployed.InternalError, 500, 1},
		{"/charge/", deployed.Unframed, 200, 1},
		{"/charge/", deployed.RefuseOther, 502, 1},
		{"/charge/", deployed.RefuseUnnamed, 502, 1},
		{"/charge/", deployed.Unavailable, 502, 1},
		{"/lookup/", deployed.Unavailable, 200, 2},
		{"/lookup/", deployed.RefuseOther, 200, 2},
		{"/lookup/", deployed.RefuseUnnamed, 200, 2},
		{"/lookup/", deployed.Shed, 200, 2},
		{"/lookup/", deployed.CloseConnection, 200, 2},
		{"/lookup/", deployed.MismatchID, 200, 2},
		{"/lookup/", deployed.Hang, 200, 2},
		{"/lookup/", deployed.InternalError, 200, 2},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %d", strings.Trim(c.path, "/"), c.behaviour), func(t *testing.T) {
			runAtSite(t, func(s *deployedSite) {
				servers := []*deployed.Server{s.startServer("i-1", 0), s.startServer("i-2", 0)}
				s.writeConfiguration(testKey)
				n := s.startNode("n1")
				waitForRepeats()
				first := n.call("GET", "/lookup/", nil, "")
				if first.status != http.StatusOK {
					t.Fatalf("the first call got %+v", first)
				}
				before := receivedCalls(servers)
				s.plan.SetNext(c.behaviour)
				got := n.call("POST", c.path, nil, "x")
				if got.status != c.wantStatus || got.incomplete {
					t.Errorf("got %+v, want status %d", got, c.wantStatus)
				}
				if calls := receivedCalls(servers) - before; calls != c.wantCalls {
					t.Errorf("%d calls reached a server, want %d", calls, c.wantCalls)
				}
			})
		})
	}
}

func receivedCalls(servers []*deployed.Server) int {
	count := 0
	for _, server := range servers {
		count += len(server.Received())
	}
	return count
}

// TestConfigurationFromStore guards against a node without a configuration that
// does not refuse calls with status 503 and Retry-After, and against a revoked
// key that is still accepted.
func TestConfigurationFromStore(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		s.startServer("i-1", 0)
		n := s.startNode("n1")
		waitForSync()
		if got := n.call("GET", "/nowhere/", nil, ""); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("without a configuration: %+v", got)
		}
		s.writeConfiguration(testKey, "other")
		waitForSync()
		for path, status := range map[string]int{"/lookup/": 200, "/nowhere/": 404} {
			if got := n.call("GET", path, nil, ""); got.status != status {
				t.Errorf("%s: got %d, want %d", path, got.status, status)
			}
		}
		s.writeConfiguration("other")
		waitForSync()
		if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusUnauthorized {
			t.Errorf("with a revoked key: %d", got.status)
		}
	})
}

// TestStalledWatch guards against a node that keeps an old configuration or a
// draining server while the watches of the store deliver nothing.
func TestStalledWatch(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		server := s.startServer("i-1", 0)
		s.startServer("i-2", 0)
		s.writeConfiguration(testKey, "other")
		nodes := []*deployedNode{s.startNode("n1"), s.startNode("n2"), s.startNode("n3")}
		waitForSync()
		waitForSync()
		s.store.SetWatchesStalled(true)
		s.store.RegisterServer(server, "10.0.1.1:1", "draining", testMaxConcurrency)
		time.Sleep(1900 * time.Millisecond)
		for _, n := range nodes {
			for range 4 {
				n.call("GET", "/lookup/", nil, "")
			}
		}
		if got := len(server.Received()); got != 0 {
			t.Errorf("the draining server received %d calls", got)
		}
		s.writeConfiguration("other")
		time.Sleep(1900 * time.Millisecond)
		for i, n := range nodes {
			if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusUnauthorized {
				t.Errorf("node %d: got %d with a revoked key", i+1, got.status)
			}
		}
	})
}

// TestNodeWithoutStore guards against a node that cannot reach the store and
// does not receive the configuration from its peers, even when it starts in this
// state.
func TestNodeWithoutStore(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		s.startServer("i-1", 0)
		s.writeConfiguration(testKey)
		n1 := s.startNode("n1", "n2:peers")
		n2 := s.startNode("n2", "n1:peers")
		waitForSync()
		waitForSync()
		s.setStoreUnreachable("n2", true)
		s.store.SetErrorStatus(0)
		s.writeConfiguration("other")
		time.Sleep(3 * time.Second)
		for _, n := range []*deployedNode{n1, n2} {
			if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusUnauthorized {
				t.Errorf("%s: got %d with a revoked key", n.address, got.status)
			}
		}
		s.setStoreUnreachable("n3", true)
		n3 := s.startNode("n3", "n1:peers")
		time.Sleep(3 * time.Second)
		if got := n3.call("GET", "/nowhere/", nil, ""); got.status != http.StatusNotFound {
			t.Errorf("a node that starts without the store: got %d", got.status)
		}
	})
}

// TestHistoryDropped guards against a node that does not list the entries again
// after the store has dropped the history of its watch.
func TestHistoryDropped(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		s.startServer("i-1", 0)
		s.writeConfiguration(testKey, "other")
		n := s.startNode("n1")
		waitForSync()
		s.writeConfiguration("other")
		s.store.CompactHistory()
		waitForSync()
		waitForSync()
		if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusUnauthorized {
			t.Errorf("with a revoked key: %d", got.status)
		}
	})
}

// TestUnchangedConfigurationReads guards against a node that reads an unchanged
// configuration repeatedly after the store has dropped its history.
func TestUnchangedConfigurationReads(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		s.startServer("i-1", 0)
		s.writeConfiguration(testKey)
		s.store.Put("servers/i-9", "later")
		s.startNode("n1")
		waitForSync()
		s.store.CompactHistory()
		waitForSync()
		before := s.store.Calls("/kv-key")
		time.Sleep(20 * time.Second)
		if got := s.store.Calls("/kv-key") - before; got > 8 {
			t.Errorf("%d reads of single keys in 20 s", got)
		}
	})
}

// TestServerEntries guards against calls to servers that have left or whose entry
// is unusable, and against servers that are removed while the store is
// unreachable.
func TestServerEntries(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		first := s.startServer("i-1", 0)
		s.startServer("i-2", 0)
		s.store.PutBytes("servers/i-3", []byte("\xff not JSON"))
		s.store.Put("servers/i-4", map[string]any{"service": "desk", "state": "odd", "address": 7})
		s.writeConfiguration(testKey)
		n := s.startNode("n1")
		waitForSync()
		countServed := func() int {
			served := 0
			for range 6 {
				if n.call("GET", "/lookup/", nil, "").status == http.StatusOK {
					served++
				}
			}
			return served
		}
		if got := countServed(); got != 6 {
			t.Errorf("%d of 6 calls served with unusable entries in the store", got)
		}
		s.store.Remove("servers/i-1")
		waitForSync()
		before := len(first.Received())
		countServed()
		if got := len(first.Received()); got != before {
			t.Error("a server whose entry was removed received calls")
		}
		s.store.SetErrorStatus(http.StatusServiceUnavailable)
		time.Sleep(5 * time.Second)
		if got := countServed(); got != 6 {
			t.Errorf("%d of 6 calls served while the store was unreachable", got)
		}
	})
}

// TestServerMissingAfterStoreFailure guards against a server that is removed
// before it has had time to write its entry again after a failure of the store,
// and against a missing server that is never removed.
func TestServerMissingAfterStoreFailure(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		server := s.startServer("i-1", 0)
		s.writeConfiguration(testKey)
		n := s.startNode("n1")
		waitForSync()
		s.store.SetErrorStatus(http.StatusServiceUnavailable)
		time.Sleep(4 * time.Second)
		s.store.Remove("servers/i-1")
		s.store.SetErrorStatus(0)
		time.Sleep(1500 * time.Millisecond)
		if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusOK {
			t.Errorf("shortly after the failure of the store: %+v", got)
		}
		time.Sleep(4 * time.Second)
		before := len(server.Received())
		n.call("GET", "/lookup/", nil, "")
		if got := len(server.Received()); got != before {
			t.Error("a server whose entry did not return still received calls")
		}
	})
}

// TestDeployedStop guards against a planned stop that aborts a call, and against
// a stopping node that stays ready.
func TestDeployedStop(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		s.startServer("i-1", 0)
		s.writeConfiguration(testKey)
		n := s.startNode("n1")
		waitForSync()
		if got := readiness(n); got != http.StatusOK {
			t.Errorf("readiness %d", got)
		}
		s.plan.SetNext(deployed.Hang)
		replies := make(chan reply, 1)
		go func() { replies <- n.call("POST", "/charge/", nil, "x") }()
		synctest.Wait()
		n.signals <- syscall.SIGTERM
		time.Sleep(time.Second)
		if got := readiness(n); got != http.StatusServiceUnavailable {
			t.Errorf("readiness %d after the signal", got)
		}
		if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusOK {
			t.Errorf("a call within the drain delay: %+v", got)
		}
		if got := <-replies; got.status != http.StatusGatewayTimeout {
			t.Errorf("the call in progress got %+v", got)
		}
		if err := <-n.done; err != nil {
			t.Error(err)
		}
		n.done <- nil
	})
}

// TestReadyUntilStopped guards against nodes that all become unready at once: a
// node that has a configuration stays ready until its planned stop, no matter
// what is unreachable.
func TestReadyUntilStopped(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		server := s.startServer("i-1", 0)
		s.writeConfiguration(testKey)
		nodes := []*deployedNode{s.startNode("n1", "n2:peers"), s.startNode("n2", "n1:peers")}
		waitForSync()
		expectReady := func(condition string) {
			t.Helper()
			for _, n := range nodes {
				if got := readiness(n); got != http.StatusOK {
					t.Errorf("%s: %s has readiness %d", condition, n.address, got)
				}
			}
		}
		s.store.SetWeightVersion(2)
		waitForSync()
		expectReady("new weights")
		s.setStoreUnreachable("n1", true)
		time.Sleep(time.Minute)
		expectReady("store unreachable from one node")
		s.store.SetErrorStatus(http.StatusServiceUnavailable)
		time.Sleep(time.Minute)
		expectReady("store down")
		server.Plan.SetNext(deployed.Hang)
		replies := make(chan reply, 1)
		go func() { replies <- nodes[0].call("POST", "/charge/", nil, "x") }()
		time.Sleep(time.Second)
		expectReady("server does not respond")
		<-replies
		s.store.SetErrorStatus(0)
		s.store.Remove("servers/i-1")
		time.Sleep(10 * time.Second)
		expectReady("no server")
	})
}

func readiness(n *deployedNode) int {
	target := *n
	target.address = n.readiness
	return target.call("GET", "/readiness", nil, "").status
}

// TestEntriesCopied guards against store calls that grow with the number of
// nodes, and against nodes that do not copy changes from those that watch the
// store.
func TestEntriesCopied(t *testing.T) {
	for _, nodeCount := range []int{6, 12} {
		runAtSite(t, func(s *deployedSite) {
			s.startServer("i-1", 0)
			s.writeConfiguration(testKey, "other")
			var nodes []*deployedNode
			for i := range nodeCount {
				nodes = append(nodes, s.startNode(fmt.Sprintf("n%d", i)))
			}
			time.Sleep(5 * time.Second)
			before := s.store.Calls("/kv-watch")
			time.Sleep(time.Minute)
			// Two nodes watch; a watch lasts two fifths of the contact time and ends early
			// for each change.
			const watches = 2 * int(time.Minute/(contactTime*2/5))
			if got := s.store.Calls("/kv-watch") - before; got > watches+4 {
				t.Errorf("%d watches of %d nodes in a minute, want %d", got, nodeCount, watches)
			}
			s.writeConfiguration("other")
			time.Sleep(500 * time.Millisecond)
			for i, n := range nodes {
				if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusUnauthorized {
					t.Errorf("node %d of %d: got %d with a revoked key", i, nodeCount, got.status)
				}
			}
		})
	}
}

// TestCopiedCacheEventsKeepStoreCurrent guards against nodes that copy the events
// of a cache store from a peer and treat it as unreachable although it is not.
func TestCopiedCacheEventsKeepStoreCurrent(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		s.cacheStore = "10.0.2.1:1"
		s.serve(s.cacheStore, deployed.NewServer("memory", 0).Handler())
		s.writeConfiguration(testKey)
		var nodes []*deployedNode
		for i := range 6 {
			nodes = append(nodes, s.startNode(fmt.Sprintf("n%d", i), "n0:peers"))
		}
		time.Sleep(30 * time.Second)
		for _, n := range nodes {
			log := n.log.String()
			if !strings.Contains(log, `"to":"current"`) {
				t.Errorf("%s does not follow the cache store", n.address)
			}
			if count := strings.Count(log, `"to":"stale"`); count > 0 {
				t.Errorf("%s marked the cache store as stale %d times", n.address, count)
			}
		}
	})
}

// TestBodiesBounded guards against bodies of calls in progress that exceed their
// share of the memory of the process.
func TestBodiesBounded(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		s.startServer("i-1", 0)
		s.writeConfiguration(testKey)
		s.nodeMemoryBytes = 1 << 20
		n := s.startNode("n1")
		waitForSync()
		s.plan.SetNext(deployed.Hang)
		replies := make(chan reply, 1)
		half := strings.Repeat("x", 150<<10)
		go func() { replies <- n.call("POST", "/charge/", nil, half) }()
		synctest.Wait()
		if got := n.call("POST", "/lookup/", nil, half); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("a second large body got %+v", got)
		}
		if got := n.call("POST", "/lookup/", nil, "small"); got.status != http.StatusOK {
			t.Errorf("a small body got %+v", got)
		}
		<-replies
		if got := n.call("POST", "/lookup/", nil, half); got.status != http.StatusOK {
			t.Errorf("a large body after the first one ended got %+v", got)
		}
	})
}

// TestConfiguredBodyLimit guards against a limit on bodies in the configuration that is
// ignored where it allows more than the built-in one.
func TestConfiguredBodyLimit(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		s.startServer("i-1", 0)
		s.writeConfiguration(testKey)
		n := s.startNode("n1")
		waitForSync()
		body := strings.Repeat("x", 5<<20)
		if got := n.call("POST", "/lookup/", nil, body); got.status != http.StatusRequestEntityTooLarge {
			t.Errorf("a body over the limit got status %d", got.status)
		}
		s.maxBodyBytes = 6 << 20
		s.writeConfiguration(testKey)
		waitForSync()
		if got := n.call("POST", "/lookup/", nil, body); got.status != http.StatusOK {
			t.Errorf("a body within the new limit got status %d", got.status)
		}
	})
}
