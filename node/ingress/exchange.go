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

// exchange is the state of one request while it is admitted, claimed, placed and
// attempted. The control thread makes the decision at each step.
type exchange struct {
	frontend *Frontend
	request  request.Request
	admitted control.Admitted
	claim    Claim
	// prefix holds the cache keys of the complete blocks of a prompt.
	prefix []cachekey.Key
	// namespace keeps requests of different scopes apart in the caches of the
	// engines.
	namespace string
	// callerContext ends when the caller disconnects (never for a request with an
	// idempotency key), but not at the deadline: the control thread decides how a
	// request ends whose deadline has passed.
	callerContext context.Context
	// sentAttempts counts the attempts that the control thread allowed to be
	// sent, without those that the backend server reported as not run. A claim
	// permits one dispatch, so the count of a claimed request never decreases.
	sentAttempts atomic.Int32
}

const (
	// decisionGrace is how long after its deadline a request waits for the
	// control thread's decision.
	decisionGrace = 2 * time.Second
	// reportRetryDelay is the delay before the end of an attempt is reported
	// again to a control thread whose queue is full.
	reportRetryDelay = 20 * time.Millisecond
	// maxReports is how many times the end of an attempt is reported before the
	// request fails without a decision.
	maxReports = 50
)

// requestError is the error that ends a request without a complete response. Part
// of a stream may have been sent before.
type requestError struct {
	err        *code.Error
	retryAfter time.Duration
	// version is the configuration version that was in force, or 0 when the error
	// is not a decision of the control thread.
	version config.Version
}

// earlyResult is the result of a request that needs no attempt or may not have
// one: a failure, or the stored response of an earlier call.
type earlyResult struct {
	failure *requestError
	stored  *StoredResponse
}

// attemptFunc performs one attempt. It sends nothing before checkSend returns
// nil.
type attemptFunc func(ctx context.Context, dispatch control.Dispatch, checkSend egress.SendCheck) egress.Result

// admit asks for the admission of the request and acquires its at-most-once
// claim if it needs one. It returns nil when the request may be placed.
func (x *exchange) admit(ctx context.Context) *earlyResult {
	decision, err := x.frontend.options.Control.Ask(ctx, control.Admit{Request: x.request})
	if err != nil {
		// The control thread may admit the request after the caller has disconnected.
		x.frontend.options.Control.Tell(control.Abandon{Request: x.request.ID})
		return &earlyResult{failure: &requestError{err: err}}
	}
	admitted, ok := decision.(control.Admitted)
	if !ok {
		return &earlyResult{failure: requestErrorOf(decision)}
	}
	x.admitted = admitted
	if !admitted.Claim {
		return nil
	}
	return x.acquireClaim(ctx)
}

// acquireClaim claims the at-most-once record of the request. It returns nil when
// the request may be placed.
func (x *exchange) acquireClaim(ctx context.Context) *earlyResult {
	x.claim = Claim{
		Organisation: x.admitted.Organisation,
		KeyDigest:    x.request.KeyDigest,
		BodyDigest:   x.request.BodyDigest,
		Request:      x.request.ID,
		Deadline:     x.request.Deadline,
	}
	stored, claimErr := x.frontend.options.Recorder.Claim(ctx, x.claim)
	result := control.ClaimResult{Request: x.request.ID, Err: claimErr, Replay: stored != nil}
	decision, err := x.askPastDeadline(result)
	if err != nil {
		x.abandonUnsent(ctx, claimErr == nil && stored == nil)
		return &earlyResult{failure: &requestError{err: asNotRun(err)}}
	}
	switch decision.(type) {
	case control.Proceed:
		return nil
	case control.Replay:
		return &earlyResult{stored: stored}
	}
	if claimErr == nil && stored == nil {
		x.release(ctx)
	}
	return &earlyResult{failure: requestErrorOf(decision)}
}

// execute places the request and performs attempts until the control thread
// delivers or refuses it. It returns nil when the response is complete.
func (x *exchange) execute(ctx context.Context, perform attemptFunc) *requestError {
	decision, err := x.askPastDeadline(control.Place{
		Request:      x.request.ID,
		Prefix:       x.prefix,
		PromptTokens: x.request.PromptTokens,
	})
	for err == nil {
		dispatch, ok := decision.(control.Dispatch)
		if !ok {
			return x.finish(ctx, decision)
		}
		result := perform(ctx, dispatch, x.sendCheck(dispatch.Attempt))
		x.logAttemptFailure(dispatch, result)
		if result.Outcome == control.Rejected && !x.admitted.Claim {
			x.sentAttempts.Add(-1)
		}
		decision, err = x.reportAttemptDone(control.AttemptDone{
			Request:          x.request.ID,
			Attempt:          dispatch.Attempt,
			Outcome:          result.Outcome,
			Cause:            result.Cause,
			Load:             result.Load,
			Leaving:          result.Leaving,
			NoneRan:          x.sentAttempts.Load() == 0,
			ConnectionBroken: result.ConnectionBroken,
			Answered:         result.Answered,

			OtherServer: result.OtherServer,
			Weights:     result.Weights,
			ServerError: result.ServerError,
		})
	}
	if x.sentAttempts.Load() > 0 {
		x.frontend.options.Control.Tell(control.Abandon{Request: x.request.ID})
		return &requestError{err: asOutcomeUnknown(err)}
	}
	x.abandonUnsent(ctx, x.admitted.Claim)
	return &requestError{err: asNotRun(err)}
}

