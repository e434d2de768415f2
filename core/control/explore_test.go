package control

import (
	"errors"
	"testing"

	"tanagerspread/chart"
)

// TestServerChart guards against a path of the chart on which a server whose
// circuit breaker opened becomes available again without a successful probe and
// the slow start after it.
func TestServerChart(t *testing.T) {
	def, err := chart.Load(chart.Embedded(), "server")
	if err != nil {
		t.Fatal(err)
	}
	const closed, opened, probed = 0, 1, 2
	err = chart.Explore(def, func(memory int, step chart.Step) (int, error) {
		switch {
		case step.To == "open":
			return opened, nil
		case step.To == "recovering" && step.From == "probing" && step.Guard == "evidence_is_newer":
			return probed, nil
		case step.To == "available" && step.Event == "return":
			return closed, nil
		case step.To == "available" && memory == opened:
			return memory, errors.New("available without a successful probe")
		case step.To == "available":
			return closed, nil
		}
		return memory, nil
	})
	if err != nil {
		t.Error(err)
	}
}
