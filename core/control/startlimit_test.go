package control

import (
	"testing"
	"time"

	"tanagerspread/core/code"
)

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
