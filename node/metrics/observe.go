package metrics

import (
	"context"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
)

// Asker is the control thread as traffic goroutines see it.
type Asker interface {
	Ask(ctx context.Context, question control.Question) (control.Decision, *code.Error)
	Tell(message control.Message) bool
}

// Observe returns an asker that counts questions and decisions and passes
// them on.
func (m *Metrics) Observe(asker Asker) Asker {
	if m == nil {
		return asker
	}
	return observer{metrics: m, asker: asker}
}

type observer struct {
	metrics *Metrics
	asker   Asker
}

// Ask passes the question on and counts it with its decision.
func (o observer) Ask(ctx context.Context, question control.Question) (control.Decision, *code.Error) {
	if done, ok := question.(control.AttemptDone); ok {
		o.metrics.count("attempts", "outcome", attemptOutcome(done.Outcome))
	}
	decision, err := o.asker.Ask(ctx, question)
	o.metrics.count("decisions", "decision", decisionName(decision, err))
	return decision, err
}

// Tell passes the message on.
func (o observer) Tell(message control.Message) bool {
	if first, ok := message.(control.FirstToken); ok {
		o.metrics.scope.Histogram("attempt_first_token_seconds", firstTokenBuckets).RecordDuration(first.Elapsed)
	}
	return o.asker.Tell(message)
}

func attemptOutcome(outcome control.Outcome) string {
	switch outcome {
	case control.Succeeded:
		return "succeeded"
	case control.DialFailed:
		return "dial_failed"
	case control.Rejected:
		return "rejected"
	case control.Lost:
		return "lost"
	case control.Stopped:
		return "stopped"
	}
	return "other"
}

func decisionName(decision control.Decision, err *code.Error) string {
	if err != nil {
		return "none"
	}
	switch decision.(type) {
	case control.Admitted:
		return "admitted"
	case control.Proceed:
		return "proceed"
	case control.Replay:
		return "replay"
	case control.Dispatch:
		return "dispatch"
	case control.Deliver:
		return "deliver"
	case control.Refusal:
		return "refusal"
	}
	return "other"
}
