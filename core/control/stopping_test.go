package control

import (
	"testing"
	"time"

	"tanagerspread/core/code"
)

// TestCallRefusedOnceStopBegins guards against a call that must not be repeated and that a
// stopping node sends although its process may end before the deadline of the call, so
// that the caller cannot know whether it ran. placeCall sets a deadline 5 s ahead.
func TestCallRefusedOnceStopBegins(t *testing.T) {
	const (
		grace  = 8 * time.Second
		latest = grace - stopMargin - 5*time.Second
	)
	for name, c := range map[string]struct {
		route   string
		grace   time.Duration
		drains  int
		after   time.Duration
		refused bool
	}{
		"no stop":                   {route: "charge", grace: grace, after: latest + 1},
		"deadline before the end":   {route: "charge", grace: grace, drains: 1, after: latest},
		"deadline after the end":    {route: "charge", grace: grace, drains: 1, after: latest + 1, refused: true},
		"after a second signal":     {route: "charge", grace: grace, drains: 2, after: latest + 1, refused: true},
		"no limit of the grace":     {route: "charge", drains: 1, after: latest + 1},
		"call that may be repeated": {route: "lookup", grace: grace, drains: 1, after: latest + 1},
		"resumable stream":          {route: "review", grace: grace, drains: 1, after: latest + 1},
	} {
		s := forwardState(t, 1)
		s.options.StopGrace = c.grace
		for i := range c.drains {
			s.Handle(testStart.Add(time.Duration(i)*time.Second), Drain{})
		}
		got := placeCall(s, testStart.Add(c.after), "a", c.route)
		refusal, refused := got.(Refusal)
		if refused != c.refused || refused && refusal.Err.Code != code.Draining {
			t.Errorf("%s: got %+v", name, got)
		}
		if _, sent := got.(Dispatch); !refused && !sent {
			t.Errorf("%s: got %+v, want a dispatch", name, got)
		}
	}
}
