package control_test

import (
	"errors"
	"io/fs"
	"testing"

	"tanagerspread/chart"
)

// TestOrderChart guards against an order that is sent again while the engine
// may be loading it or after the engine refused it, that fails without a report
// of the engine before it is overdue, that counts as done without the wanted
// state, or whose load does not count towards the limit. It explores the chart of
// each deployment.
func TestOrderChart(t *testing.T) {
	for name, files := range map[string]fs.FS{"own": chart.Embedded(), "deployed": chart.Deployed()} {
		t.Run(name, func(t *testing.T) {
			def, err := chart.Load(files, "order")
			if err != nil {
				t.Fatal(err)
			}
			if err := chart.Explore(def, checkOrderStep); err != nil {
				t.Error(err)
			}
		})
	}
}

func checkOrderStep(loading int, step chart.Step) (int, error) {
	if step.Event == "accept" {
		loading = 1
		if step.To != "loading" {
			return loading, errors.New("is accepted and does not count as a load")
		}
	}
	again := step.To == "sent" || step.To == "resent"
	if again && (loading == 1 || step.Event != "missing" && (step.Event != "supersede" || step.From != "unaccepted")) {
		return loading, errors.New("is sent again although the engine has it")
	}
	if step.To == "unaccepted" && step.From != "unaccepted" && step.From != "resent" && step.Event != "missing" {
		return loading, errors.New("counts as no load without a report of the engine")
	}
	if step.Event == "read" && step.To == "failed" && step.Guard != "overdue" {
		return loading, errors.New("is given up before it is overdue")
	}
	if step.To == "done" && step.Event != "complete" {
		return loading, errors.New("counts as done without the wanted state")
	}
	return loading, nil
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
