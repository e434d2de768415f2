package fleet

import "time"

// FailureLimit is the number of failed attempts in a row that opens the
// circuit of a backend server.
const FailureLimit = 3

// initialSlowStartSlots is the number of attempts that a server may have after its first
// good probe. The slots double with each good attempt, so that waiting
// requests do not all go to a server that has just come back.
const initialSlowStartSlots = 2

// FailuresReachedLimit reports whether the circuit must open.
func (s *Server) FailuresReachedLimit() bool {
	return s.Failures >= FailureLimit
}

// SuccessStartedAfterFailure reports whether the reported success is of an attempt that
// began after the last failure. An older attempt says nothing about the
// server's present state.
func (s *Server) SuccessStartedAfterFailure() bool {
	return s.LastSuccessStart.After(s.LastFailure)
}

// StartSlowStart sets the slots of a server whose probe succeeded.
func (s *Server) StartSlowStart() {
	s.SlowStartSlots = initialSlowStartSlots
}

// DoubleSlowStartSlots doubles the slots of a recovering server.
func (s *Server) DoubleSlowStartSlots() {
	s.SlowStartSlots *= 2
}

// RecordFailure counts a failed attempt.
func (s *Server) RecordFailure(now time.Time) {
	s.Failures++
	s.LastFailure = now
}

// RecordSuccess counts a good attempt that began at the given time. An attempt that
// began before the last failure does not clear the failures.
func (s *Server) RecordSuccess(began time.Time) {
	s.LastSuccessStart = began
	if s.SuccessStartedAfterFailure() {
		s.Failures = 0
	}
}

// HasFreeSlot reports whether the server may receive one more attempt from this
// node, which sends at most slots attempts to a server at a time.
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
