package metrics

import (
	"context"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
)

// ControlThread is the interface of the control thread for traffic goroutines.
// Ask waits for the decision; Tell is one way and reports whether the message
// was accepted.
type ControlThread interface {
	Ask(ctx context.Context, question control.Question) (control.Decision, *code.Error)
	Tell(message control.Message) bool
}

// Observe returns a ControlThread that forwards to inner and counts attempt
// outcomes, decisions and times to the first token.
func (m *Metrics) Observe(inner ControlThread) ControlThread {
	if m == nil {
		return inner
	}
	return observer{metrics: m, control: inner}
}

type observer struct {
	metrics *Metrics
	control ControlThread
}

// Ask forwards the question. It counts the decision, and the outcome of an
// attempt that the question reports.
func (o observer) Ask(ctx context.Context, question control.Question) (control.Decision, *code.Error) {
	if done, ok := question.(control.AttemptDone); ok {
		o.metrics.count("attempts", "outcome", attemptOutcome(done.Outcome))
	}
	decision, err := o.control.Ask(ctx, question)
	o.metrics.count("decisions", "decision", decisionName(decision, err))
	return decision, err
}

// Tell forwards the message and records the time to the first token that it
// reports.
func (o observer) Tell(message control.Message) bool {
	if first, ok := message.(control.FirstToken); ok {
		o.metrics.scope.Histogram("attempt_first_token_seconds", durationBuckets).RecordDuration(first.Elapsed)
	}
	return o.control.Tell(message)
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
