package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// backoffBase is the longest delay before the second attempt.
	backoffBase = 50 * time.Millisecond
	// backoffLimit bounds the delay before any attempt.
	backoffLimit = 2 * time.Second
)

// Backoff returns the delay before the attempt that follows the given number of
// attempts. The limit doubles with each attempt, and the delay is uniformly
// random between 0 and the limit (full jitter), so that requests that failed
// together are not retried together.
func Backoff(random *rand.Rand, attempts int) time.Duration {
	limit := backoffBase
	for i := 1; i < attempts && limit < backoffLimit; i++ {
		limit *= 2
	}
	return time.Duration(random.Int64N(int64(min(limit, backoffLimit)))) + 1
}

// FitsDeadline reports whether an attempt after the delay starts before the
// deadline. A zero deadline means no deadline.
func FitsDeadline(now time.Time, delay time.Duration, deadline time.Time) bool {
	return deadline.IsZero() || now.Add(delay).Before(deadline)
}
