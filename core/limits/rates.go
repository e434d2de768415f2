package limits

import (
	"time"

	"tanagerspread/core/request"
)

// RateLimiter bounds a rate of each organisation.
type RateLimiter struct {
	buckets *Buckets[request.Organisation]
}

// NewRateLimiter returns rates without any organisation.
func NewRateLimiter() *RateLimiter {
	return &RateLimiter{buckets: NewBuckets[request.Organisation]()}
}

// Allow reports whether the organisation may use count units now, and uses
// them. The rate is in units per second; a rate of 0 means no limit. A count
// above the burst needs a full bucket. BurstOf applies to the burst.
func (r *RateLimiter) Allow(organisation request.Organisation, count int, perSecond float64, burst int, now time.Time) bool {
	if perSecond <= 0 {
		return true
	}
	burst = EffectiveBurst(perSecond, burst)
	return r.buckets.Take(organisation, min(count, burst), perSecond, burst, now)
}
