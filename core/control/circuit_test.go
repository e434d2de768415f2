package control

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
	"tanagerspread/core/request"
)

// openCircuit lets requests fail until the circuit of the only server is open,
// and returns the time of the last failure.
func openCircuit(t *testing.T, s *State, now time.Time) time.Time {
	for i := range fleet.FailureLimit {
		now = now.Add(time.Millisecond)
		r := completion(fmt.Sprintf("f%d", i), i, now.Add(time.Second))
		d, ok := admitAndPlace(t, s, now, r).(Dispatch)
		if !ok {
			t.Fatalf("request %s was not dispatched", r.ID)
		}
		connect(t, s, now, r.ID, d)
		s.Handle(now, AttemptDone{Request: r.ID, Attempt: d.Attempt, Outcome: Lost})
		s.Handle(now, Abandon{Request: r.ID})
	}
	if state := s.serverList[0].Chart.State; state != "open" {
		t.Fatalf("server is %s after %d failures", state, fleet.FailureLimit)
	}
	return now
}

// TestOldSuccessKeepsCircuitOpen guards against a circuit that is closed by the
// success of an attempt that started before the last failure.
func TestOldSuccessKeepsCircuitOpen(t *testing.T) {
	s := newState(t, 1, vms(1, 0, 0), rulesFor(4, ""))
	old := completion("old", 0, time.Time{})
	d := admitAndPlace(t, s, testStart, old).(Dispatch)
	connect(t, s, testStart, old.ID, d)
	now := openCircuit(t, s, testStart)
	now = now.Add(5 * time.Second)
	s.Handle(now, Tick{})
	if state := s.serverList[0].Chart.State; state != "probing" {
		t.Fatalf("server is %s, want probing", state)
	}
	s.Handle(now, AttemptDone{Request: old.ID, Attempt: d.Attempt, Outcome: Succeeded})
	if server := s.serverList[0]; server.Chart.State != "probing" || server.Failures == 0 {
		t.Errorf("server is %s with %d failures after an old success", server.Chart.State, server.Failures)
	}
}

// TestRecoveryIsGradual guards against a burst of requests to a server that has
// just recovered.
func TestRecoveryIsGradual(t *testing.T) {
	rules := rulesFor(4, "")
	rules.Classes["urgent"] = config.Class{QueueLimit: 100}
	s := newState(t, 1, vms(1, 0, 0), rules)
	now := openCircuit(t, s, testStart).Add(5 * time.Second)
	sent := map[request.ID]Dispatch{}
	collect := func(out Output) {
		for _, reply := range out.Replies {
			if d, ok := reply.Decision.(Dispatch); ok {
				sent[reply.To] = d
			}
		}
	}
	collect(s.Handle(now, Tick{}))
	for i := range 30 {
		r := completion(fmt.Sprintf("w%d", i), 3, time.Time{})
		s.Handle(now, Admit{Request: r})
		collect(s.Handle(now, Place{Request: r.ID, PromptTokens: 10}))
	}
	for round, want := range []int{1, 2, 4, 4} {
		if len(sent) != want {
			t.Fatalf("round %d: %d attempts in flight, want %d", round, len(sent), want)
		}
		now = now.Add(time.Millisecond)
		for id, d := range sent {
			connect(t, s, now, id, d)
			delete(sent, id)
			collect(s.Handle(now, AttemptDone{Request: id, Attempt: d.Attempt, Outcome: Succeeded}))
			break
		}
	}
}

// TestPredictedWait guards against a request that waits in the queue although
// its deadline passes before a slot is free.
func TestPredictedWait(t *testing.T) {
	s := newState(t, 1, vms(1, 0, 0), rulesFor(4, ""))
	s.group(&activeRequest{Request: completion("", 0, time.Time{}), scope: cachekey.Scope{Weights: 1}}).SlotTime = 8 * time.Second
	for i := range testSlots {
		admitAndPlace(t, s, testStart, completion(fmt.Sprintf("b%d", i), 0, time.Time{}))
	}
	if d := admitAndPlace(t, s, testStart, completion("long", 0, testStart.Add(time.Minute))); d != nil {
		t.Fatalf("request with a long deadline: got %+v, want it queued", d)
	}
	refusal, ok := admitAndPlace(t, s, testStart, completion("short", 1, testStart.Add(time.Second))).(Refusal)
	if !ok || refusal.Err.Code != code.DeadlineTooShort {
		t.Errorf("request with a short deadline: got %+v, want DeadlineTooShort", refusal)
	}
}

