package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	nodecontrol "tanagerspread/node/control"
)

// TestNoDecisionAfterEnd guards against a loop that still permits a request
// after its context has ended, because a queued message and the end are ready
// at the same moment.
func TestNoDecisionAfterEnd(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			state, err := control.New(control.Options{Node: "n1", Charts: chart.Embedded()}, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			loop := nodecontrol.NewLoop(state, func(control.Command) {})
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			time.AfterFunc(time.Second, func() { loop.Run(ctx) })
			decision, fault := loop.Ask(t.Context(), control.DumpState{ID: "d"})
			if decision != nil || fault == nil || fault.Code != code.Draining {
				t.Fatalf("decision %v, error %v", decision, fault)
			}
		})
	}
}

// TestFullQueue guards against a full queue that blocks the asker or hides
// its refusal, and against new requests that take the room of those in
// progress.
func TestFullQueue(t *testing.T) {
	state, err := control.New(control.Options{Node: "n1", Charts: chart.Embedded()}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	loop := nodecontrol.NewLoop(state, func(control.Command) {})
	accepted, admitted := 0, -1
	for loop.Tell(control.Tick{}) {
		accepted++
		if _, fault := loop.Ask(ended(t), control.Admit{}); admitted < 0 && fault.Code == code.Overloaded {
			admitted = accepted
		}
	}
	if admitted < 0 || admitted >= accepted {
		t.Errorf("new requests are refused after %d of %d messages", admitted, accepted)
	}
	if _, fault := loop.Ask(t.Context(), control.Connected{}); fault == nil || fault.Code != code.Overloaded {
		t.Errorf("a question to a full queue: error %v", fault)
	}
}

// ended returns a context that has ended, so that an accepted question does
// not wait for a loop that does not run.
func ended(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}
