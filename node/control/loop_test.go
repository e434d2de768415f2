package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	nodecontrol "tanagerspread/node/control"
)

// TestNoDecisionAfterCancel guards against a loop that still permits a request
// after its context was cancelled, when a queued message and the cancellation
// are ready at the same time.
func TestNoDecisionAfterCancel(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			state, err := control.New(control.Options{Node: "n1", Charts: chart.Embedded()}, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			loop := nodecontrol.NewLoop(state, func(control.Command) {}, nil)
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			time.AfterFunc(time.Second, func() { loop.Run(ctx) })
			decision, refusal := loop.Ask(t.Context(), control.DumpState{ID: "d"})
			if decision != nil || refusal == nil || refusal.Code != code.Draining {
				t.Fatalf("decision %v, error %v", decision, refusal)
			}
		})
	}
}

// TestFullQueue guards against a full queue that blocks the requester or hides
// its refusal, and against new requests that use the queue capacity reserved for
// those in progress.
func TestFullQueue(t *testing.T) {
	state, err := control.New(control.Options{Node: "n1", Charts: chart.Embedded()}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	loop := nodecontrol.NewLoop(state, func(control.Command) {}, nil)
	accepted, firstRefusal := 0, -1
	for loop.Tell(control.Tick{}) {
		accepted++
		if _, refusal := loop.Ask(cancelledContext(t), control.Admit{}); firstRefusal < 0 && refusal.Code == code.Overloaded {
			firstRefusal = accepted
		}
	}
	if firstRefusal < 0 || firstRefusal >= accepted {
		t.Errorf("new requests are refused after %d of %d messages, want before the queue is full", firstRefusal, accepted)
	}
	if _, refusal := loop.Ask(t.Context(), control.Connected{}); refusal == nil || refusal.Code != code.Overloaded {
		t.Errorf("question to a full queue: got error %v, want code.Overloaded", refusal)
	}
}

// cancelledContext returns a cancelled context, so that an accepted question does
// not wait for a loop that does not run.
func cancelledContext(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// TestSuspensionReported guards against a control thread that does not learn that the
// machine was suspended, or learns it twice.
func TestSuspensionReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state, err := control.New(control.Options{Node: "n1", Charts: chart.Embedded()}, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		reported := 0
		sink := func(command control.Command) {
			if logged, ok := command.(control.LogEvent); ok && logged.Event.Number == event.PauseDetected.Number {
				reported++
			}
		}
		started := time.Now()
		suspended := func() time.Duration {
			if time.Since(started) < time.Second {
				return 0
			}
			return 3 * time.Second
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		nodecontrol.NewLoop(state, sink, suspended).Run(ctx)
		if reported != 1 {
			t.Errorf("one suspension was reported %d times", reported)
		}
	})
}
