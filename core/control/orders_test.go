package control

import (
	"errors"
	"io/fs"
	"slices"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/order"
)

// TestIssuerChart guards against a path of the chart on which a node issues
// orders without the wait that must follow each claim, or goes on issuing when it
// leaves. It explores the chart of each deployment.
func TestIssuerChart(t *testing.T) {
	for name, files := range map[string]fs.FS{"own": chart.Embedded(), "deployed": chart.Deployed()} {
		t.Run(name, func(t *testing.T) {
			def, err := chart.Load(files, "issuer")
			if err != nil {
				t.Fatal(err)
			}
			if err := chart.Explore(def, checkIssuerStep); err != nil {
				t.Error(err)
			}
		})
	}
}

func checkIssuerStep(memory int, step chart.Step) (int, error) {
	const waiting, mayIssue = 0, 1
	if step.Event == "leave" && step.To != "standby" {
		return memory, errors.New("keeps the lease when the node leaves")
	}
	if step.Event == "claimed" || step.To == "standby" {
		return waiting, nil
	}
	if step.Guard == "settled" {
		return mayIssue, nil
	}
	if (step.To == "issuing" || step.To == "renewing") && memory != mayIssue {
		return memory, errors.New("issues orders before the wait after the claim has finished")
	}
	return memory, nil
}

// TestRequestKeepsVersion guards against a request that is sent to an engine
// whose weights changed after the request was placed, and against a time during
// a rollout in which a new request finds no server with its weight version.
func TestRequestKeepsVersion(t *testing.T) {
	list := vms(2, 0, 0)
	s := newState(t, 1, list, rulesFor(1, ""))
	r := completion("r", 0, testStart.Add(time.Minute))
	d := admitAndPlace(t, s, testStart, r).(Dispatch)
	rules := rulesFor(1, "")
	model := rules.Models["m"]
	model.Weights, model.Adapter = 2, "caption"
	rules.Models["m"] = model
	s.Handle(testStart, Configure{Version: 2, Rules: rules})
	if a := replyTo(t, s.Handle(testStart, Admit{Request: completion("old", 0, testStart.Add(time.Minute))}), "old").(Admitted); a.Scope.Weights != 1 || a.Scope.Adapter != "" {
		t.Errorf("scope before the rollout: %+v", a.Scope)
	}
	for i := range list {
		if list[i].ID == string(d.Server) {
			list[i].Weights = 2
		}
	}
	s.Handle(testStart, VMList{VMs: list})
	refusal, ok := replyTo(t, s.Handle(testStart, Connected{Request: r.ID, Attempt: d.Attempt}), r.ID).(Refusal)
	if !ok || refusal.Err.Code != code.DialRefused {
		t.Errorf("connected to an engine with other weights: %+v", refusal)
	}
	if a := replyTo(t, s.Handle(testStart, Admit{Request: completion("new", 0, testStart.Add(time.Minute))}), "new").(Admitted); a.Scope.Weights != 2 || a.Scope.Adapter != "caption" {
		t.Errorf("scope with half of the engines: %+v", a.Scope)
	}
}

// newIssuingState returns a state that may issue orders, and its current time.
func newIssuingState(t *testing.T) (*State, time.Time) {
	s := newState(t, 1, vms(2, 0, 0), rulesFor(1, ""))
	s.options.MayIssueOrders = true
	now := testStart
	for range 2000 {
		now = now.Add(50 * time.Millisecond)
		answerCommands(s, now, s.Handle(now, Tick{}), 7)
		if s.mayIssue(now) {
			return s, now
		}
	}
	t.Fatalf("not issuing: %+v", s.dumpOrders())
	return nil, now
}

// answerCommands answers the commands of the issuer. Engines report seenFencing
// as the highest fencing number that they have seen.
func answerCommands(s *State, now time.Time, output Output, seenFencing uint64) {
	for _, command := range slices.Clone(output.Commands) {
		switch c := command.(type) {
		case IssuerCommand:
			answerCommands(s, now, s.Handle(now, IssuerResult{Step: c.Step, Attempt: c.Attempt, AskedAt: now, Lease: "l", Revision: 5}), seenFencing)
		case ReadEngine:
			s.Handle(now, EngineStatus{Engine: c.Engine, Call: c.Call, Status: order.Status{Current: order.Desired{Model: "m", Weights: 1}, Fencing: seenFencing}})
		}
	}
}

