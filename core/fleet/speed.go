package fleet

import (
	"math"
	"time"
)

const (
	// speedAveragingTime is the prefill time over which the learned speed is
	// averaged.
	speedAveragingTime = 30 * time.Second
	// minSpeed and maxSpeed bound the learned speed in tokens per second.
	minSpeed = 100
	maxSpeed = 10_000_000
)

// Speed is the learned prefill speed of the servers of one group. A nil Speed has
// the assumed speed DefaultPrefillRate.
type Speed struct {
	// tokens and elapsed are decaying sums over the observed attempts. Their ratio
	// gives more weight to long prompts, whose times are the better measurements.
	tokens  float64
	elapsed time.Duration
}

// Rate returns the speed in prompt tokens per second, between minSpeed and
// maxSpeed.
func (s *Speed) Rate() float64 {
	if s == nil {
		return DefaultPrefillRate
	}
	tokens := s.tokens + DefaultPrefillRate
	elapsed := s.elapsed + time.Second
	return min(max(tokens/elapsed.Seconds(), minSpeed), maxSpeed)
}

// Observe adds an attempt to the learned speed. Its first token came after the
// given time, in which the server computed the given number of prompt tokens,
// those of the attempt included.
func (s *Speed) Observe(tokens int, after time.Duration) {
	if tokens <= 0 || after <= 0 {
		return
	}
	decay := math.Exp(-float64(after) / float64(speedAveragingTime))
	s.tokens = s.tokens*decay + float64(tokens)
	s.elapsed = time.Duration(float64(s.elapsed)*decay) + after
}

// Time returns the expected time to compute the prompt tokens.
func (s *Speed) Time(tokens float64) time.Duration {
	return time.Duration(tokens / s.Rate() * float64(time.Second))
}
