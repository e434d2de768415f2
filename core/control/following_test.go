package control

import (
	"testing"
	"time"
)

// TestPausedNodeAvoidsOldWeights guards against a node that was frozen while weights
// were named and counts their limit from its return.
func TestPausedNodeAvoidsOldWeights(t *testing.T) {
	const pause = 4 * time.Second
	for _, tickFirst := range []bool{true, false} {
		s := runningState(t, 1)
		s.Handle(testStart, Tick{})
		now := testStart.Add(pause)
		messages := []Message{WeightsNamed{Model: "m", Weights: 2}, Tick{}}
		if tickFirst {
			messages[0], messages[1] = messages[1], messages[0]
		}
		for _, message := range messages {
			s.Handle(now, message)
		}
		if sends(s, now) {
			t.Errorf("tick first %v: a call is sent to weights whose limit is not known", tickFirst)
		}
		s.Handle(now, peerReports(2, pause, now))
		if !sends(s, now) {
			t.Errorf("tick first %v: no call is sent although a peer knows the age", tickFirst)
		}
	}
}

// TestSuspensionCountsTowardsLimit guards against a limit that is extended by the time
// for which the machine was suspended.
func TestSuspensionCountsTowardsLimit(t *testing.T) {
	const suspension = 6 * time.Second
	s := forwardState(t, 1)
	s.Handle(testStart, Tick{})
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	now := testStart.Add(time.Second)
	s.Handle(now, Tick{})
	s.Handle(now, Suspended{Duration: suspension})
	end := testStart.Add(testWeightsLimit - maxStartWait - suspension)
	if !sends(s, end.Add(-time.Millisecond)) || sends(s, end) {
		t.Error("the limit does not include the suspension")
	}
}

// TestVersionAfterSuspension guards against a node that learns of a version when it
// returns from a suspension and takes it for just named.
func TestVersionAfterSuspension(t *testing.T) {
	for _, reportedFirst := range []bool{true, false} {
		s := forwardState(t, 1)
		s.Handle(testStart, Tick{})
		now := testStart.Add(10 * time.Millisecond)
		messages := []Message{WeightsNamed{Model: "m", Weights: 2}, Suspended{Duration: 6 * time.Second}}
		if reportedFirst {
			messages[0], messages[1] = messages[1], messages[0]
		}
		for _, message := range messages {
			s.Handle(now, message)
		}
		if sends(s, now) {
			t.Errorf("suspension reported first %v: a call is sent to weights whose limit is not known", reportedFirst)
		}
	}
}
