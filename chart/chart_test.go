package chart_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"tanagerspread/chart"
)

func load(t *testing.T, name string) *chart.Definition {
	t.Helper()
	def, err := chart.Load(chart.Embedded(), name)
	if err != nil {
		t.Fatal(err)
	}
	return def
}

func explore(t *testing.T, name string, monitor chart.Monitor) {
	t.Helper()
	if err := chart.Explore(load(t, name), monitor); err != nil {
		t.Error(err)
	}
}

// TestOneDispatch guards against a path on which a non-idempotent request is
// dispatched twice, or is reported as not run or releases its claim after it
// was dispatched.
func TestOneDispatch(t *testing.T) {
	explore(t, "request-once", func(dispatches int, step chart.Step) (int, error) {
		if step.To == "dispatched" && step.From != "dispatched" {
			dispatches++
		}
		if dispatches > 1 {
			return 0, errors.New("dispatched twice")
		}
		if dispatches > 0 && (step.To == "refused" || step.To == "releasing") {
			return 0, errors.New("reported as not run after dispatch")
		}
		return dispatches, nil
	})
}

// TestRefusedIsNotRun guards against a path on which a request that may be
// repeated is reported as not run although an attempt may have run. A dispatch
// counts as not run only when the server reports so and a guard ensures that no
// other attempt ran.
func TestRefusedIsNotRun(t *testing.T) {
	explore(t, "request", func(mayHaveRun int, step chart.Step) (int, error) {
		if step.To == "dispatched" {
			return 1, nil
		}
		if step.Event == "attempt_refused" && strings.Contains(step.Guard, "none_ran") {
			return 0, nil
		}
		if mayHaveRun == 1 && (step.To == "refused" || step.To == "queued") {
			return 0, errors.New("reported as not run after dispatch")
		}
		return mayHaveRun, nil
	})
}

// TestAttemptSendsOnce guards against an attempt that is sent twice or that
// succeeds without having been sent.
func TestAttemptSendsOnce(t *testing.T) {
	explore(t, "attempt", func(sent int, step chart.Step) (int, error) {
		if step.To == "sent" {
			sent++
		}
		if sent > 1 || sent == 0 && step.To == "succeeded" {
			return 0, errors.New("sent twice or not at all")
		}
		return sent, nil
	})
}

// TestClaimIsOwn guards against a claim that is granted although it was not
// written by this operation, and against a refusal that does not withdraw a
// write which may have taken effect.
func TestClaimIsOwn(t *testing.T) {
	explore(t, "record", func(wrote int, step chart.Step) (int, error) {
		if step.To == "claiming" {
			wrote = 1
		}
		if step.To == "claimed" && (wrote == 0 || step.Event != "written" && step.Guard != "own_claim") {
			return 0, errors.New("claimed without a write of its own")
		}
		if step.To == "refused" && wrote == 1 && step.Event != "found" {
			return 0, errors.New("a write that may have taken effect is not withdrawn")
		}
		return wrote, nil
	})
}

// TestEveryPathEnds guards against a chart in which an instance does not reach a
// final state although all of its timeouts pass.
func TestEveryPathEnds(t *testing.T) {
	for _, name := range []string{"request", "request-once", "attempt", "record"} {
		def := load(t, name)
		for _, s := range def.States {
			if !endsByTimeouts(def, s, len(def.States)) {
				t.Errorf("chart %s: state %s does not end by timeouts", name, s.Name)
			}
		}
	}
}

// endsByTimeouts reports whether the timeout events lead to a final state within
// the given number of steps, whichever guards hold.
func endsByTimeouts(def *chart.Definition, from chart.StateDef, steps int) bool {
	if from.Kind == chart.Final {
		return true
	}
	if steps == 0 {
		return false
	}
	for _, t := range def.Transitions {
		for _, source := range t.From {
			if source != from.Name || t.Event != from.OnTimeout {
				continue
			}
			for _, s := range def.States {
				if s.Name == t.To && !endsByTimeouts(def, s, steps-1) {
					return false
				}
			}
		}
	}
	return true
}

const validChart = `
name = "x"
initial = "a"
[[state]]
name = "a"
kind = "waiting"
timeout = "1s"
on_timeout = "go"
[[state]]
name = "b"
kind = "final"
[[transition]]
event = "go"
from = ["a"]
to = "b"
`

// TestLoaderRefuses guards against a loader that accepts a chart with a
// structural error.
func TestLoaderRefuses(t *testing.T) {
	cases := map[string]string{
		"":                      validChart,
		"waits with no timeout": strings.Replace(validChart, "timeout = \"1s\"\n", "", 1),
		"unreachable":           validChart + "[[state]]\nname = \"c\"\nkind = \"final\"\n",
		"neither final nor left": strings.Replace(validChart, "kind = \"final\"",
			"kind = \"waiting\"\ntimeout = \"1s\"\non_timeout = \"go\"", 1),
		"names unknown state": strings.Replace(validChart, "to = \"b\"", "to = \"c\"", 1),
		"can never be taken":  validChart + "[[transition]]\nevent = \"go\"\nfrom = [\"a\"]\nto = \"a\"\n",
		"no transition for":   strings.Replace(validChart, "on_timeout = \"go\"", "on_timeout = \"stop\"", 1),
		"decode":              validChart + "colour = \"red\"\n",
		"missing unit":        strings.Replace(validChart, "\"1s\"", "\"1\"", 1),
	}
	for want, text := range cases {
		_, err := chart.Parse([]byte(text))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want %q", err, want)
		}
	}
}

// TestMachineRefuses guards against a machine that accepts a chart with a guard
// or an action that the code does not have.
func TestMachineRefuses(t *testing.T) {
	for _, line := range []string{`guard = "none"`, `actions = ["none"]`} {
		def, err := chart.Parse([]byte(validChart + line + "\n"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := chart.NewMachine(def, chart.Bindings[int]{}); err == nil || !strings.Contains(err.Error(), "unknown") {
			t.Errorf("%s: got error %v", line, err)
		}
	}
}

// TestTags guards against a changed chart that has no state with a tag that the
// code expects, or that has a tag that the code does not expect.
func TestTags(t *testing.T) {
	def, err := chart.Parse([]byte(strings.Replace(validChart, "[[state]]", "[[state]]\ntags = [\"known\"]", 1)))
	if err != nil {
		t.Fatal(err)
	}
	for name, tags := range map[string][]chart.Tag{"unknown tag": nil, "no state has tag": {"known", "missing"}} {
		if _, err := chart.NewMachine(def, chart.Bindings[int]{Tags: tags}); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
	machine, err := chart.NewMachine(def, chart.Bindings[int]{Tags: []chart.Tag{"known"}})
	if err != nil {
		t.Fatal(err)
	}
	instance := machine.Start(time.Now())
	if !instance.Is("known") || instance.Is("missing") {
		t.Error("the initial state does not have its tag")
	}
}
