package process_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"tanagerspread/node/orders"
	"tanagerspread/standin/deployed"
)

// TestNewWeightsLoaded guards against servers that stay on old weights, orders
// from two lease holders, and cached prompt parts that are shared between weight
// versions.
func TestNewWeightsLoaded(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		var servers []*deployed.Server
		for i := range 4 {
			servers = append(servers, s.startServer(fmt.Sprintf("i-%d", i), 2))
		}
		s.writeConfiguration(testKey)
		nodes := []*deployedNode{s.startNode("n1"), s.startNode("n2"), s.startNode("n3")}
		waitForSync()
		s.store.LoseNextResponses(1)
		s.store.SetWeightVersion(2)
		time.Sleep(12 * time.Second)
		for i, server := range servers {
			if version, orders := server.Weights(); version != 2 || orders != 1 {
				t.Errorf("server %d has version %d after %d orders, want version 2 after one", i, version, orders)
			}
			s.store.RegisterServer(server, fmt.Sprintf("10.0.1.%d:1", i+1), "ready", testMaxConcurrency)
		}
		waitForSync()
		nodes[0].call("POST", "/review/", http.Header{"Prompt-Prefix": {"aa:3000,bb:10"}, "Token-Count": {"3010,20"}}, "x")
		for _, server := range servers {
			for _, r := range server.Received() {
				if r.Header.Get("Expect-Version") != "2" || !strings.HasPrefix(r.Header.Get("Cache-Salt"), "m/2/") {
					t.Errorf("call has Expect-Version %q and Cache-Salt %q", r.Header.Get("Expect-Version"), r.Header.Get("Cache-Salt"))
				}
			}
		}
	})
}

// TestRolloutAfterHolderKilled guards against a rollout that stands still for longer than
// needed after its holder was killed, at sites whose servers do not enforce fencing
// tokens: the lease expires after 3 s, and an order of the killed node may be in flight
// for 1.5 s.
func TestRolloutAfterHolderKilled(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		s.unfenced = true
		var servers []*deployed.Server
		for i := range 4 {
			servers = append(servers, s.startServer(fmt.Sprintf("i-%d", i), 2))
		}
		s.writeConfiguration(testKey)
		nodes := []*deployedNode{s.startNode("n1"), s.startNode("n2")}
		time.Sleep(10 * time.Second)
		s.store.SetWeightVersion(2)
		killed := false
		for !killed {
			time.Sleep(10 * time.Millisecond)
			for _, n := range nodes {
				if strings.Contains(n.log.String(), `"event":2751`) {
					n.kill()
					killed = true
				}
			}
		}
		time.Sleep(9 * time.Second)
		for _, server := range servers {
			if version, _ := server.Weights(); version != 2 {
				t.Errorf("%s has weights %d 9 s after the holder was killed", server.ID, version)
			}
		}
	})
}

// TestNodeStartsDuringRollout guards against a node that starts after new weights were
// named, also one that reaches the store only later, takes them for just named and sends
// calls to engines with the old ones.
func TestNodeStartsDuringRollout(t *testing.T) {
	for _, unreachableFor := range []time.Duration{0, 10 * time.Second} {
		runAtSite(t, func(s *deployedSite) {
			servers := []*deployed.Server{s.startServer("i-0", 2), s.startServer("i-1", 2)}
			s.writeConfiguration(testKey)
			s.store.SetWeightVersion(2)
			s.setStoreUnreachable("n1", true)
			n := s.startNode("n1")
			time.Sleep(unreachableFor)
			s.setStoreUnreachable("n1", false)
			served := 0
			for range 24 {
				if n.call("POST", "/review/", http.Header{"Prompt-Prefix": {"aa:3000,bb:10"}, "Token-Count": {"3010,20"}}, "x").status == http.StatusOK {
					served++
				}
				time.Sleep(500 * time.Millisecond)
				for i, server := range servers {
					s.store.RegisterServer(server, fmt.Sprintf("10.0.1.%d:1", i+1), "ready", testMaxConcurrency)
				}
			}
			for _, server := range servers {
				for _, r := range server.Received() {
					if r.Header.Get("Expect-Version") != "2" {
						t.Errorf("store unreachable for %s: a call was sent to weights %s", unreachableFor, r.Header.Get("Expect-Version"))
					}
				}
			}
			if served == 0 {
				t.Errorf("store unreachable for %s: no call was served after the rollout", unreachableFor)
			}
		})
	}
}

// TestWeightsLearnedFromResponses guards against engines that get no calls
// because their entries are outdated: a node that cannot reach the store learns
// the loaded weights from responses.
func TestWeightsLearnedFromResponses(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		servers := []*deployed.Server{s.startServer("i-0", 2), s.startServer("i-1", 2)}
		s.writeConfiguration(testKey)
		n := s.startNode("n1")
		waitForSync()
		s.setStoreUnreachable("n1", true)
		s.store.SetErrorStatus(http.StatusServiceUnavailable)
		for _, server := range servers {
			server.SetWeights(2)
		}
		served := 0
		for range 10 {
			if n.call("POST", "/review/", http.Header{"Prompt-Prefix": {"aa:3000,bb:10"}, "Token-Count": {"3010,20"}}, "x").status == http.StatusOK {
				served++
			}
			time.Sleep(300 * time.Millisecond)
		}
		if served < 9 {
			t.Errorf("%d of 10 calls served by engines with newer weights than listed", served)
		}
		if !strings.Contains(n.log.String(), `"event":2763`) {
			t.Error("the learned weights are not logged")
		}
	})
}

// TestCallsAfterRestartOfAllNodes guards against a site that serves no calls to engines
// after all its nodes were killed just after new weights were named, and against a mark
// that outlasts the time for which calls may be sent to older weights.
func TestCallsAfterRestartOfAllNodes(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		servers := []*deployed.Server{s.startServer("i-0", 2), s.startServer("i-1", 2)}
		s.writeConfiguration(testKey)
		first := s.startNode("n1")
		time.Sleep(10 * time.Second)
		s.store.SetWeightVersion(2)
		marked := func() bool { return s.store.Value(orders.MarkKey("m", 2)) != nil }
		for range 200 {
			if marked() {
				break
			}
			time.Sleep(time.Millisecond)
		}
		first.kill()
		second := s.startNode("n2")
		waitForSync()
		got := second.call("POST", "/review/", http.Header{"Prompt-Prefix": {"aa:3000,bb:10"}, "Token-Count": {"3010,20"}}, "x")
		if got.status != http.StatusOK || receivedCalls(servers) != 1 {
			t.Errorf("got %+v after %d calls, want a response from old weights", got, receivedCalls(servers))
		}
		time.Sleep(8 * time.Second)
		if marked() {
			t.Error("the mark lasts longer than calls may be sent to older weights")
		}
	})
}
