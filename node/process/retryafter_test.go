package process_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"tanagerspread/standin/deployed"
)

// TestRetryAfterOfServer guards against calls to a server in the time for which it wants
// none, and against a server that never gets calls again after a malformed value.
func TestRetryAfterOfServer(t *testing.T) {
	for name, c := range map[string]struct {
		value     string
		behaviour deployed.Behaviour
		// quiet is the time without calls, back the one after which the server gets
		// calls again.
		quiet, back time.Duration
	}{
		"refusal":         {"3", deployed.Shed, 3 * time.Second, 5 * time.Second},
		"fraction":        {"1.5", deployed.Shed, 1500 * time.Millisecond, 4 * time.Second},
		"may have run":    {"3", deployed.Unavailable, 3 * time.Second, 5 * time.Second},
		"negative":        {"-5", deployed.Shed, 0, 3 * time.Second},
		"no number":       {"soon", deployed.Shed, 0, 3 * time.Second},
		"not a number":    {"NaN", deployed.Shed, 0, 3 * time.Second},
		"endless":         {"Inf", deployed.Shed, 0, 3 * time.Second},
		"too large":       {"1e400", deployed.Shed, 0, 3 * time.Second},
		"years":           {"999999999", deployed.Shed, 10 * time.Minute, time.Hour + time.Minute},
		"several minutes": {"600", deployed.Shed, 10 * time.Minute, 10*time.Minute + 2*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runAtSite(t, func(s *deployedSite) {
				held := s.startServer("i-1", 0)
				s.startServer("i-2", 0)
				held.Plan = &deployed.Plan{}
				s.writeConfiguration(testKey)
				n := s.startNode("n1")
				waitForRepeats()
				held.SetRetryAfter(c.value)
				held.Plan.SetNext(c.behaviour)
				callUntilReceived(n, held)
				start, before := time.Now(), len(held.Received())
				for time.Since(start) < c.quiet-200*time.Millisecond {
					if got := n.call("POST", "/charge/", nil, "x"); got.status != http.StatusOK {
						t.Fatalf("got %+v, want a response of the other server", got)
					}
					time.Sleep(150 * time.Millisecond)
				}
				if calls := len(held.Received()) - before; calls != 0 {
					t.Errorf("%d calls reached the server in %v", calls, c.quiet)
				}
				time.Sleep(time.Until(start.Add(c.back)))
				if !callUntilReceived(n, held) {
					t.Errorf("the server gets no calls %v after its refusal", c.back)
				}
			})
		})
	}
}

// TestAllServersHeldBack guards against a call that waits although all servers of its
// service want no calls until after its caller has left, against an advised delay that
// ends before they want calls again, and against calls that all reach the first of these
// servers at once.
func TestAllServersHeldBack(t *testing.T) {
	const delay = 8 * time.Second
	runAtSite(t, func(s *deployedSite) {
		servers := []*deployed.Server{s.startServer("i-1", 0), s.startServer("i-2", 0)}
		s.writeConfiguration(testKey)
		n := s.startNode("n1")
		waitForRepeats()
		s.plan.SetNext(deployed.Shed, deployed.Shed)
		for _, server := range servers {
			server.SetRetryAfter(strconv.Itoa(int(delay.Seconds())))
		}
		n.call("GET", "/lookup/", nil, "")
		start, before := time.Now(), receivedCalls(servers)
		got := n.call("GET", "/lookup/", nil, "")
		advised, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || err != nil || time.Since(start) > 100*time.Millisecond {
			t.Errorf("got %+v after %v, want a refusal at once", got, time.Since(start))
		}
		if least := delay.Seconds() - 0.2; advised < least || advised > delay.Seconds()+2 {
			t.Errorf("the caller is told to come back after %v s, want about %v", advised, least)
		}
		if calls := receivedCalls(servers) - before; calls != 0 {
			t.Errorf("%d calls reached servers that want none", calls)
		}
		time.Sleep(delay + time.Second)
		s.plan.SetNext(deployed.Slow, deployed.Slow, deployed.Slow, deployed.Slow)
		for range 12 {
			go func() { _, _ = n.tryCall("GET", "/lookup/", nil, "") }()
		}
		time.Sleep(500 * time.Millisecond)
		for _, server := range servers {
			server.SetRetryAfter("")
		}
		if calls := receivedCalls(servers) - before; calls > len(servers) {
			t.Errorf("%d calls reached the servers at once when their time ended, want one each", calls)
		}
		time.Sleep(5 * time.Second)
	})
}
