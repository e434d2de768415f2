package control_test

import (
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/invariant"
	"tanagerspread/core/request"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newState(t *testing.T, options control.Options) *control.State {
	t.Helper()
	options.Charts = chart.Embedded()
	options.Checker = invariant.NewChecker(func(v *invariant.Violation) { t.Error(v) })
	state, err := control.New(options, start)
	if err != nil {
		t.Fatal(err)
	}
	rules := &config.Rules{
		Organisations: map[request.Organisation]config.Organisation{"guild": {Rate: 1, Burst: 1}},
		Tokens:        map[request.Digest]config.Token{{1}: {Organisation: "guild"}, {2}: {Organisation: "absent"}},
		Classes:       map[request.Class]config.Class{"check": {QueueLimit: 1}},
		Models:        map[string]config.Model{"m": {Weights: 1, Class: "check"}},
		Comments:      map[string]string{"organisations/guild": "entries office", "models/m": "M. Tasker"},
	}
	state.Handle(start, control.Configure{Version: 7, Rules: rules})
	return state
}

func admit(state *control.State, id request.ID, digest request.Digest) {
	r := request.Request{ID: id, Route: request.Route{Kind: request.Completion, Name: "m"}, TokenDigest: digest}
	state.Handle(start, control.Admit{Request: r})
}

// TestExplain guards against an explanation that lacks the rule that the
// decision followed, and against one that contains a decision on another request.
func TestExplain(t *testing.T) {
	state := newState(t, control.Options{})
	admit(state, "first", request.Digest{1})
	admit(state, "second", request.Digest{1})
	admit(state, "stranger", request.Digest{1, 1})
	for id, want := range map[request.ID]control.JournalEntry{
		"first":    {Action: "admit", Rule: "models/m", AskedBy: "M. Tasker"},
		"second":   {Action: "refuse", Rule: "organisations/guild", AskedBy: "entries office", Code: code.OrganisationLimit},
		"stranger": {Action: "refuse", Code: code.UnknownToken},
	} {
		output := state.Handle(start, control.Explain{ID: "ask", Request: id})
		got := output.Replies[0].Decision.(control.Explanation)
		if len(got.Decisions) != 1 {
			t.Fatalf("%s: got %+v", id, got)
		}
		r := got.Decisions[0]
		if r.Action != want.Action || r.Rule != want.Rule || r.AskedBy != want.AskedBy || r.Code != want.Code || r.Version != 7 {
			t.Errorf("%s: got %+v", id, r)
		}
	}
}

// TestDrainDelay guards against a stopping node that refuses requests before
// the load balancer has seen that it is not ready, and against a repeated Drain
// that extends the delay.
func TestDrainDelay(t *testing.T) {
	state := newState(t, control.Options{DrainDelay: 20 * time.Second})
	state.Handle(start, control.Drain{})
	for i, want := range []string{"unready", "draining"} {
		after := time.Duration(19+i) * time.Second
		if i == 0 {
			state.Handle(start.Add(after), control.Drain{})
		}
		state.Handle(start.Add(after), control.Tick{})
		output := state.Handle(start.Add(after), control.AskStatus{ID: "ask"})
		if got := output.Replies[0].Decision.(control.Status).State; got != want {
			t.Errorf("after %s: got %s, want %s", after, got, want)
		}
	}
}
