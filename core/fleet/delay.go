package fleet

import "time"

const (
	// delayHalfLife is the age at which half of an observed delay still counts.
	// It is short, so that a server that gets no calls is tried again.
	delayHalfLife = 2 * time.Second
	// delaySmoothingFactor is the weight of one observation.
	delaySmoothingFactor = 0.3
)

// decayingDelay is how much later than expected first tokens came, averaged over the
// last attempts. It stands for work that this node does not know of: that of
// other nodes, and requests that wait for memory.
type decayingDelay struct {
	value      time.Duration
	observedAt time.Time
}

// ObserveFirstToken records the time to a first token against the time in which
// the known work was expected to be done.
func (s *Server) ObserveFirstToken(expected, after time.Duration, now time.Time) {
	excess := max(after-expected, 0)
	before := s.ExcessDelay(now)
	s.excessDelay.value = before + time.Duration(delaySmoothingFactor*float64(excess-before))
	s.excessDelay.observedAt = now
}

// ExcessDelay estimates how much later than the known work a first token comes.
func (s *Server) ExcessDelay(now time.Time) time.Duration {
	return time.Duration(float64(s.excessDelay.value) * decayFactor(now.Sub(s.excessDelay.observedAt), delayHalfLife))
}
