package limits

import (
	"time"

	"tanagerspread/core/request"
)

// RateLimiter bounds one rate, of requests or of prompt tokens, for each
// organisation.
type RateLimiter struct {
	buckets *Buckets[request.Organisation]
}

// NewRateLimiter returns a limiter without buckets.
func NewRateLimiter() *RateLimiter {
	return &RateLimiter{buckets: NewBuckets[request.Organisation]()}
}

// Allow reports whether the organisation may use count units now, and takes
// them from its bucket if so. perSecond is the rate in units per second; 0
// means no limit. A count above the burst needs a full bucket. The burst is
// subject to EffectiveBurst.
func (r *RateLimiter) Allow(organisation request.Organisation, count int, perSecond float64, burst int, now time.Time) bool {
	if perSecond <= 0 {
		return true
	}
	burst = EffectiveBurst(perSecond, burst)
	return r.buckets.Take(organisation, min(count, burst), perSecond, burst, now)
}