// TestDeniedConnection guards against a request that is sent to a server that
// has started to leave, and against the loss of the next attempt: the node
// refuses to send on the open connection and places the request again later.
func TestDeniedConnection(t *testing.T) {
	list := vms(2, 0, 0)
	s := newState(t, 1, list, rulesFor(4, ""))
	r := completion("r", 0, time.Time{})
	d := admitAndPlace(t, s, testStart, r).(Dispatch)
	for i := range list {
		list[i].Leaving = list[i].ID == string(d.Server)
	}
	s.Handle(testStart, VMList{VMs: list})
	refusal, ok := replyTo(t, s.Handle(testStart, Connected{Request: r.ID, Attempt: d.Attempt}), r.ID).(Refusal)
	if !ok || refusal.Err.Code != code.DialRefused {
		t.Fatalf("connected to a leaving server: got %+v, want DialRefused", refusal)
	}
	s.Handle(testStart, AttemptDone{Request: r.ID, Attempt: d.Attempt, Outcome: DialFailed})
	next, ok := replyTo(t, s.Handle(testStart.Add(time.Second), Tick{}), r.ID).(Dispatch)
	if !ok || next.Server == d.Server {
		t.Errorf("second attempt: got %+v, want a dispatch to the other server", next)
	}
}

// TestLoadReports guards against an older load report that replaces a newer one,
// and against a report that counts as newer than the headers of its response.
func TestLoadReports(t *testing.T) {
	s := newState(t, 1, vms(1, 0, 0), rulesFor(4, ""))
	r := completion("r", 0, time.Time{})
	d := admitAndPlace(t, s, testStart, r).(Dispatch)
	connect(t, s, testStart, r.ID, d)
	s.Handle(testStart.Add(time.Second), FirstToken{Request: r.ID, Attempt: d.Attempt})
	s.Handle(testStart.Add(time.Minute), AttemptDone{Request: r.ID, Attempt: d.Attempt, Outcome: Succeeded, Load: &fleet.Load{Running: 3}})
	server := s.serverList[0]
	if age := server.Load.ReportedAt.Sub(testStart); age != time.Second || server.Load.Running != 3 {
		t.Errorf("load %+v, want 3 running, reported with the first token", server.Load)
	}
	if server.UpdateLoad(fleet.Load{Running: 9}, testStart, 0) || server.Load.Running != 3 {
		t.Error("an older report replaced a newer one")
	}
}

// TestRulesReachDecisions guards against a token rate or a placement policy in
// the rules that has no effect.
func TestRulesReachDecisions(t *testing.T) {
	rules := rulesFor(1, "round-robin")
	rules.Organisations[organisation(0)] = config.Organisation{TokenRate: 1, TokenBurst: 4000}
	s := newState(t, 1, vms(2, 0, 0), rules)
	if _, ok := admitAndPlace(t, s, testStart, completion("a", 0, time.Time{})).(Dispatch); !ok {
		t.Error("a request within the token rate was not dispatched")
	}
	refusal, ok := admitAndPlace(t, s, testStart, completion("b", 0, time.Time{})).(Refusal)
	if !ok || refusal.Err.Code != code.OrganisationLimit {
		t.Errorf("a request above the token rate: got %+v, want OrganisationLimit", refusal)
	}
	if _, ok := s.policy.(placement.RoundRobin); !ok {
		t.Errorf("policy %T, want RoundRobin", s.policy)
	}
}

// TestProbeTimesJittered guards against nodes that probe a server at the same
// time after the same failure.
func TestProbeTimesJittered(t *testing.T) {
	probeTimes := map[time.Time]bool{}
	for seed := range uint64(5) {
		s := newState(t, seed, vms(1, 0, 0), rulesFor(4, ""))
		openCircuit(t, s, testStart)
		probeTimes[s.serverList[0].Chart.TimeoutAt] = true
	}
	if len(probeTimes) != 5 {
		t.Errorf("%d different probe times for 5 seeds", len(probeTimes))
	}
}
