package ingress

import (
	"context"
	"sync/atomic"

	"tanagerspread/core/control"
	"tanagerspread/core/request"
)

// attemptKey identifies an attempt in progress.
type attemptKey struct {
	request request.ID
	attempt request.AttemptID
}

// runningAttempt is an attempt of a forwarded call that the control thread may stop
// until the first part of its response arrives.
type runningAttempt struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// decided is true once the first part has arrived or the attempt was stopped,
	// whichever came first.
	decided atomic.Bool
}

// startAttempt makes an attempt known to StopAttempt until end is called.
func (f *Frontend) startAttempt(ctx context.Context, key attemptKey) (running *runningAttempt, end func()) {
	running = &runningAttempt{}
	running.ctx, running.cancel = context.WithCancelCause(ctx)
	f.attempts.Store(key, running)
	return running, func() {
		f.attempts.CompareAndDelete(key, running)
		running.cancel(nil)
	}
}

// firstPart ends the time in which the attempt may be stopped. It returns the cause
// when the attempt was stopped before.
func (a *runningAttempt) firstPart() error {
	if a.decided.CompareAndSwap(false, true) {
		return nil
	}
	<-a.ctx.Done()
	return context.Cause(a.ctx)
}

// StopAttempt cancels an attempt without blocking. It does nothing when the first part
// of the response has arrived or the attempt has ended.
func (f *Frontend) StopAttempt(c control.StopAttempt) {
	value, found := f.attempts.Load(attemptKey{c.Request, c.Attempt})
	if !found {
		return
	}
	running, ok := value.(*runningAttempt)
	if ok && running.decided.CompareAndSwap(false, true) {
		running.cancel(c.Cause)
	}
}
