package process_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/standin/deployed"
)

// startHeldServer starts a model server on the old weights that never loads others,
// because its orders fail.
func (s *deployedSite) startHeldServer(events int) *deployed.Server {
	server := deployed.NewServer("i-old", events)
	server.Plan = s.plan
	handler := server.Handler()
	s.serve("10.0.3.1:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/order" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	s.store.RegisterServer(server, "10.0.3.1:1", "ready", testMaxConcurrency)
	return server
}

// TestHeldCallNeverBeginsOnOldWeights guards against a call that reaches a server in time
// and waits there until old weights must no longer be used, at a server that keeps only
// the deadline of a call and at one that notices only a closed connection.
func TestHeldCallNeverBeginsOnOldWeights(t *testing.T) {
	const events, limit = 3, 12 * time.Second
	const sentBeforeNaming = -500 * time.Millisecond
	whole := ""
	for i := range events {
		whole += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	for _, c := range []struct {
		behaviour  deployed.Behaviour
		path       string
		sentAt     time.Duration
		wantStatus int
	}{
		{deployed.HoldUntilDeadline, "/review/", 8 * time.Second, http.StatusOK},
		{deployed.HoldUntilDeadline, "/caption/", 8 * time.Second, http.StatusOK},
		{deployed.HoldWhileConnected, "/review/", 8 * time.Second, http.StatusOK},
		{deployed.HoldWhileConnected, "/caption/", 8 * time.Second, http.StatusGatewayTimeout},
		{deployed.HoldWhileConnected, "/review/", sentBeforeNaming, http.StatusOK},
		{deployed.HoldWhileConnected, "/caption/", sentBeforeNaming, http.StatusGatewayTimeout},
	} {
		t.Run(fmt.Sprintf("%d%s%s", c.behaviour, strings.Trim(c.path, "/"), c.sentAt), func(t *testing.T) {
			runAtSite(t, func(s *deployedSite) {
				old := s.startHeldServer(events)
				s.store.Configure(deployed.Configuration{
					Version: 3, Host: testHost, Timeout: 30 * time.Second, TargetLatency: 5 * time.Second, Tenant: "derwent", Keys: []string{testKey},
				})
				n := s.startNode("n1")
				// Weights that a node reads in its first seconds may have been named before.
				time.Sleep(10 * time.Second)
				named := time.Now().Add(max(0, -sentBeforeNaming))
				s.plan.SetNext(c.behaviour)
				replies := make(chan reply, 1)
				call := func() {
					replies <- n.call("POST", c.path, http.Header{"Deadline-Ms": {"25000"}}, "x")
				}
				if c.sentAt < 0 {
					go call()
				}
				time.Sleep(time.Until(named))
				s.store.SetWeightVersion(2)
				if c.sentAt > 0 {
					time.Sleep(c.sentAt)
					go call()
				}
				time.Sleep(time.Until(named.Add(9500 * time.Millisecond)))
				if got := len(old.Received()); got != 1 {
					t.Fatalf("the server received %d calls", got)
				}
				updated := deployed.NewServer("i-new", events)
				updated.SetWeights(2)
				s.serve("10.0.3.2:1", updated.Handler())
				s.store.RegisterServer(updated, "10.0.3.2:1", "ready", testMaxConcurrency)
				time.Sleep(time.Until(named.Add(limit + 50*time.Millisecond)))
				synctest.Wait()
				old.Release()
				got := <-replies
				synctest.Wait()
				if got.status != c.wantStatus || got.status == http.StatusOK && (got.incomplete || got.body != whole) {
					t.Errorf("got %+v, want status %d", got, c.wantStatus)
				}
				if number := got.header.Get("Tanagerspread-Code"); got.status != http.StatusOK && number != strconv.Itoa(int(code.OutdatedWeights)) {
					t.Errorf("got code %s, want code.OutdatedWeights", number)
				}
				for _, r := range old.Received() {
					if r.Ran && r.BeganAt.Sub(named) > limit {
						t.Errorf("a call began on old weights %s after newer ones were named", r.BeganAt.Sub(named))
					}
				}
				stopped := strings.Contains(n.log.String(), `"event":2302`)
				if want := c.behaviour == deployed.HoldWhileConnected; stopped != want {
					t.Errorf("stop logged: %v, want %v", stopped, want)
				}
			})
		})
	}
}
