package control

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/invariant"
)

// end fires the event that ends a request and answers its open question.
func (s *State) end(now time.Time, a *active, event chart.Event, err *code.Error) {
	s.fireRequest(a, event, now)
	s.conclude(a, err)
}

// conclude answers the open question of a request that ends without a
// response. A claimed request is kept until its claim is released.
func (s *State) conclude(a *active, err *code.Error) {
	s.queue.Remove(a.ID)
	err = s.checkTruth(a, err)
	s.journal.refuse(a.position.Entered, a, err)
	if a.position.Is(tagReleasesClaim) {
		s.reply(a.ID, s.refusal(a, err, true))
		return
	}
	s.reply(a.ID, s.refusal(a, err, false))
	s.forgetFinal(a)
}

// checkTruth withholds a refusal that would say that a dispatched request
// was not run.
func (s *State) checkTruth(a *active, err *code.Error) *code.Error {
	isTrue := !a.mayHaveRun() || err.Info().Execution != code.NotRun
	if s.options.Checker.Check(isTrue, invariant.NotRunNotDispatched, "request %s: code %d", a.ID, err.Code) {
		return err
	}
	return code.Wrap(code.InvariantFailed, "the request may have run", err)
}

// recorded ends a request whose at-most-once record was completed or
// released.
func (s *State) recorded(now time.Time, m Recorded) {
	a, ok := s.requests[m.Request]
	if !ok {
		s.reply(m.Request, Proceed{})
		return
	}
	s.fireRequest(a, "recorded", now)
	s.forgetFinal(a)
	s.reply(m.Request, Proceed{})
}

// abandon ends a request whose caller has left.
func (s *State) abandon(now time.Time, m Abandon) {
	a, ok := s.requests[m.Request]
	if !ok {
		return
	}
	s.fireRequest(a, "abandon", now)
	s.forgetFinal(a)
	s.assignQueued(now)
}

// expireRequests fires the timeouts of requests.
func (s *State) expireRequests(now time.Time) {
	for _, a := range s.requests {
		expired, err := a.machine.Expire(&a.position, a, now)
		if !expired || err != nil {
			continue
		}
		if a.responded {
			s.forgetFinal(a)
			continue
		}
		s.conclude(a, a.deadlineError())
	}
}

func (a *active) deadlineError() *code.Error {
	return a.either(
		code.New(code.DeadlinePassedNotRun, "the deadline passed before the request was sent"),
		code.New(code.DeadlinePassed, "the deadline passed while the request ran"))
}

func (s *State) forgetFinal(a *active) {
	if a.machine.IsFinal(&a.position) {
		s.forget(a)
	}
}

func (s *State) forget(a *active) {
	s.queue.Remove(a.ID)
	delete(s.requests, a.ID)
}

// refusal describes the end of a request without a response. The request is nil
// when the node does not keep it.
func (s *State) refusal(a *active, err *code.Error, release bool) Refusal {
	r := Refusal{Err: err, RetryAfter: retryAfter(err.Code), Version: s.version, Release: release}
	if a != nil && a.route != nil && r.RetryAfter > 0 {
		r.RetryAfter = min(max(a.route.FirstPartTarget/2, minRetryAfter), r.RetryAfter)
	}
	return r
}

// minRetryAfter is the least advised delay before a refused call is repeated.
const minRetryAfter = 50 * time.Millisecond

// retryAfter is the advised delay before a refused request is repeated.
func retryAfter(c code.Code) time.Duration {
	if code.Lookup(c).Retry != code.RetryLater {
		return 0
	}
	return time.Second
}
