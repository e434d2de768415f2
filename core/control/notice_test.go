package control

import (
	"strings"
	"testing"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/order"
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

// TestManagementNotice guards against a sound server that is held back because the
// process that had its name at another address leaves or wants no calls, and against
// cache events that stay unread when another process replaces the one that wanted none.
func TestManagementNotice(t *testing.T) {
	notice := ManagementNotice{Server: "m-0", Notice: Notice{RetryAfter: 10 * time.Second}}
	vms := []VM{{ID: "m-0", Address: "a:1", Role: fleet.RoleEngine, Serves: "m", Weights: 1, StartedAtMS: 1}}
	s := forwardState(t, 1)
	s.Handle(testStart, VMList{VMs: vms})
	notice.Address = "b:1"
	s.Handle(testStart, notice)
	if !s.servers["m-0"].ReceivesWork() {
		t.Error("the notice of a process at another address holds the server back")
	}
	notice.Address = "a:1"
	if holds := holdsOf(s.Handle(testStart, notice)); len(holds) != 1 || holds[0].Until.Before(testStart.Add(10*time.Second)) || s.servers["m-0"].ReceivesWork() {
		t.Errorf("the server is not held back: %+v", holds)
	}
	now := testStart.Add(time.Second)
	vms[0].StartedAtMS = 2
	if holds := holdsOf(s.Handle(now, VMList{VMs: vms})); len(holds) != 1 || holds[0].Until.After(now) || !s.servers["m-0"].ReceivesWork() {
		t.Errorf("the next process is held back: %+v", holds)
	}
}

// holdsOf returns the commands of an output that hold back calls for cache events.
func holdsOf(out Output) []HoldCacheCalls {
	var holds []HoldCacheCalls
	for _, command := range out.Commands {
		if hold, ok := command.(HoldCacheCalls); ok {
			holds = append(holds, hold)
		}
	}
	return holds
}

// TestRefusedBesideLeavingServer guards against a call that waits until its deadline
// because one server leaves and all others want no calls until after it.
func TestRefusedBesideLeavingServer(t *testing.T) {
	const pause = 20 * time.Second
	s := forwardState(t, 3)
	s.recordLeavingResponse(testStart, s.servers["d0"])
	s.pauseServer(testStart, s.servers["d1"], pause)
	s.pauseServer(testStart, s.servers["d2"], pause+time.Minute)
	refusal, ok := placeCall(s, testStart, "a", "lookup").(Refusal)
	if !ok {
		t.Fatal("the call is not refused at once")
	}
	if refusal.RetryAfter < pause || refusal.RetryAfter > pause+pauseJitter {
		t.Errorf("the caller is told to come back after %v, want about %v", refusal.RetryAfter, pause)
	}
}

// TestRestReasonsNamed guards against a refused call whose explanation does not say that
// the servers leave or want no calls, and against a status and a dump that hide it.
func TestRestReasonsNamed(t *testing.T) {
	s := forwardState(t, 2)
	s.Handle(testStart, ManagementNotice{Server: "d0", Address: s.servers["d0"].Address, Notice: Notice{Leaving: true}})
	s.Handle(testStart, ManagementNotice{Server: "d1", Address: s.servers["d1"].Address, Notice: Notice{RetryAfter: 20 * time.Second}})
	refusal, ok := placeCall(s, testStart, "a", "lookup").(Refusal)
	if !ok {
		t.Fatal("the call is not refused at once")
	}
	if want := "2 are known, 1 leave, 1 want no calls yet"; !strings.Contains(refusal.Err.Detail, want) {
		t.Errorf("got %q, want %q", refusal.Err.Detail, want)
	}
	decisions := s.explain("a").Decisions
	if last := decisions[len(decisions)-1]; last.Detail != refusal.Err.Detail {
		t.Errorf("explained as %q", last.Detail)
	}
	if status := s.status(testStart); status.Leaving != 1 || status.Paused != 1 {
		t.Errorf("status %+v", status)
	}
	reasons := map[fleet.ServerID]string{}
	for _, server := range s.dump(testStart).Servers {
		reasons[server.ID] = server.Reason
	}
	if reasons["d0"] != reasonResponse || reasons["d1"] != reasonPause {
		t.Errorf("reasons %v", reasons)
	}
}

// TestOrderOfPausedEngineEnds guards against an order that counts as a load for as long as
// a server wants no calls, which may be long, so that the rollout stands still.
func TestOrderOfPausedEngineEnds(t *testing.T) {
	s := forwardState(t, 1)
	engine := &order.Engine{ID: "m0"}
	outstanding := &order.Order{Engine: engine}
	s.pauseServer(testStart, s.servers["m0"], 3*time.Hour)
	s.readEngineOfOrder(outstanding, testStart.Add(time.Second))
	if limit := testStart.Add(maxOrderPause + s.orderParameters().MaxOrderTime); engine.CallInProgress || outstanding.Deadline.After(limit) || outstanding.Deadline.Before(testStart) {
		t.Errorf("call in progress %v, deadline of the order %v, want none and at most %v", engine.CallInProgress, outstanding.Deadline, limit)
	}
}
