package control

import (
	"testing"
	"time"

	"tanagerspread/core/request"
)

// TestAssignedCallHeldBack guards against a call that is sent to a server because it was
// assigned before the server said that it leaves or wants no calls for some time.
func TestAssignedCallHeldBack(t *testing.T) {
	for name, c := range map[string]struct {
		notice Notice
		sent   bool
	}{
		"leaves":    {Notice{Leaving: true}, false},
		"pauses":    {Notice{RetryAfter: time.Second}, false},
		"malformed": {Notice{RetryAfter: -1}, true},
	} {
		s := forwardState(t, 1)
		dispatches := map[request.ID]Dispatch{}
		for _, id := range []request.ID{"a", "b"} {
			d, ok := placeCall(s, testStart, id, "lookup").(Dispatch)
			if !ok {
				t.Fatalf("%s: call %s is not assigned", name, id)
			}
			dispatches[id] = d
		}
		connect(t, s, testStart, "a", dispatches["a"])
		s.Handle(testStart, ServerNotice{Request: "a", Attempt: dispatches["a"].Attempt, Notice: c.notice})
		got := replyTo(t, s.Handle(testStart, Connected{Request: "b", Attempt: dispatches["b"].Attempt}), "b")
		if _, sent := got.(Proceed); sent != c.sent {
			t.Errorf("%s: the call that was assigned before gets %+v", name, got)
		}
	}
}

// TestPauseIsNotShortened guards against a shorter delay of a later response that ends
// the longer one of an earlier response.
func TestPauseIsNotShortened(t *testing.T) {
	s := forwardState(t, 1)
	server := s.serverList[0]
	s.pauseServer(testStart, server, 10*time.Second)
	s.pauseServer(testStart.Add(time.Second), server, time.Second)
	s.Handle(testStart.Add(9*time.Second), Tick{})
	if server.ReceivesWork() {
		t.Error("the server gets calls before the longer delay has passed")
	}
	s.Handle(testStart.Add(10*time.Second+pauseJitter), Tick{})
	if !server.ReceivesWork() {
		t.Error("the server gets no calls after the longer delay")
	}
}
