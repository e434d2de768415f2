package limits

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"tanagerspread/core/request"
)

// Rates bounds a rate of each organisation.
type Rates struct {
	limiters map[request.Organisation]*rate.Limiter
}

// NewRates returns rates without any organisation.
func NewRates() *Rates {
	return &Rates{limiters: map[request.Organisation]*rate.Limiter{}}
}

// Allow reports whether the organisation may use count units now, and uses
// them. The rate is in units per second; a rate of 0 means no limit. A count
// above the burst needs a full bucket. A burst below 1 means that of one
// second.
func (r *Rates) Allow(organisation request.Organisation, count int, perSecond float64, burst int, now time.Time) bool {
	if perSecond <= 0 {
		return true
	}
	if burst < 1 {
		// An empty bucket would admit everything, since no count exceeds it.
		burst = int(math.Ceil(perSecond))
	}
	limiter, known := r.limiters[organisation]
	if !known {
		limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		r.limiters[organisation] = limiter
	}
	if limiter.Limit() != rate.Limit(perSecond) || limiter.Burst() != burst {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
		limiter.SetBurstAt(now, burst)
	}
	return limiter.AllowN(now, min(count, burst))
}
