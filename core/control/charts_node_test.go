package control_test

import (
	"errors"
	"testing"

	"tanagerspread/chart"
)

// explore runs a monitor over every path of a shipped chart.
func explore(t *testing.T, name string, monitor chart.Monitor) {
	t.Helper()
	def, err := chart.Load(chart.Embedded(), name)
	if err != nil {
		t.Fatal(err)
	}
	if err := chart.Explore(def, monitor); err != nil {
		t.Error(err)
	}
}

// TestReadyOnlyWhenConfirmed guards against a path to the ready state without
// a confirmed configuration, and against a node that stops without leaving,
// while its session entry still exists.
func TestReadyOnlyWhenConfirmed(t *testing.T) {
	explore(t, "node", func(memory int, step chart.Step) (int, error) {
		if step.To == "ready" && step.From != "ready" && (step.Event != "confirm" || step.Guard != "has_rules") {
			return memory, errors.New("becomes ready without a confirmation")
		}
		if step.To == "stopped" && step.From != "leaving" {
			return memory, errors.New("stops without leaving")
		}
		return memory, nil
	})
}

// TestNoWriteAfterClose guards against a session entry that is written after
// the node has started to delete it.
func TestNoWriteAfterClose(t *testing.T) {
	explore(t, "session", func(memory int, step chart.Step) (int, error) {
		if step.Event == "close" {
			memory = 1
		}
		if memory == 1 && step.To != "closing" && step.To != "closed" {
			return memory, errors.New("continues after close")
		}
		return memory, nil
	})
}
