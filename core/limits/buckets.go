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

// NewBuckets returns a Buckets without keys.
func NewBuckets[K comparable]() *Buckets[K] {
	return &Buckets[K]{limiters: map[K]*rate.Limiter{}}
}

// Take removes count units from a key's bucket if it holds that many, and
// reports whether it did. A new key starts with a full bucket. perSecond is
// the rate in units per second.
func (b *Buckets[K]) Take(key K, count int, perSecond float64, burst int, now time.Time) bool {
	limiter, ok := b.limiters[key]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		b.limiters[key] = limiter
	}
	if limiter.Limit() != rate.Limit(perSecond) || limiter.Burst() != burst {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
		limiter.SetBurstAt(now, burst)
	}
	return limiter.AllowN(now, count)
}

// EffectiveBurst returns the burst of a limit. A burst below 1 means that none
// is set; the default is the units of one second. With a burst of 0, RateLimiter
// would cap every count to 0 and admit everything.
func EffectiveBurst(perSecond float64, burst int) int {
	if burst < 1 {
		return int(math.Ceil(perSecond))
	}
	return burst
}
