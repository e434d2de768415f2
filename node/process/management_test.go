package process_test

import (
	"strconv"
	"testing"
	"time"

	"tanagerspread/standin/deployed"
)

// maxCallsWhileHeldBack is the number of requests that may still reach a server in the
// time for which it wants none from a node.
const maxCallsWhileHeldBack = 2

// TestManagementCallsHeldBack guards against reads of the state, orders and event calls
// that reach an engine in the time for which it wants nothing from the node, against a
// load of weights that is lost because of it, and against an engine whose cache events
// are not read again afterwards.
func TestManagementCallsHeldBack(t *testing.T) {
	const delay = 20 * time.Second
	for name, refuse := range map[string]func(*deployedSite, *deployedNode, *deployed.Server){
		"refused call": func(_ *deployedSite, n *deployedNode, held *deployed.Server) {
			held.Plan.SetNext(deployed.Shed)
			for before := len(held.Received()); len(held.Received()) == before; {
				n.call("POST", "/review/", nil, "x")
			}
		},
		"refused management calls": func(_ *deployedSite, _ *deployedNode, held *deployed.Server) {
			held.SetBusy(true)
			time.Sleep(2 * time.Second)
		},
		"refused order": func(s *deployedSite, _ *deployedNode, held *deployed.Server) {
			held.SetBusy(true)
			s.store.SetWeightVersion(2)
			time.Sleep(2 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runAtSite(t, func(s *deployedSite) {
				held := s.startServer("i-1", 6)
				s.startServer("i-2", 6)
				held.Plan = &deployed.Plan{}
				s.store.SetWeightVersion(1)
				s.writeConfiguration(testKey)
				n := s.startNode("n1")
				time.Sleep(10 * time.Second)
				held.SetRetryAfter(strconv.Itoa(int(delay.Seconds())))
				refuse(s, n, held)
				time.Sleep(500 * time.Millisecond)
				s.store.SetWeightVersion(2)
				before := held.ManagementCalls()
				time.Sleep(delay - 3*time.Second)
				if calls := held.ManagementCalls() - before; calls > maxCallsWhileHeldBack {
					t.Errorf("%d calls reached the engine while it wants none", calls)
				}
				held.SetBusy(false)
				time.Sleep(15 * time.Second)
				if version, _ := held.Weights(); version != 2 {
					t.Errorf("the engine has weights %d, want 2", version)
				}
				before = held.ManagementCalls()
				time.Sleep(5 * time.Second)
				if held.ManagementCalls() == before {
					t.Error("the cache events of the engine are not read any more")
				}
			})
		})
	}
}

// TestLeavingResponseToManagementCall guards against calls to an engine that has said
// that it leaves in responses to management calls alone.
func TestLeavingResponseToManagementCall(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		leaving := s.startServer("i-1", 6)
		s.startServer("i-2", 6)
		s.store.SetWeightVersion(1)
		s.writeConfiguration(testKey)
		n := s.startNode("n1")
		waitForRepeats()
		leaving.SetLeaving(true)
		time.Sleep(5 * time.Second)
		before := len(leaving.Received())
		for range 8 {
			n.call("POST", "/review/", nil, "x")
		}
		if calls := len(leaving.Received()) - before; calls != 0 {
			t.Errorf("%d calls reached the leaving engine", calls)
		}
	})
}
