package fleet

import "time"

// FailureLimit is the number of failed attempts in a row that opens the
// circuit of a backend server.
const FailureLimit = 3

// initialSlowStartSlots is the number of attempts that may be in flight on a
// server after its first successful probe. The slots double with each successful
// attempt, so that waiting requests do not all go to a server that has just
// recovered.
const initialSlowStartSlots = 2

// FailuresReachedLimit reports whether the circuit of the server must open.
func (s *Server) FailuresReachedLimit() bool {
	return s.Failures >= FailureLimit
}

// SuccessStartedAfterFailure reports whether the attempt that succeeded last
// started after the last failure. The success of an older attempt says nothing
// about the server's present state.
func (s *Server) SuccessStartedAfterFailure() bool {
	return s.LastSuccessStart.After(s.LastFailure)
}

// StartSlowStart sets the slow-start slots of a server whose probe succeeded.
func (s *Server) StartSlowStart() {
	s.SlowStartSlots = initialSlowStartSlots
}

// DoubleSlowStartSlots doubles the slow-start slots of a recovering server.
func (s *Server) DoubleSlowStartSlots() {
	s.SlowStartSlots *= 2
}

// RecordFailure counts a failed attempt.
func (s *Server) RecordFailure(now time.Time) {
	s.Failures++
	s.LastFailure = now
}

// RecordSuccess records a successful attempt that started at the given time. An
// attempt that started before the last failure does not reset the failure count.
func (s *Server) RecordSuccess(startedAt time.Time) {
	s.LastSuccessStart = startedAt
	if s.SuccessStartedAfterFailure() {
		s.Failures = 0
	}
}

// HasFreeSlot reports whether the server may receive one more attempt from this
// node, which has at most the given number of attempts in flight on a server.
func (s *Server) HasFreeSlot(slots int) bool {
	switch {
	case s.Chart.Is(TagProbing):
		return s.InFlight == 0
	case s.Chart.Is(TagSlowStart):
		return s.InFlight < min(s.SlowStartSlots, slots)
	}
	return s.InFlight < slots
}

// ReceivesWork reports whether the server's circuit lets attempts through.
func (s *Server) ReceivesWork() bool {
	return s.Chart.Is(TagReceivesWork)
}
