package limits

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Buckets holds one token bucket for each key. A bucket keeps its content when
// its rate or burst changes.
type Buckets[K comparable] struct {
	limiters map[K]*rate.Limiter
}

// NewBuckets returns buckets without any key.
func NewBuckets[K comparable]() *Buckets[K] {
	return &Buckets[K]{limiters: map[K]*rate.Limiter{}}
}

// Take uses count units of a key's bucket when it holds them and reports
// whether it did. The rate is in units per second.
func (b *Buckets[K]) Take(key K, count int, perSecond float64, burst int, now time.Time) bool {
	limiter, known := b.limiters[key]
	if !known {
		limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		b.limiters[key] = limiter
	}
	if limiter.Limit() != rate.Limit(perSecond) || limiter.Burst() != burst {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
		limiter.SetBurstAt(now, burst)
	}
	return limiter.AllowN(now, count)
}

// EffectiveBurst returns the burst of a limit: that of one second when none is given.
// An empty bucket would admit everything, since no count exceeds it.
func EffectiveBurst(perSecond float64, burst int) int {
	if burst < 1 {
		return int(math.Ceil(perSecond))
	}
	return burst
}
