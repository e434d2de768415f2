package control_test

import (
	"errors"
	"testing"

	"tanagerspread/chart"
)

// TestOrderChart guards against an order that is sent again while the engine
// may be loading it or after the engine refused it, that fails without a report
// of the engine before it is overdue, or that counts as done without the wanted
// state.
func TestOrderChart(t *testing.T) {
	explore(t, "order", func(loading int, step chart.Step) (int, error) {
		if step.Event == "accept" {
			loading = 1
		}
		if step.To == "sent" && (loading == 1 || step.Event != "missing") {
			return loading, errors.New("is sent again although the engine has it")
		}
		if step.Event == "read" && step.To == "failed" && step.Guard != "overdue" {
			return loading, errors.New("is given up before it is overdue")
		}
		if step.To == "done" && step.Event != "complete" {
			return loading, errors.New("counts as done without the wanted state")
		}
		return loading, nil
	})
}

// TestRolloutChart guards against a rollout that counts as complete before all
// engines are in the wanted state, and against one that can never leave the state
// stalled.
func TestRolloutChart(t *testing.T) {
	resumed := false
	explore(t, "rollout", func(memory int, step chart.Step) (int, error) {
		if step.To == "settled" && step.Event != "complete" {
			return memory, errors.New("counts as complete without the event complete")
		}
		resumed = resumed || step.From == "stalled" && step.To == "running"
		return memory, nil
	})
	if !resumed {
		t.Error("no event leads from stalled back to running")
	}
}
