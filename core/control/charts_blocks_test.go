package control_test

import (
	"errors"
	"testing"

	"tanagerspread/chart"
)

// TestBlockCharts guards against a path on which blocks are used or listed by
// a manifest before they are verified.
func TestBlockCharts(t *testing.T) {
	verified := func(event chart.Event, used chart.State) chart.Monitor {
		return func(memory int, step chart.Step) (int, error) {
			if step.Event == event && step.Guard == "blocks_verified" {
				memory = 1
			}
			if step.To == used && memory == 0 {
				return memory, errors.New("uses blocks that were not verified")
			}
			return memory, nil
		}
	}
	explore(t, "block-import", verified("found", "transferring"))
	explore(t, "block-import", verified("found", "imported"))
	explore(t, "block-export", verified("written", "sealing"))
	explore(t, "block-export", verified("written", "exported"))
}

// TestStoreChart guards against a leaving block store that gets transfers again
// before it is listed as live.
func TestStoreChart(t *testing.T) {
	explore(t, "store", func(memory int, step chart.Step) (int, error) {
		if step.From == "leaving" && step.To != "gone" && step.Event != "return" {
			return memory, errors.New("returns without being listed as live")
		}
		return memory, nil
	})
}

// TestPeerChart guards against a peer that counts as alive again after it
// left, unless a new process runs on its VM.
func TestPeerChart(t *testing.T) {
	explore(t, "peer", func(left int, step chart.Step) (int, error) {
		switch {
		case step.Event == "leave":
			left = 1
		case step.Event == "restart":
			left = 0
		case left == 1 && step.To == "alive":
			return left, errors.New("is alive after it left")
		}
		return left, nil
	})
}

// TestConfigurationChart guards against a node that is not fenced when its
// confirmation expires, and against a confirmation that has no effect on the
// node.
func TestConfigurationChart(t *testing.T) {
	def, err := chart.Load(chart.Embedded(), "configuration")
	if err != nil {
		t.Fatal(err)
	}
	for _, transition := range def.Transitions {
		changes := len(transition.From) > 1 || transition.From[0] != transition.To
		if changes && len(transition.Actions) == 0 {
			t.Errorf("event %s to %s has no effect on the node", transition.Event, transition.To)
		}
	}
	explore(t, "configuration", func(memory int, step chart.Step) (int, error) {
		if step.To == "confirmed" && step.Event != "confirm" {
			return memory, errors.New("is confirmed without a confirmation")
		}
		return memory, nil
	})
}
