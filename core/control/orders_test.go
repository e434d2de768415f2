package control

import (
	"errors"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
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
