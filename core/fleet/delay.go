package fleet

import "time"

const (
	// delayHalfLife is the age at which an observed delay has lost half of its
	// weight. It is short, so that a server that gets no calls is tried again.
	delayHalfLife = 2 * time.Second
	// delaySmoothingFactor is the weight of one observation.
	delaySmoothingFactor = 0.3
)

// decayingDelay is the smoothed delay of first tokens beyond the expected time.
// It accounts for work of which this node has no report: that of other nodes, and
// requests that wait for memory.
type decayingDelay struct {
	value      time.Duration
	observedAt time.Time
}

// ObserveFirstToken updates the excess delay with the time to a first token and
// the time that the backlog was expected to take.
func (s *Server) ObserveFirstToken(expected, elapsed time.Duration, now time.Time) {
	excess := max(elapsed-expected, 0)
	before := s.ExcessDelay(now)
	s.excessDelay.value = before + time.Duration(delaySmoothingFactor*float64(excess-before))
	s.excessDelay.observedAt = now
}

// ExcessDelay estimates how much later a first token comes than the backlog accounts
// for.
func (s *Server) ExcessDelay(now time.Time) time.Duration {
	return time.Duration(float64(s.excessDelay.value) * decayFactor(now.Sub(s.excessDelay.observedAt), delayHalfLife))
}
