package control

import (
	"testing"
	"time"

	"tanagerspread/core/fleet"
)

// TestPauseOutlastsEntry guards against calls to a server in the time for which it wants
// none, because its entry expired and was written again, and against a pause that is held
// against the next process.
func TestPauseOutlastsEntry(t *testing.T) {
	vm := VM{ID: "m-0", Address: "a:1", Role: fleet.RoleEngine, Serves: "m", Weights: 1, StartedAtMS: 1}
	restarted := vm
	restarted.StartedAtMS = 2
	for name, c := range map[string]struct {
		returns VM
		after   time.Duration
		paused  bool
	}{
		"same process":  {vm, 5 * time.Second, true},
		"next process":  {restarted, 5 * time.Second, false},
		"pause is over": {vm, 11 * time.Second, false},
	} {
		s := forwardState(t, 1)
		s.Handle(testStart, VMList{VMs: []VM{vm}})
		s.Handle(testStart, ManagementNotice{Server: "m-0", Address: "a:1", Notice: Notice{RetryAfter: 10 * time.Second}})
		s.Handle(testStart.Add(time.Second), VMList{})
		out := s.Handle(testStart.Add(c.after), VMList{VMs: []VM{c.returns}})
		if s.servers["m-0"].ReceivesWork() == c.paused || len(holdsOf(out)) > 0 != c.paused {
			t.Errorf("%s: receives work %v, holds %+v", name, s.servers["m-0"].ReceivesWork(), holdsOf(out))
		}
		s.Handle(testStart.Add(11*time.Second), Tick{})
		if !s.servers["m-0"].ReceivesWork() {
			t.Errorf("%s: the server gets no calls after its pause", name)
		}
	}
}
