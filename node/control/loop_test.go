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
