package control_test

import (
	"errors"
	"io/fs"
	"testing"

	"tanagerspread/chart"
)

// checkRevert explores a chart and checks that each state but those listed is left at
// once when the store came back from a copy, and that no state in held is reached after
// that before the event renewed.
func checkRevert(t *testing.T, files fs.FS, name string, without, held map[chart.State]bool, renewed chart.Event) {
	t.Helper()
	def, err := chart.Load(files, name)
	if err != nil {
		t.Fatal(err)
	}
	states, reverts := map[chart.State]bool{}, map[chart.State]bool{}
	err = chart.Explore(def, func(memory int, step chart.Step) (int, error) {
		states[step.From] = true
		switch step.Event {
		case "revert":
			reverts[step.From] = true
			memory = 1
		case renewed:
			memory = 0
		}
		if memory == 1 && held[step.To] {
			return memory, errors.New("relies on what was granted before the store came back")
		}
		return memory, nil
	})
	if err != nil {
		t.Error(err)
	}
	for state := range states {
		if !reverts[state] && !without[state] {
			t.Errorf("chart %s: state %s ignores that the store came back", name, state)
		}
	}
}

// TestNothingHeldAfterRevert guards against an issuer that sends orders, and a session
// that counts as written, by a lease of an earlier era.
func TestNothingHeldAfterRevert(t *testing.T) {
	for _, files := range []fs.FS{chart.Embedded(), chart.Deployed()} {
		checkRevert(t, files, "issuer", map[chart.State]bool{"standby": true},
			map[chart.State]bool{"settling": true, "confirming": true, "issuing": true, "renewing": true}, "claimed")
		checkRevert(t, files, "session", map[chart.State]bool{"absent": true, "closing": true},
			map[chart.State]bool{"held": true, "writing": true, "renewing": true, "retrying": true}, "granted")
	}
}
