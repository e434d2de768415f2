package fleet

import "time"

const (
	// delayHalfLife is the age at which half of an observed delay still counts.
	// It is short, so that a server that gets no calls is tried again.
	delayHalfLife = 2 * time.Second
	// delayWeight is the weight of one observation.
	delayWeight = 0.3
)

// delay is how much later than expected first tokens came, averaged over the
// last attempts. It stands for work that this node does not know of: that of
// other nodes, and requests that wait for memory.
type delay struct {
	value time.Duration
	at    time.Time
}

// NoteFirstToken records the time to a first token against the time in which
// the known work was expected to be done.
func (s *Server) NoteFirstToken(expected, after time.Duration, now time.Time) {
	excess := max(after-expected, 0)
	before := s.Delay(now)
	s.delay.value = before + time.Duration(delayWeight*float64(excess-before))
	s.delay.at = now
}

// Delay estimates how much later than the known work a first token comes.
func (s *Server) Delay(now time.Time) time.Duration {
	return time.Duration(float64(s.delay.value) * decayed(now.Sub(s.delay.at), delayHalfLife))
}
