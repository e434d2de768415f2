package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/request"
	"tanagerspread/node/egress"
	"tanagerspread/node/eventlog"
)

// exchange carries one request through the questions to the control thread.
type exchange struct {
	front    *Front
	request  request.Request
	admitted control.Admitted
	claim    Claim
	// prefix holds the keys of the whole blocks of a prompt.
	prefix []cachekey.Key
	// namespace separates the engines' caches by the scope of the request.
	namespace string
	// caller ends when the caller leaves, but not at the deadline: the control
	// thread decides how a request ends whose deadline has passed.
	caller context.Context
	// sent counts the attempts that the control thread let be sent, without
	// those that the backend server says it did not run. A claim permits one
	// dispatch, so a claimed request keeps its count.
	sent atomic.Int32
}

const (
	// askGrace is how long after its deadline a request waits for the control
	// thread's decision.
	askGrace = 2 * time.Second
	// doneWait is the delay before the end of an attempt is reported again to
	// a control thread whose queue is full.
	doneWait = 20 * time.Millisecond
	// maxDoneAsks bounds how often the end of an attempt is reported.
	maxDoneAsks = 50
)

// refused is how an exchange ends without a response.
type refused struct {
	err        *code.Error
	retryAfter time.Duration
	// version is the configuration that was in force, or 0 when the control
	// thread did not decide.
	version config.Version
}

// ended is how an exchange ends when no attempt is needed or possible.
type ended struct {
	refused *refused
	kept    *Kept
}

// runner performs one attempt.
type runner func(ctx context.Context, dispatch control.Dispatch, gate egress.Gate) egress.Result

// admit enters the request and settles its at-most-once claim. It returns nil
// when the request may be placed.
func (x *exchange) admit(ctx context.Context) *ended {
	decision, err := x.front.options.Control.Ask(ctx, control.Admit{Request: x.request})
	if err != nil {
		return &ended{refused: &refused{err: err}}
	}
	admitted, ok := decision.(control.Admitted)
	if !ok {
		return &ended{refused: refusalOf(decision)}
	}
	x.admitted = admitted
	if !admitted.Claim {
		return nil
	}
	return x.settleClaim(ctx)
}

func (x *exchange) settleClaim(ctx context.Context) *ended {
	x.claim = Claim{
		Organisation: x.admitted.Organisation,
		KeyDigest:    x.request.KeyDigest,
		BodyDigest:   x.request.BodyDigest,
		Request:      x.request.ID,
		Deadline:     x.request.Deadline,
	}
	kept, claimErr := x.front.options.Recorder.Claim(ctx, x.claim)
	result := control.ClaimResult{Request: x.request.ID, Err: claimErr, Replay: kept != nil}
	decision, err := x.askGraced(result)
	if err != nil {
		x.abandonUnsent(ctx, claimErr == nil && kept == nil)
		return &ended{refused: &refused{err: notRun(err)}}
	}
	switch decision.(type) {
	case control.Proceed:
		return nil
	case control.Replay:
		return &ended{kept: kept}
	}
	if claimErr == nil && kept == nil {
		x.release(ctx)
	}
	return &ended{refused: refusalOf(decision)}
}

// run places the request and performs attempts until it is delivered or
// refused. It returns nil when the response is whole.
func (x *exchange) run(ctx context.Context, run runner) *refused {
	decision, err := x.askGraced(control.Place{
		Request:      x.request.ID,
		Prefix:       x.prefix,
		PromptTokens: x.request.PromptTokens,
	})
	for err == nil {
		dispatch, ok := decision.(control.Dispatch)
		if !ok {
			return x.conclude(ctx, decision)
		}
		result := run(ctx, dispatch, x.gate(dispatch.Attempt))
		x.logFailure(dispatch, result)
		if result.Outcome == control.Rejected && !x.admitted.Claim {
			x.sent.Add(-1)
		}
		decision, err = x.askDone(control.AttemptDone{
			Request:         x.request.ID,
			Attempt:         dispatch.Attempt,
			Outcome:         result.Outcome,
			Cause:           result.Cause,
			Load:            result.Load,
			Leaving:         result.Leaving,
			NoneRan:         x.sent.Load() == 0,
			ConnectionBroke: result.ConnectionBroken,

			OtherServer: result.OtherServer,
			Weights:     result.Weights,
			ServerError: result.ServerError,
		})
	}
	if x.sent.Load() > 0 {
		x.front.options.Control.Tell(control.Abandon{Request: x.request.ID})
		return &refused{err: mayHaveRun(err)}
	}
	x.abandonUnsent(ctx, x.admitted.Claim)
	return &refused{err: notRun(err)}
}

