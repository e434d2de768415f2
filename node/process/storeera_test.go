package process_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"tanagerspread/standin/deployed"
)

// checkHolders checks that no two holders of the issuer's lease acted at the same time,
// and that each had a higher fencing token than the one before.
func checkHolders(t *testing.T, servers []*deployed.Server) {
	t.Helper()
	var orders []deployed.Order
	for _, server := range servers {
		orders = append(orders, server.Orders()...)
	}
	slices.SortStableFunc(orders, func(a, b deployed.Order) int { return a.At.Compare(b.At) })
	for i := 1; i < len(orders); i++ {
		before, next := orders[i-1], orders[i]
		sameTerm := next.FencingToken == before.FencingToken && next.Holder == before.Holder
		if !sameTerm && next.FencingToken <= before.FencingToken {
			t.Errorf("order of %s with token %d arrived after one of %s with token %d", next.Holder, next.FencingToken, before.Holder, before.FencingToken)
		}
	}
}

// writeServers writes the entries of the servers, as they do themselves.
func (s *deployedSite) writeServers(servers []*deployed.Server) {
	for i, server := range servers {
		s.store.RegisterServer(server, fmt.Sprintf("10.0.1.%d:1", i+1), "ready", testMaxConcurrency)
	}
}

// TestStoreReverts explores, with fixed seeds, a store that reverts to an earlier state
// again and again while weights are loaded and a node is cut off from it. It guards against two holders that act at the same time, a fencing token that is given
// out again, a revoked key that is accepted again, and a session or a rollout that is lost.
func TestStoreReverts(t *testing.T) {
	for seed := range uint64(8) {
		runAtSite(t, func(s *deployedSite) {
			random := rand.New(rand.NewPCG(seed, seed))
			s.unfenced = seed%2 == 0
			s.store.SetEra(1)
			var servers []*deployed.Server
			for i := range 4 {
				servers = append(servers, s.startServer(fmt.Sprintf("i-%d", i), 2))
			}
			s.startServer("desk", 0)
			s.writeConfiguration(testKey)
			names := []string{"n1", "n2", "n3"}
			var nodes []*deployedNode
			for _, name := range names {
				nodes = append(nodes, s.startNode(name))
			}
			time.Sleep(5 * time.Second)
			for version := 2; version < 6; version++ {
				s.playReturn(random, servers, version, names[random.IntN(len(names))])
				for i, n := range nodes {
					if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusUnauthorized {
						t.Errorf("seed %d, version %d: %s accepts a revoked key: %d", seed, version, names[i], got.status)
					}
				}
			}
			for range 30 {
				time.Sleep(time.Second)
				s.writeServers(servers)
			}
			checkHolders(t, servers)
			for _, server := range servers {
				if weights, _ := server.Weights(); weights != 5 {
					t.Errorf("seed %d: %s has weights %d", seed, server.ID, weights)
				}
			}
			for _, name := range names {
				if s.store.Value("nodes/"+name) == nil {
					t.Errorf("seed %d: the session entry of %s is missing", seed, name)
				}
			}
		})
	}
}

// playReturn names weights and lets the store revert at a random moment of the
// rollout, which waits for some servers. The operator and the servers then write again
// what was lost. cutOff cannot reach the store for some of the time.
func (s *deployedSite) playReturn(random *rand.Rand, servers []*deployed.Server, version int, cutOff string) {
	pause := func(limit time.Duration) { time.Sleep(time.Duration(random.Int64N(int64(limit)))) }
	before := s.store.Copy()
	pause(2 * time.Second)
	s.writeConfiguration("other")
	// The writes of others make the revisions that are lost higher than those after.
	for i := range random.IntN(60) {
		s.store.Put("others/key", i)
	}
	for _, server := range servers {
		server.SetBusy(random.IntN(2) == 0)
	}
	s.store.SetWeightVersion(version)
	if random.IntN(2) == 0 {
		s.setStoreUnreachable(cutOff, true)
	}
	pause(4 * time.Second)
	if random.IntN(2) == 0 {
		before = s.store.Copy()
		pause(time.Second)
	}
	s.store.SetErrorStatus(http.StatusServiceUnavailable)
	pause(time.Second)
	s.store.Revert(before)
	s.store.SetErrorStatus(0)
	pause(500 * time.Millisecond)
	s.version -= 3
	s.writeConfiguration("other")
	s.store.SetWeightVersion(version)
	s.writeServers(servers)
	time.Sleep(2 * time.Second)
	for _, server := range servers {
		server.SetBusy(false)
		pause(500 * time.Millisecond)
	}
	s.setStoreUnreachable(cutOff, false)
	s.writeServers(servers)
	pause(4 * time.Second)
}

// TestNodeStartsBeforeConfigurationReturns guards against a node that starts while the store
// holds an older configuration than before, and accepts a revoked key.
func TestNodeStartsBeforeConfigurationReturns(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		s.store.SetEra(1)
		s.startServer("desk", 0)
		s.writeConfiguration(testKey)
		s.startNode("n1", "n2:peers")
		time.Sleep(5 * time.Second)
		before := s.store.Copy()
		s.writeConfiguration("other")
		time.Sleep(time.Second)
		s.store.Revert(before)
		time.Sleep(time.Second)
		n := s.startNode("n2", "n1:peers")
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusServiceUnavailable && got.status != http.StatusUnauthorized {
				t.Fatalf("got %d with a revoked key", got.status)
			}
		}
		if got := n.call("GET", "/nowhere/", nil, ""); got.status == http.StatusServiceUnavailable {
			t.Error("the node has no configuration")
		}
	})
}
