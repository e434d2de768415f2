package metrics_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/node/metrics"
)

// fakeControl answers every question with one decision.
type fakeControl struct {
	decision control.Decision
}

func (f fakeControl) Ask(context.Context, control.Question) (control.Decision, *code.Error) {
	return f.decision, nil
}
func (fakeControl) Tell(control.Message) bool { return true }

// TestScrape guards against metrics that are not counted or that have the wrong
// name or tag.
func TestScrape(t *testing.T) {
	m := metrics.New()
	observed := m.Observe(fakeControl{decision: control.Deliver{}})
	m.ObserveOutcome(nil)
	m.ObserveOutcome(code.New(code.QueueFull, ""))
	m.CountViolation()
	m.SetGauges(control.Status{Waiting: 4, Leaving: 2, Paused: 3, Version: 9})
	_, _ = observed.Ask(t.Context(), control.AttemptDone{Outcome: control.Lost})
	observed.Tell(control.FirstToken{Elapsed: 60 * time.Millisecond})
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`tanagerspread_requests{outcome="delivered"} 1`,
		`tanagerspread_requests{outcome="1405"} 1`,
		`tanagerspread_invariant_failures 1`,
		`tanagerspread_queue_length 4`,
		`tanagerspread_servers_leaving 2`,
		`tanagerspread_servers_paused 3`,
		`tanagerspread_configuration_version 9`,
		`tanagerspread_attempts{outcome="lost"} 1`,
		`tanagerspread_decisions{decision="deliver"} 1`,
		`tanagerspread_attempt_first_token_seconds_bucket{le="0.05"} 0`,
		`tanagerspread_attempt_first_token_seconds_bucket{le="0.1"} 1`,
	} {
		if !strings.Contains(recorder.Body.String(), want+"\n") {
			t.Errorf("missing %s in\n%s", want, recorder.Body.String())
		}
	}
}
