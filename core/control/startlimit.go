package control

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/fleet"
)

// refusalTime is how long before the start limit the engine must stop working on a
// call, so that its refusal arrives by then.
const refusalTime = 200 * time.Millisecond

// stopReportTime is how long after that the end of the attempt arrives: a new connection
// and the transit to the engine delay the time from which the engine counts.
const stopReportTime = time.Second

// startLimit returns the time by which the call of an attempt must have produced its
// first part, or zero when there is no limit. A newer version of unknown age was named
// after the attempt started, since none starts on weights older than such a version.
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
// sent now, or zero when there is no limit.
func (s *State) workUntil(attempt *activeAttempt) time.Time {
	limit := s.startLimit(attempt)
	if limit.IsZero() {
		return limit
	}
	return limit.Add(-refusalTime)
}

// endedAtStartLimit reports whether an attempt ended because the engine stopped working
// on it as it was told to.
func (attempt *activeAttempt) endedAtStartLimit(now time.Time) bool {
	until := attempt.workUntil
	return !until.IsZero() && !now.Before(until) && now.Before(until.Add(stopReportTime))
}

// failureEvent returns the event of an attempt that failed after it was sent. An end at
// the start limit does not count as a failure of the server.
func (attempt *activeAttempt) failureEvent(now time.Time) chart.Event {
	if attempt.endedAtStartLimit(now) {
		return "drop"
	}
	return "fail"
}
