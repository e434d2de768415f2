package control

import (
	"testing"
	"time"

	"tanagerspread/core/code"
)

// sendCall places a call to an engine and sends it.
func sendCall(t *testing.T, s *State, now time.Time) Dispatch {
	t.Helper()
	d, ok := placeCall(s, now, "a", "review").(Dispatch)
	if !ok || handleFirst(s, now, Connected{Request: "a", Attempt: d.Attempt}) != (Proceed{}) {
		t.Fatalf("the call is not sent: %+v", d)
	}
	return d
}

// TestNoSendOnOldWeightsAfterDial guards against a call that is placed before the limit
// and sent after it, because the connection took long to open.
func TestNoSendOnOldWeightsAfterDial(t *testing.T) {
	s := forwardState(t, 1)
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	limit := testStart.Add(testWeightsLimit - maxStartWait)
	d, ok := placeCall(s, limit.Add(-time.Millisecond), "a", "review").(Dispatch)
	if !ok {
		t.Fatal("a call before the limit is not dispatched")
	}
	refusal, ok := handleFirst(s, limit, Connected{Request: "a", Attempt: d.Attempt}).(Refusal)
	if !ok || refusal.Err.Code != code.DialRefused {
		t.Fatalf("at the limit: got %+v, want a denied send", refusal)
	}
	if got := handleFirst(s, limit, AttemptDone{Request: "a", Attempt: d.Attempt, Outcome: DialFailed}); got != nil || s.servers["m0"].Failures != 0 {
		t.Errorf("got %+v and %d failures, want the call queued and none", got, s.servers["m0"].Failures)
	}
}

// TestEngineToldStartLimit guards against an engine with old weights that may begin a
// call as late as its caller waits, and against limits for other servers.
func TestEngineToldStartLimit(t *testing.T) {
	s := forwardState(t, 1)
	workUntil := func(route string) time.Time {
		d, ok := placeCall(s, testStart, "a", route).(Dispatch)
		if !ok {
			t.Fatalf("the call on route %s is not dispatched", route)
		}
		s.Handle(testStart, Abandon{Request: "a"})
		return d.Forward.WorkUntil
	}
	if got := workUntil("review"); !got.IsZero() {
		t.Errorf("an engine with the newest weights works until %v", got)
	}
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	if got := workUntil("review"); !got.Equal(testStart.Add(testWeightsLimit - refusalTime)) {
		t.Errorf("an engine with old weights works until %v", got)
	}
	if got := workUntil("lookup"); !got.IsZero() {
		t.Errorf("a plain service works until %v", got)
	}
}

// TestStreamCutAtLimitNoCrash guards against an engine that counts as crashed because it
// stopped a call when it was told to.
func TestStreamCutAtLimitNoCrash(t *testing.T) {
	for _, after := range []time.Duration{0, stopReportTime} {
		s := forwardState(t, 2)
		s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
		d := sendCall(t, s, testStart.Add(8*time.Second))
		fingerprint := s.requests["a"].fingerprint
		s.Handle(testStart.Add(9*time.Second), FirstToken{Request: "a", Attempt: d.Attempt})
		s.Handle(d.Forward.WorkUntil.Add(after), AttemptDone{Request: "a", Attempt: d.Attempt, Outcome: Lost, ConnectionBroken: true})
		failures, suspect := s.servers[d.Server].Failures, s.quarantine.IsSuspect(fingerprint)
		if (failures > 0) != (after > 0) || suspect != (after > 0) {
			t.Errorf("%d failures of the engine, call suspect %v, %s after the time it was told", failures, suspect, after)
		}
	}
}
