package control

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// refusalTime is how long before the start limit the engine must stop working on a
// call, so that its refusal arrives before the node ends the attempt.
const refusalTime = 200 * time.Millisecond

// stopReportTime is how long after that the end of the attempt arrives: a new connection
// and the transit to the engine delay the time from which the engine counts.
const stopReportTime = time.Second

// StopAttempt ends an attempt in progress whose response has no first part yet. The
// attempt ends as one that may have run, with the cause.
type StopAttempt struct {
	Request request.ID
	Attempt request.AttemptID
	Cause   *code.Error
}

func (StopAttempt) command() {}

// startLimit returns the time by which the call of an attempt must have produced its
// first part, or zero when there is no limit. This node did not know of a newer version
// of unknown age when the attempt started, so until a peer reports the age the limit
// counts from there.
func (s *State) startLimit(attempt *activeAttempt) time.Time {
	newer, found := s.namedWeights(modelOf(attempt.server)).FirstNewer(attempt.weights)
	if s.options.OutdatedWeightsLimit == 0 || attempt.server.Role != fleet.RoleEngine || !found {
		return time.Time{}
	}
	if !newer.AgeKnown() {
		return attempt.startedAt.Add(s.options.OutdatedWeightsLimit)
	}
	return newer.At.Add(s.options.OutdatedWeightsLimit)
}

// workUntil returns when the engine must stop working on the call of an attempt that is
// sent now, or zero when there is no limit. Calls may be sent until maxStartWait before
// the start limit, so the limit of a version of unknown age is no nearer than that.
func (s *State) workUntil(attempt *activeAttempt) time.Time {
	limit := s.startLimit(attempt)
	if limit.IsZero() {
		return limit
	}
	if newer, _ := s.namedWeights(modelOf(attempt.server)).FirstNewer(attempt.weights); !newer.AgeKnown() {
		limit = attempt.startedAt.Add(maxStartWait)
	}
	return limit.Add(-refusalTime)
}

// stopLateStarts ends the attempts that have no first part at their start limit, also
// those that were sent before the newer weights were named.
func (s *State) stopLateStarts(now time.Time) {
	if s.options.OutdatedWeightsLimit == 0 || len(s.orders.namedWeights) == 0 {
		return
	}
	for _, req := range s.requests {
		if req.attempt == nil || !s.startsLate(now, req.attempt) {
			continue
		}
		req.attempt.stopSent = true
		s.command(StopAttempt{
			Request: req.ID, Attempt: req.attempt.id,
			Cause: code.New(code.OutdatedWeights, "the backend server has outdated weights and did not start the request in time"),
		})
	}
}

// startsLate reports whether an attempt that was sent has no first part at its start
// limit and is not being stopped yet.
func (s *State) startsLate(now time.Time, attempt *activeAttempt) bool {
	if attempt.stopSent || !attempt.chart.Is(tagAwaitsHeaders) {
		return false
	}
	limit := s.startLimit(attempt)
	return !limit.IsZero() && !now.Before(limit)
}

// endedAtStartLimit reports whether an attempt ended because of its start limit: the
// node stopped it, or the engine stopped working on it as it was told to.
func (attempt *activeAttempt) endedAtStartLimit(now time.Time, m AttemptDone) bool {
	if m.Cause != nil && m.Cause.Code == code.OutdatedWeights {
		return true
	}
	until := attempt.workUntil
	return !until.IsZero() && !now.Before(until) && now.Before(until.Add(stopReportTime))
}

// failureEvent returns the event of an attempt that failed after it was sent. An end at
// the start limit does not count as a failure of the server.
func (attempt *activeAttempt) failureEvent(now time.Time, m AttemptDone) chart.Event {
	if attempt.endedAtStartLimit(now, m) {
		return "drop"
	}
	return "fail"
}

// logLateStart logs an attempt that the node stopped at its start limit.
func (s *State) logLateStart(now time.Time, req *activeRequest, m AttemptDone) {
	if m.Cause == nil || m.Cause.Code != code.OutdatedWeights {
		return
	}
	attempt := req.attempt
	model := modelOf(attempt.server)
	_, age := s.newerWeights(now, model, attempt.weights)
	s.command(LogEvent{Event: event.AttemptStopped, Fields: []any{
		"request", string(req.ID), "attempt", int(attempt.id), "server", string(attempt.server.ID),
		"weights", attempt.weights, "newest", s.namedWeights(model).Newest(), "age_ms", age.Milliseconds(),
	}})
}
