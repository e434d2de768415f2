package control

import (
	"time"

	"tanagerspread/core/code"
)

// stopMargin is how long before the end of the process the calls in progress get their
// final responses.
const stopMargin = 500 * time.Millisecond

// beginStop starts the planned stop of the node. A second stop signal does not extend the
// time until the process ends.
func (s *State) beginStop(now time.Time) {
	if s.options.StopGrace > 0 && s.lastResponseBy.IsZero() {
		s.lastResponseBy = now.Add(max(s.options.StopGrace-stopMargin, 0))
	}
	s.fireNodeEvent("drain", now)
}

// checkStop refuses a call that must not be repeated when the process may end before the
// call's deadline: its caller could not know whether it ran. Other callers repeat a call
// that is cut.
func (s *State) checkStop(req *activeRequest) *code.Error {
	if s.lastResponseBy.IsZero() || req.route.Repeatable() || !req.Deadline.After(s.lastResponseBy) {
		return nil
	}
	return code.New(code.Draining, "the node stops before the deadline of the call")
}

// stopEnds reports whether the process is about to end.
func (s *State) stopEnds(now time.Time) bool {
	return !s.lastResponseBy.IsZero() && !now.Before(s.lastResponseBy)
}

// endCallsAtStop ends the calls that have no response when the process is about to end, so
// that their callers get an accurate refusal instead of a closed connection. Streams that
// have begun go on until the end.
func (s *State) endCallsAtStop(now time.Time) {
	if !s.stopEnds(now) {
		return
	}
	for _, req := range s.requests {
		switch {
		case req.chart.Is(tagPlaceable):
			s.finishWithError(now, req, "refuse", req.chooseError(
				code.New(code.Draining, "the node stops before the call was sent"),
				code.New(code.RetriesExhausted, "the node stops before the call could be repeated")))
		case req.attempt != nil && !req.attempt.stopSent && req.attempt.chart.Is(tagAwaitsHeaders):
			req.attempt.stopSent = true
			s.command(StopAttempt{
				Request: req.ID, Attempt: req.attempt.id,
				Cause: code.New(code.DeadlinePassed, "the node stops before the response arrived"),
			})
		}
	}
}