// askPastDeadline asks the control thread and waits for its decision until
// decisionGrace after the deadline of the request.
func (x *exchange) askPastDeadline(question control.Question) (control.Decision, *code.Error) {
	ctx, cancel := context.WithDeadline(x.callerContext, x.request.Deadline.Add(decisionGrace))
	defer cancel()
	return x.frontend.options.Control.Ask(ctx, question)
}

// reportAttemptDone reports the end of an attempt and returns the next decision.
// It repeats the report while the control queue is full, because the attempt may
// have run.
func (x *exchange) reportAttemptDone(report control.AttemptDone) (control.Decision, *code.Error) {
	ctx := context.WithoutCancel(x.callerContext)
	for range maxReports {
		decision, err := x.frontend.options.Control.Ask(ctx, report)
		if err == nil || err.Code != code.Overloaded {
			return decision, err
		}
		<-time.After(reportRetryDelay)
	}
	return nil, code.New(code.Overloaded, "the control queue of the node is full")
}

// abandonUnsent finishes a request without a sent attempt, and releases its claim
// if claimed is true.
func (x *exchange) abandonUnsent(ctx context.Context, claimed bool) {
	if claimed {
		x.release(ctx)
	}
	x.frontend.options.Control.Tell(control.Abandon{Request: x.request.ID})
}

// sendCheck returns the function that asks the control thread whether the request
// may be sent on the open connection.
func (x *exchange) sendCheck(attempt request.AttemptID) egress.SendCheck {
	return func(context.Context) error {
		decision, err := x.askPastDeadline(control.Connected{Request: x.request.ID, Attempt: attempt})
		if err != nil {
			return err
		}
		switch d := decision.(type) {
		case control.Proceed:
			x.sentAttempts.Add(1)
			return nil
		case control.Refusal:
			return d.Err
		}
		return code.New(code.Internal, "the control thread gave an unexpected decision")
	}
}

// finish returns the error of a refusal, and releases the claim if the refusal
// requires it. It returns nil for any other decision.
func (x *exchange) finish(ctx context.Context, decision control.Decision) *requestError {
	refusal, ok := decision.(control.Refusal)
	if !ok {
		return nil
	}
	if refusal.Release {
		x.release(ctx)
	}
	return &requestError{err: refusal.Err, retryAfter: refusal.RetryAfter, version: refusal.Version}
}

// release releases the claim of a request that was not sent and reports it to
// the control thread.
func (x *exchange) release(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	if err := x.frontend.options.Recorder.Release(ctx, x.claim); err != nil {
		eventlog.Write(x.frontend.options.Logger, event.ClaimReleaseFailed, err, "request", x.request.ID)
	}
	_, _ = x.frontend.options.Control.Ask(ctx, control.Recorded{Request: x.request.ID})
}

// recordResponse stores the response of a claimed request and reports it to the
// control thread.
func (x *exchange) recordResponse(ctx context.Context, stored StoredResponse) {
	ctx = context.WithoutCancel(ctx)
	if err := x.frontend.options.Recorder.Complete(ctx, x.claim, stored); err != nil {
		eventlog.Write(x.frontend.options.Logger, event.ResponseRecordFailed, err, "request", x.request.ID)
	}
	_, _ = x.frontend.options.Control.Ask(ctx, control.Recorded{Request: x.request.ID})
}

func (x *exchange) logAttemptFailure(dispatch control.Dispatch, result egress.Result) {
	if result.Cause == nil {
		return
	}
	eventlog.Write(x.frontend.options.Logger, event.AttemptFailed, result.Cause,
		"request", x.request.ID, "attempt", int(dispatch.Attempt), "server", string(dispatch.Server), "code", int(result.Cause.Code))
}

func requestErrorOf(decision control.Decision) *requestError {
	refusal, ok := decision.(control.Refusal)
	if !ok {
		return &requestError{err: code.New(code.Internal, "the control thread gave an unexpected decision")}
	}
	return &requestError{err: refusal.Err, retryAfter: refusal.RetryAfter, version: refusal.Version}
}

// asNotRun returns the error of a request that was not sent, wrapped if needed so
// that its execution class is not-run.
func asNotRun(err *code.Error) *code.Error {
	if err.Info().Execution == code.NotRun {
		return err
	}
	return code.Wrap(code.DeadlinePassedNotRun, "the request ended before it was sent", err)
}

// asOutcomeUnknown returns the error of a request that was sent. An error of the
// class not-run is wrapped so that its execution class is unknown.
func asOutcomeUnknown(err *code.Error) *code.Error {
	if err.Info().Execution != code.NotRun {
		return err
	}
	return code.Wrap(code.BackendLost, "the request was sent and its outcome is not known", err)
}
