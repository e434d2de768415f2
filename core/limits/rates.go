package limits

import (
	"time"

	"golang.org/x/time/rate"

	"tanagerspread/core/request"
)

// Rates bounds the request rate of each organisation.
type Rates struct {
	limiters map[request.Organisation]*rate.Limiter
}

// NewRates returns rates without any organisation.
func NewRates() *Rates {
	return &Rates{limiters: map[request.Organisation]*rate.Limiter{}}
}

// Allow reports whether the organisation may start a request now. The rate is
// in requests per second; a rate of 0 means no limit.
func (r *Rates) Allow(organisation request.Organisation, perSecond float64, burst int, now time.Time) bool {
	if perSecond <= 0 {
		return true
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
	return limiter.AllowN(now, 1)
}