// askGraced asks a question whose decision may come after the deadline.
func (x *exchange) askGraced(question control.Question) (control.Decision, *code.Error) {
	ctx, cancel := context.WithDeadline(x.caller, x.request.Deadline.Add(askGrace))
	defer cancel()
	return x.front.options.Control.Ask(ctx, question)
}

// askDone reports the end of an attempt. It repeats the report while the
// control queue is full, because the attempt may have run.
func (x *exchange) askDone(done control.AttemptDone) (control.Decision, *code.Error) {
	ctx := context.WithoutCancel(x.caller)
	for range maxDoneAsks {
		decision, err := x.front.options.Control.Ask(ctx, done)
		if err == nil || err.Code != code.Overloaded {
			return decision, err
		}
		<-time.After(doneWait)
	}
	return nil, code.New(code.Overloaded, "the control queue of the node is full")
}

// abandonUnsent ends a request of which no attempt was sent and releases its
// claim.
func (x *exchange) abandonUnsent(ctx context.Context, claimed bool) {
	if claimed {
		x.release(ctx)
	}
	x.front.options.Control.Tell(control.Abandon{Request: x.request.ID})
}

// gate asks the control thread whether the request may be sent on the open
// connection.
func (x *exchange) gate(attempt request.AttemptID) egress.Gate {
	return func(context.Context) error {
		decision, err := x.askGraced(control.Connected{Request: x.request.ID, Attempt: attempt})
		if err != nil {
			return err
		}
		switch d := decision.(type) {
		case control.Proceed:
			x.sent.Add(1)
			return nil
		case control.Refusal:
			return d.Err
		}
		return code.New(code.Internal, "the control thread gave an unexpected decision")
	}
}

func (x *exchange) conclude(ctx context.Context, decision control.Decision) *refused {
	refusal, ok := decision.(control.Refusal)
	if !ok {
		return nil
	}
	if refusal.Release {
		x.release(ctx)
	}
	return &refused{err: refusal.Err, retryAfter: refusal.RetryAfter, version: refusal.Version}
}

// release gives up the claim of a request that was not sent.
func (x *exchange) release(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	if err := x.front.options.Recorder.Release(ctx, x.claim); err != nil {
		eventlog.Write(x.front.options.Logger, event.ClaimReleaseFailed, err, "request", x.request.ID)
	}
	_, _ = x.front.options.Control.Ask(ctx, control.Recorded{Request: x.request.ID})
}

// record stores the response of a non-idempotent request.
func (x *exchange) record(ctx context.Context, kept Kept) {
	ctx = context.WithoutCancel(ctx)
	if err := x.front.options.Recorder.Complete(ctx, x.claim, kept); err != nil {
		eventlog.Write(x.front.options.Logger, event.ResponseRecordFailed, err, "request", x.request.ID)
	}
	_, _ = x.front.options.Control.Ask(ctx, control.Recorded{Request: x.request.ID})
}

func (x *exchange) logFailure(dispatch control.Dispatch, result egress.Result) {
	if result.Cause == nil {
		return
	}
	eventlog.Write(x.front.options.Logger, event.AttemptFailed, result.Cause,
		"request", x.request.ID, "attempt", int(dispatch.Attempt), "server", string(dispatch.Server), "code", int(result.Cause.Code))
}

func refusalOf(decision control.Decision) *refused {
	refusal, ok := decision.(control.Refusal)
	if !ok {
		return &refused{err: code.New(code.Internal, "the control thread gave an unexpected decision")}
	}
	return &refused{err: refusal.Err, retryAfter: refusal.RetryAfter, version: refusal.Version}
}

// notRun gives an error of a request that was not sent the execution class
// not-run.
func notRun(err *code.Error) *code.Error {
	if err.Info().Execution == code.NotRun {
		return err
	}
	return code.Wrap(code.DeadlinePassedNotRun, "the request ended before it was sent", err)
}

// mayHaveRun gives an error of a request that was sent the execution class
// unknown.
func mayHaveRun(err *code.Error) *code.Error {
	if err.Info().Execution != code.NotRun {
		return err
	}
	return code.Wrap(code.BackendLost, "the request was sent and its outcome is not known", err)
}
