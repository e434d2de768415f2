package fleet

import (
	"math"
	"time"
)

const (
	// DefaultPrefillRate is the assumed prefill speed in tokens per second before
	// any attempt was observed.
	DefaultPrefillRate = 20000
	// loadHalfLife is the age at which a reported load has lost half of its
	// weight. The load decays rather than being worked off at the prefill speed,
	// because other nodes keep sending work.
	loadHalfLife = 2 * time.Second
)

// UpdateLoad stores a load that was reported at the given time, and the prompt
// tokens of this node's own attempts that were in progress then. It returns false
// and keeps the stored load when that one is newer.
func (s *Server) UpdateLoad(load Load, at time.Time, own int) bool {
	if at.Before(s.Load.ReportedAt) {
		return false
	}
	s.Load = load
	s.Load.ReportedAt = at
	s.OwnPrefillAtReport = own
	return true
}

// QueueTime estimates how long the server works before it starts a new prompt:
// the prefill of this node's attempts and of those that peers report, the load
// report's prefill of other nodes, discounted by the age of the report, and the
// delay that was observed beyond these.
func (s *Server) QueueTime(now time.Time) time.Duration {
	return s.Speed.Time(s.Backlog(now)) + s.ExcessDelay(now)
}

// Backlog estimates the number of prompt tokens that the server has yet to
// compute.
func (s *Server) Backlog(now time.Time) float64 {
	otherTokens := max(s.Load.PrefillTokens-s.OwnPrefillAtReport, 0)
	own := float64(s.PrefillTokens + s.PeerPrefillTokens())
	return own + float64(otherTokens)*decayFactor(now.Sub(s.Load.ReportedAt), loadHalfLife)
}

// Requests estimates the number of requests on the server, running and waiting.
func (s *Server) Requests(now time.Time) float64 {
	reported := float64(s.Load.Running + s.Load.Waiting)
	return float64(s.InFlight) + reported*decayFactor(now.Sub(s.Load.ReportedAt), loadHalfLife)
}

// decayFactor returns the weight of an observation at an age: 1 at age 0, halved
// with each half-life.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
