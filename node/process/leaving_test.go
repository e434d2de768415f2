package process_test

import (
	"net/http"
	"testing"
	"time"

	"tanagerspread/standin/deployed"
)

// drainTime is how long after a server's response said that it leaves a request may
// still reach it.
const drainTime = 2 * time.Second

// TestLeavingResponse guards against calls to a server whose responses say that it leaves
// while the store still shows it as ready, cannot be reached, or shows it as ready again.
func TestLeavingResponse(t *testing.T) {
	for name, after := range map[string]func(*deployedSite, *deployed.Server){
		"entry stays ready": func(*deployedSite, *deployed.Server) {},
		"store down":        func(s *deployedSite, _ *deployed.Server) { s.store.SetErrorStatus(http.StatusServiceUnavailable) },
		"minutes later":     func(*deployedSite, *deployed.Server) { time.Sleep(3 * time.Minute) },
		"drains and is ready again": func(s *deployedSite, server *deployed.Server) {
			for _, state := range []string{"draining", "ready"} {
				s.store.RegisterServer(server, "10.0.1.1:1", state, testMaxConcurrency)
				time.Sleep(time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runAtSite(t, func(s *deployedSite) {
				leaving := s.startServer("i-1", 0)
				s.startServer("i-2", 0)
				s.writeConfiguration(testKey)
				n := s.startNode("n1")
				waitForRepeats()
				leaving.SetLeaving(true)
				callUntilReceived(n, leaving)
				after(s, leaving)
				time.Sleep(drainTime)
				before := len(leaving.Received())
				for range 8 {
					if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusOK {
						t.Errorf("got %+v, want a response of the other server", got)
					}
				}
				if calls := len(leaving.Received()) - before; calls != 0 {
					t.Errorf("%d calls reached the leaving server", calls)
				}
				leaving.SetLeaving(false)
				s.store.SetErrorStatus(0)
				leaving.StartedAtMS++
				s.store.RegisterServer(leaving, "10.0.1.1:1", "ready", testMaxConcurrency)
				time.Sleep(5 * time.Second)
				if !callUntilReceived(n, leaving) {
					t.Error("the next process of the server gets no calls")
				}
			})
		})
	}
}

// callUntilReceived sends calls until one reaches the server, and reports whether one did.
func callUntilReceived(n *deployedNode, server *deployed.Server) bool {
	before := len(server.Received())
	for range 20 {
		n.call("GET", "/lookup/", nil, "")
		if len(server.Received()) > before {
			return true
		}
	}
	return false
}

// TestLeavingResponseOfAnother guards against a sound server that gets no calls because
// the response of another server or to another attempt says that its sender leaves.
func TestLeavingResponseOfAnother(t *testing.T) {
	for name, prepare := range map[string]func(*deployedSite, *deployed.Server){
		"other attempt": func(s *deployedSite, _ *deployed.Server) {
			s.plan.SetNext(deployed.MismatchID, deployed.MismatchID, deployed.MismatchID)
		},
		"address of another": func(_ *deployedSite, server *deployed.Server) {
			server.ID = "i-9"
		},
	} {
		t.Run(name, func(t *testing.T) {
			runAtSite(t, func(s *deployedSite) {
				server := s.startServer("i-1", 0)
				s.writeConfiguration(testKey)
				n := s.startNode("n1")
				waitForRepeats()
				prepare(s, server)
				server.SetLeaving(true)
				n.call("GET", "/lookup/", nil, "")
				server.SetLeaving(false)
				server.ID = "i-1"
				s.plan.SetNext()
				time.Sleep(5 * time.Second)
				if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusOK {
					t.Errorf("got %+v, want a response of the server", got)
				}
			})
		})
	}
}

// TestAllServersLeave guards against a call that waits until its caller gives up, or that
// is lost, when all servers of its service say that they leave, and against calls that
// are still refused when another server has come.
func TestAllServersLeave(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		servers := []*deployed.Server{s.startServer("i-1", 0), s.startServer("i-2", 0)}
		s.writeConfiguration(testKey)
		n := s.startNode("n1")
		waitForRepeats()
		for _, server := range servers {
			server.SetLeaving(true)
			callUntilReceived(n, server)
		}
		time.Sleep(drainTime)
		before, start := receivedCalls(servers), time.Now()
		for range 4 {
			got := n.call("GET", "/lookup/", nil, "")
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
				t.Errorf("got %+v, want a refusal that says when to come back", got)
			}
		}
		if waited := time.Since(start); waited > 400*time.Millisecond {
			t.Errorf("four refusals took %v", waited)
		}
		if calls := receivedCalls(servers) - before; calls != 0 {
			t.Errorf("%d calls reached leaving servers", calls)
		}
		s.startServer("i-3", 0)
		time.Sleep(2 * time.Second)
		if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusOK {
			t.Errorf("got %+v, want a response of the new server", got)
		}
	})
}
