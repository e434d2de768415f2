package control

import (
	"errors"
	"slices"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/order"
)

// TestIssuerChart guards against a path on which a node issues orders without
// the wait that follows each claim.
func TestIssuerChart(t *testing.T) {
	def, err := chart.Load(chart.Embedded(), "issuer")
	if err != nil {
		t.Fatal(err)
	}
	const waiting, settled = 0, 1
	err = chart.Explore(def, func(memory int, step chart.Step) (int, error) {
		if step.Event == "claimed" || step.To == "standby" {
			return waiting, nil
		}
		if step.Guard == "settled" {
			return settled, nil
		}
		if (step.To == "issuing" || step.To == "renewing") && memory != settled {
			return memory, errors.New("issues orders before it has settled")
		}
		return memory, nil
	})
	if err != nil {
		t.Error(err)
	}
}

// TestRequestKeepsVersion guards against a request that is sent to an engine
// whose weights changed after the request was placed, and against a gap
// between two versions in which a new request finds no server.
func TestRequestKeepsVersion(t *testing.T) {
	list := vms(2, 0, 0)
	s := newState(t, 1, list, rulesFor(1, ""))
	r := completion("r", 0, testStart.Add(time.Minute))
	d := begin(t, s, testStart, r).(Dispatch)
	rules := rulesFor(1, "")
	model := rules.Models["m"]
	model.Weights, model.Adapter = 2, "caption"
	rules.Models["m"] = model
	s.Handle(testStart, Configure{Version: 2, Rules: rules})
	if a := answer(t, s.Handle(testStart, Admit{Request: completion("old", 0, testStart.Add(time.Minute))}), "old").(Admitted); a.Scope.Weights != 1 || a.Scope.Adapter != "" {
		t.Errorf("scope before the rollout: %+v", a.Scope)
	}
	for i := range list {
		if list[i].ID == string(d.Server) {
			list[i].Weights = 2
		}
	}
	s.Handle(testStart, VMList{VMs: list})
	refusal, ok := answer(t, s.Handle(testStart, Connected{Request: r.ID, Attempt: d.Attempt}), r.ID).(Refusal)
	if !ok || refusal.Err.Code != code.DialRefused {
		t.Errorf("connected to an engine with other weights: %+v", refusal)
	}
	if a := answer(t, s.Handle(testStart, Admit{Request: completion("new", 0, testStart.Add(time.Minute))}), "new").(Admitted); a.Scope.Weights != 2 || a.Scope.Adapter != "caption" {
		t.Errorf("scope with half of the engines: %+v", a.Scope)
	}
}

// issuing returns a state that issues orders, and the time.
func issuing(t *testing.T) (*State, time.Time) {
	s := newState(t, 1, vms(2, 0, 0), rulesFor(1, ""))
	s.options.Issuer = true
	now := testStart
	for range 2000 {
		now = now.Add(50 * time.Millisecond)
		follow(s, now, s.Handle(now, Tick{}), 7)
		if s.mayIssue(now) {
			return s, now
		}
	}
	t.Fatalf("not issuing: %+v", s.dumpOrders())
	return nil, now
}

// follow answers the commands of the issuer; engines have seen a number.
func follow(s *State, now time.Time, output Output, seen uint64) {
	for _, command := range slices.Clone(output.Commands) {
		switch c := command.(type) {
		case IssuerCommand:
			follow(s, now, s.Handle(now, IssuerResult{Step: c.Step, Attempt: c.Attempt, Asked: now, Lease: "l", Revision: 5}), seen)
		case ReadEngine:
			s.Handle(now, EngineStatus{Engine: c.Engine, Call: c.Call, Status: order.Status{Current: order.Desired{Model: "m", Weights: 1}, Fencing: seen}})
		}
	}
}

// TestTermEnds guards against a term that goes on after an engine has seen a
// higher fencing number, or after the lease has ended by the node's own clock,
// and against a number that engines have seen before.
func TestTermEnds(t *testing.T) {
	s, now := issuing(t)
	if s.orders.issuer.FencingNumber != 8 {
		t.Errorf("fencing number %d after 7 was seen", s.orders.issuer.FencingNumber)
	}
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		follow(s, now, s.Handle(now, Tick{}), 9)
	}
	if s.inTerm() || s.orders.issuer.HighestFencing != 9 {
		t.Errorf("after a higher number: %+v", s.dumpOrders())
	}
	s, now = issuing(t)
	now = now.Add(order.OwnParameters().LeaseTTL)
	s.Handle(now, EngineStatus{})
	if s.inTerm() || s.mayIssue(now) {
		t.Errorf("after the lease: %+v", s.dumpOrders())
	}
}

// TestSilentEngineReadAgain guards against an engine that was silent when the
// term began and keeps its old weights for the whole term (soak seeds 103, 106
// and 207).
func TestSilentEngineReadAgain(t *testing.T) {
	s, now := issuing(t)
	s.orders.issuer.Parameters.StatePollInterval = 0
	e := s.orders.list[0]
	e.CallInProgress = false
	e.RecordUnreachable()
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		follow(s, now, s.Handle(now, Tick{}), 0)
	}
	if e.Unreachable {
		t.Error("the engine was not read again within 5 s")
	}
}
