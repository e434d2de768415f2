package quarantine

import (
	"math"
	"time"
)

const (
	// breakRateTime is the time constant with which earlier calls lose their weight.
	breakRateTime = 10 * time.Second
	// priorBreaks and priorCalls are the calls that count before any was observed.
	priorBreaks = 0.2
	priorCalls  = 4
	// maxCoincidence is the largest probability of a quarantine of a part that crashes no
	// server.
	maxCoincidence = 1e-6
	// minCrashes and maxCrashes bound the crashes after which a part is quarantined.
	minCrashes = 5
	maxCrashes = 8
)

// breakRate measures the share of calls that are in progress at a server when it crashes,
// before the server has shown that the call does not crash it.
type breakRate struct {
	broken, total float64
	at            time.Time
}

func (r *breakRate) observe(now time.Time, broken bool) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		weight := math.Exp(-elapsed.Seconds() / breakRateTime.Seconds())
		r.broken *= weight
		r.total *= weight
		r.at = now
	}
	r.total++
	if broken {
		r.broken++
	}
}

// neededCrashes returns the number of crashes that a part which crashes no server would
// hardly ever be in one after the other.
func (r *breakRate) neededCrashes() int {
	share := (r.broken + priorBreaks) / (r.total + priorCalls)
	needed := math.Ceil(math.Log(maxCoincidence) / math.Log(share))
	return int(min(max(needed, minCrashes), maxCrashes))
}
