package control

import (
	"testing"
	"time"
)

// TestMarkedWeightsReceiveCalls guards against a fleet that sends no calls to engines
// because all its nodes were restarted just after new weights were named, and against
// calls that begin after the limit because the nodes do not know the age of the version.
func TestMarkedWeightsReceiveCalls(t *testing.T) {
	s := forwardStateSince(t, 1, testStart)
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2, Listed: true})
	s.Handle(testStart, RecentlyNamed{Model: "m", Weights: 3, Marked: true})
	if sends(s, testStart) {
		t.Error("a call is sent because of the mark of another version")
	}
	s.Handle(testStart, RecentlyNamed{Model: "m", Weights: 2, Marked: true})
	d := sendCall(t, s, testStart)
	if want := testStart.Add(maxStartWait - refusalTime); !d.Forward.WorkUntil.Equal(want) {
		t.Errorf("the engine works until %v, want %v", d.Forward.WorkUntil, want)
	}
	s.requests["a"].chart.TimeoutAt = testStart.Add(time.Hour)
	end := testStart.Add(time.Second)
	s.Handle(end, RecentlyNamed{Model: "m", Weights: 2})
	if sends(s, end) {
		t.Error("a call is sent after the mark has ended")
	}
	if got := stopsOf(s, end.Add(maxStartWait), Tick{}); len(got) != 1 {
		t.Errorf("stopped %+v after the mark has ended, want the held attempt", got)
	}
}

// TestHolderMarksNamedWeights guards against a mark that lasts longer than calls may be
// sent to older weights, and against one for a version of unknown age.
func TestHolderMarksNamedWeights(t *testing.T) {
	marks := func(s *State, now time.Time) []MarkNamed {
		var marks []MarkNamed
		s.output.Commands = nil
		s.markNamedWeights(now)
		for _, command := range s.output.Commands {
			if mark, ok := command.(MarkNamed); ok {
				marks = append(marks, mark)
			}
		}
		return marks
	}
	s := forwardState(t, 1)
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	now := testStart.Add(time.Second)
	want := MarkNamed{Model: "m", Weights: 2, TTL: testWeightsLimit - maxStartWait - time.Second}
	if got := marks(s, now); len(got) != 1 || got[0] != want {
		t.Errorf("marks %+v, want %+v", got, want)
	}
	if got := marks(s, testStart.Add(testWeightsLimit-maxStartWait)); got != nil {
		t.Errorf("marks %+v although no call may be sent", got)
	}
	s = forwardState(t, 1)
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2, Listed: true})
	if got := marks(s, now); got != nil {
		t.Errorf("marks %+v of unknown age", got)
	}
}
