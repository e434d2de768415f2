package ingress

import (
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/core/control"
	"tanagerspread/core/request"
)

// TestServerWorksNoLongerThanCallerWaits guards against a server that is given more time
// than is left of the call, and against one that is given more than its weights allow.
func TestServerWorksNoLongerThanCallerWaits(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		for _, limit := range []time.Duration{0, time.Second, 3 * time.Second} {
			plan, want := control.Forwarding{}, 2*time.Second
			if limit > 0 {
				plan.WorkUntil, want = time.Now().Add(limit), min(limit, want)
			}
			relay := &callRelay{
				exchange: &exchange{request: request.Request{Deadline: time.Now().Add(2 * time.Second)}},
				dispatch: control.Dispatch{Forward: &plan},
			}
			if got := relay.workTime(); got != want {
				t.Errorf("limit %s, 2 s left: the server may work for %s", limit, got)
			}
		}
	})
}
