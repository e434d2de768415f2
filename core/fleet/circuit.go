package fleet

import "time"

// FailureLimit is the number of failed attempts in a row that opens the
// circuit of a backend server.
const FailureLimit = 3

// firstSlots is the number of attempts that a server may have after its first
// good probe. The slots double with each good attempt, so that waiting
// requests do not all go to a server that has just come back.
const firstSlots = 2

// FailuresReachedLimit reports whether the circuit must open.
func (s *Server) FailuresReachedLimit() bool {
	return s.Failures >= FailureLimit
}

// EvidenceIsNewer reports whether the reported success is of an attempt that
// began after the last failure. An older attempt says nothing about the
// server's present state.
func (s *Server) EvidenceIsNewer() bool {
	return s.Evidence.After(s.LastFailure)
}

// StartRecovery sets the slots of a server whose probe succeeded.
func (s *Server) StartRecovery() {
	s.Slots = firstSlots
}

// GrowSlots doubles the slots of a recovering server.
func (s *Server) GrowSlots() {
	s.Slots *= 2
}

// Fail counts a failed attempt.
func (s *Server) Fail(now time.Time) {
	s.Failures++
	s.LastFailure = now
}

// Succeed counts a good attempt that began at the given time. An attempt that
// began before the last failure does not clear the failures.
func (s *Server) Succeed(began time.Time) {
	s.Evidence = began
	if s.EvidenceIsNewer() {
		s.Failures = 0
	}
}

// HasRoom reports whether the server may receive one more attempt from this
// node, which sends at most slots attempts to a server at a time.
func (s *Server) HasRoom(slots int) bool {
	switch {
	case s.Chart.Is(TagOneAtATime):
		return s.InFlight == 0
	case s.Chart.Is(TagGradual):
		return s.InFlight < min(s.Slots, slots)
	}
	return s.InFlight < slots
}

// ReceivesWork reports whether the server's circuit lets attempts through.
func (s *Server) ReceivesWork() bool {
	return s.Chart.Is(TagReceivesWork)
}
