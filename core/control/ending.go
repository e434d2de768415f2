package control

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/invariant"
)

// finishWithError fires the event that finishes a request and sends the refusal.
func (s *State) finishWithError(now time.Time, req *activeRequest, event chart.Event, err *code.Error) {
	s.fireRequestEvent(req, event, now)
	s.sendRefusal(req, err)
}

// sendRefusal replies to the pending question of a request that finishes without
// a response. A claimed request stays in progress until its claim is released.
func (s *State) sendRefusal(req *activeRequest, err *code.Error) {
	s.queue.Remove(req.ID)
	err = s.checkNotRun(req, err)
	s.journal.recordRefusal(req.chart.Entered, req, err)
	if req.chart.Is(tagReleasesClaim) {
		s.reply(req.ID, s.refusal(req, err, true))
		return
	}
	s.reply(req.ID, s.refusal(req, err, false))
	s.removeIfFinal(req)
}

// checkNotRun returns the error, or InvariantFailed when the error reports the
// request as not run although an attempt may have run.
func (s *State) checkNotRun(req *activeRequest, err *code.Error) *code.Error {
	isTrue := !req.mayHaveRun() || err.Info().Execution != code.NotRun
	if s.options.Checker.Check(isTrue, invariant.NotRunNotDispatched, "request %s: code %d", req.ID, err.Code) {
		return err
	}
	return code.Wrap(code.InvariantFailed, "the request may have run", err)
}

// recorded finishes a request whose at-most-once record was completed or
// released.
func (s *State) recorded(now time.Time, m Recorded) {
	req, ok := s.requests[m.Request]
	if !ok {
		s.reply(m.Request, Proceed{})
		return
	}
	s.fireRequestEvent(req, "recorded", now)
	s.removeIfFinal(req)
	s.reply(m.Request, Proceed{})
}

// abandon finishes a request whose caller has disconnected.
func (s *State) abandon(now time.Time, m Abandon) {
	req, ok := s.requests[m.Request]
	if !ok {
		return
	}
	s.fireRequestEvent(req, "abandon", now)
	s.removeIfFinal(req)
	s.assignQueued(now)
}

// expireRequests fires the expired timeouts of requests.
func (s *State) expireRequests(now time.Time) {
	for _, req := range s.requests {
		if s.refuseExpiredWait(now, req) {
			continue
		}
		expired, err := req.machine.Expire(&req.chart, req, now)
		if !expired || err != nil {
			continue
		}
		if req.responded {
			s.removeIfFinal(req)
			continue
		}
		s.sendRefusal(req, req.deadlineError())
	}
}

func (req *activeRequest) deadlineError() *code.Error {
	return req.chooseError(
		code.New(code.DeadlinePassedNotRun, "the deadline passed before the request was sent"),
		code.New(code.DeadlinePassed, "the deadline passed while the request ran"))
}

func (s *State) removeIfFinal(req *activeRequest) {
	if req.machine.IsFinal(&req.chart) {
		s.removeRequest(req)
	}
}

func (s *State) removeRequest(req *activeRequest) {
	s.queue.Remove(req.ID)
	delete(s.requests, req.ID)
}

// refusal returns the decision that finishes a request without a response. req is
// nil when the request is not in progress.
func (s *State) refusal(req *activeRequest, err *code.Error, release bool) Refusal {
	r := Refusal{Err: err, RetryAfter: retryAfter(err.Code), Version: s.version, Release: release}
	if req != nil && req.route != nil && r.RetryAfter > 0 {
		r.RetryAfter = min(max(req.route.FirstPartTarget/2, minRetryAfter), r.RetryAfter)
		r.RetryAfter = max(req.advisedDelay, r.RetryAfter)
	}
	return r
}

// minRetryAfter is the shortest advised delay before a refused call is repeated.
const minRetryAfter = 50 * time.Millisecond

// retryAfter returns the advised delay before a request that was refused with
// the code is repeated, or 0 when it should not be repeated.
func retryAfter(c code.Code) time.Duration {
	if code.Lookup(c).Retry != code.RetryLater {
		return 0
	}
	return time.Second
}
