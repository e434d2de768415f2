package fleet

import (
	"math"
	"time"
)

const (
	// speedAveragingTime is the prompt work over which the learned speed averages, as
	// the time that the work was expected to take.
	speedAveragingTime = 30 * time.Second
	// minSpeed and maxSpeed bound the learned speed in tokens per second.
	minSpeed = 100
	maxSpeed = 10_000_000
)

// Speed is the learned speed of prompt work of the servers of one model. A nil
// Speed has the assumed speed PrefillRate.
type Speed struct {
	// tokens and elapsed are decaying sums over the observed attempts. Their
	// ratio weighs long prompts more, whose times say more about the speed.
	tokens  float64
	elapsed time.Duration
}

// Rate returns the speed in prompt tokens per second.
func (s *Speed) Rate() float64 {
	if s == nil {
		return DefaultPrefillRate
	}
	tokens := s.tokens + DefaultPrefillRate
	elapsed := s.elapsed + time.Second
	return min(max(tokens/elapsed.Seconds(), minSpeed), maxSpeed)
}

// Observe adds an attempt whose first token came after the given time, when the
// server had the given prompt work including that of the attempt.
func (s *Speed) Observe(tokens int, after time.Duration) {
	if tokens <= 0 || after <= 0 {
		return
	}
	decay := math.Exp(-float64(after) / float64(speedAveragingTime))
	s.tokens = s.tokens*decay + float64(tokens)
	s.elapsed = time.Duration(float64(s.elapsed)*decay) + after
}

// Time returns the time that the prompt work of the tokens takes.
func (s *Speed) Time(tokens float64) time.Duration {
	return time.Duration(tokens / s.Rate() * float64(time.Second))
}