// TestTermEnds guards against a term that continues after an engine has seen a
// higher fencing number or after the lease has expired by the node's own clock,
// and against the choice of a fencing number that engines have seen before.
func TestTermEnds(t *testing.T) {
	s, now := newIssuingState(t)
	if s.orders.issuer.FencingNumber != 8 {
		t.Errorf("fencing number %d after 7 was seen", s.orders.issuer.FencingNumber)
	}
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		answerCommands(s, now, s.Handle(now, Tick{}), 9)
	}
	if s.inTerm() || s.orders.issuer.HighestFencing != 9 {
		t.Errorf("after a higher fencing number: %+v", s.dumpOrders())
	}
	s, now = newIssuingState(t)
	now = now.Add(order.OwnParameters().LeaseTTL)
	s.Handle(now, EngineStatus{})
	if s.inTerm() || s.mayIssue(now) {
		t.Errorf("after the lease expired: %+v", s.dumpOrders())
	}
}

// TestUnreachableEngineReadAgain guards against an engine that was unreachable
// when the term started and, because it is not read again, keeps its old weights
// for the whole term (soak seeds 103, 106 and 207).
func TestUnreachableEngineReadAgain(t *testing.T) {
	s, now := newIssuingState(t)
	s.orders.issuer.Parameters.StatePollInterval = 0
	e := s.orders.engineList[0]
	e.CallInProgress = false
	e.RecordUnreachable()
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		answerCommands(s, now, s.Handle(now, Tick{}), 0)
	}
	if e.Unreachable {
		t.Error("the engine was not read again within 5 s")
	}
}

// TestHolderIssuesWhileDraining guards against a holder of the lease that stops
// issuing orders when its planned stop begins: during a rolling restart, engines
// then kept old weights, because the next node waits for the lease and is often
// stopped too before it issues the first order (issue 22).
func TestHolderIssuesWhileDraining(t *testing.T) {
	const engines = 9
	site := newLateSite(engines, 1)
	s := newDeployedState(t, "n1", site.now, vms(engines, 0, 0))
	site.carryOut(s, s.Handle(site.now, WeightsNamed{Model: "m", Weights: 2}))
	request := completion("r", 0, testStart.Add(time.Minute))
	s.Handle(site.now, Admit{Request: request})
	for !s.mayIssue(site.now) && site.now.Sub(testStart) < 10*time.Second {
		site.step(s)
	}
	site.carryOut(s, s.Handle(site.now, Drain{}))
	for site.now.Sub(testStart) < 15*time.Second {
		site.step(s)
		if !s.mayIssue(site.now) {
			t.Fatalf("no longer the issuer after %s, state %s", site.now.Sub(testStart), s.nodeChart.State)
		}
	}
	site.carryOut(s, s.Handle(site.now, Abandon{Request: request.ID}))
	for !s.nodeChart.Is(tagDeparts) && site.now.Sub(testStart) < time.Minute {
		site.step(s)
	}
	if s.inTerm() {
		t.Error("the node leaves and is still the issuer")
	}
	for site.now.Sub(testStart) < time.Minute {
		if site.step(s); s.inTerm() {
			t.Fatal("a node that leaves contends for the lease")
		}
	}
}

// TestStoppingNodeDoesNotContend guards against a lease that goes to a node that
// is about to leave.
func TestStoppingNodeDoesNotContend(t *testing.T) {
	const engines = 9
	site := newLateSite(engines, 1)
	s := newDeployedState(t, "n1", site.now, vms(engines, 0, 0))
	s.Handle(site.now, Drain{})
	site.carryOut(s, s.Handle(site.now, WeightsNamed{Model: "m", Weights: 2}))
	for site.now.Sub(testStart) < 20*time.Second {
		if site.step(s); s.inTerm() {
			t.Fatal("a stopping node became the issuer")
		}
	}
}
