package control

import (
	"testing"
	"time"

	"tanagerspread/core/request"
)

// TestLongPromptsWaitOnNode guards against a second long prompt of a class that
// can wait at a busy engine, where it would delay an urgent request. The second
// prompt waits on the node until the first one has produced its first token.
func TestLongPromptsWaitOnNode(t *testing.T) {
	s := newState(t, 1, vms(1, 0, 0), rulesFor(1, ""))
	send := func(id string, class request.Class) Decision {
		r := completion(id, 0, testStart.Add(time.Hour))
		r.Class = class
		r.PromptTokens = 20_000
		return admitAndPlace(t, s, testStart, r)
	}
	first, ok := send("first", "review").(Dispatch)
	if !ok {
		t.Fatal("an idle server did not receive a long prompt")
	}
	if d := send("second", "review"); d != nil {
		t.Errorf("the busy server received a second long prompt: %+v", d)
	}
	if _, ok := send("urgent", "urgent").(Dispatch); !ok {
		t.Error("the urgent request waits behind long prompts")
	}
	connect(t, s, testStart, "first", first)
	s.Handle(testStart, AttemptDone{Request: "urgent", Attempt: 1, Outcome: Stopped})
	out := s.Handle(testStart, FirstToken{Request: "first", Attempt: first.Attempt})
	if _, ok := replyTo(t, out, "second").(Dispatch); !ok {
		t.Error("the second long prompt still waits after the first token of the first one")
	}
}
