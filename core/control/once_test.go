package control_test

import (
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/once"
	"tanagerspread/core/request"
)

// TestConnectedAfterDeadline guards against a request that is sent after its
// deadline, because a paused node handles Connected before the tick that expires
// the request.
func TestConnectedAfterDeadline(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	checker := invariant.NewChecker(func(v *invariant.Violation) { t.Error(v) })
	s, err := control.New(control.Options{Charts: chart.Embedded(), Checker: checker, ServerSlots: 1}, now)
	if err != nil {
		t.Fatal(err)
	}
	s.Handle(now, control.Configure{Version: 1, Rules: &config.Rules{
		Tokens:   map[request.Digest]config.Token{{}: {Organisation: "castlereagh"}},
		Classes:  map[request.Class]config.Class{"check": {}},
		Services: map[string]config.Service{"lodgement": {NonIdempotent: true, Class: "check"}},
	}})
	s.Handle(now, control.VMList{VMs: []control.VM{{ID: "s1", Role: fleet.RoleService, Serves: "lodgement"}}})
	s.Handle(now, control.Admit{Request: request.Request{
		ID: "r", KeyDigest: "k", Deadline: now.Add(time.Second),
		Route: request.Route{Kind: request.Service, Name: "lodgement"},
	}})
	s.Handle(now, control.ClaimResult{Request: "r"})
	s.Handle(now, control.Place{Request: "r"})
	now = now.Add(time.Minute)
	refused := refusal(t, s.Handle(now, control.Connected{Request: "r", Attempt: 1}))
	if refused.Err.Code != code.DeadlinePassedNotRun {
		t.Errorf("connected: got %v, want DeadlinePassedNotRun", refused.Err)
	}
	refused = refusal(t, s.Handle(now, control.AttemptDone{Request: "r", Attempt: 1, Outcome: control.DialFailed, NoneRan: true}))
	if refused.Err.Code != code.DeadlinePassedNotRun || !refused.Release {
		t.Errorf("attempt done: got %+v, want a not-run refusal that releases the claim", refused)
	}
}

func refusal(t *testing.T, output control.Output) control.Refusal {
	t.Helper()
	if len(output.Replies) != 1 {
		t.Fatalf("got replies %+v, want one", output.Replies)
	}
	refused, ok := output.Replies[0].Decision.(control.Refusal)
	if !ok {
		t.Fatalf("got %+v, want a refusal", output.Replies[0].Decision)
	}
	return refused
}

// TestStopWaitsForRecords guards against a planned stop that interrupts the
// writing of an at-most-once record.
func TestStopWaitsForRecords(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	checker := invariant.NewChecker(func(v *invariant.Violation) { t.Error(v) })
	s, err := control.New(control.Options{Charts: chart.Embedded(), Checker: checker}, now)
	if err != nil {
		t.Fatal(err)
	}
	s.Handle(now, control.RecordBegin{Job: once.Job{ID: "j", Operation: once.Release, GiveUpAt: now}})
	s.Handle(now, control.Drain{})
	now = now.Add(time.Second)
	if commands := s.Handle(now, control.Tick{}).Commands; len(commands) != 0 {
		t.Errorf("got %+v while a record is being written", commands)
	}
	s.Handle(now, control.RecordReport{Job: "j", Result: once.StepResult{Outcome: once.Failed}})
	now = now.Add(time.Second)
	commands := s.Handle(now, control.Tick{}).Commands
	if len(commands) != 1 || commands[0] != (control.NodeState{State: "stopped", Stopped: true}) {
		t.Errorf("got %+v, want the report that the node has stopped", commands)
	}
}
