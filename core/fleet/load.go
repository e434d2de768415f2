package fleet

import (
	"math"
	"time"
)

const (
	// DefaultPrefillRate is the assumed speed of prompt work in tokens per second
	// before any attempt was observed.
	DefaultPrefillRate = 20000
	// loadHalfLife is the age at which half of a reported load still counts.
	// Other nodes keep sending work, so a report is not simply worked off.
	loadHalfLife = 2 * time.Second
)

// UpdateLoad stores a load that was reported at the given time, when own
// prompt tokens of this node were in progress. It reports false and keeps the
// stored load when that one is newer.
func (s *Server) UpdateLoad(load Load, at time.Time, own int) bool {
	if at.Before(s.Load.ReportedAt) {
		return false
	}
	s.Load = load
	s.Load.ReportedAt = at
	s.OwnPrefillAtReport = own
	return true
}

// QueueTime estimates how long the server works before it starts a new
// prompt: this node's prompt work, the reported work of other nodes discounted
// by the age of the report, and the delay that was observed beyond both.
func (s *Server) QueueTime(now time.Time) time.Duration {
	return s.Speed.Time(s.Backlog(now)) + s.ExcessDelay(now)
}

// Backlog estimates the prompt tokens that the server has not computed yet.
func (s *Server) Backlog(now time.Time) float64 {
	others := max(s.Load.PrefillTokens-s.OwnPrefillAtReport, 0)
	own := float64(s.PrefillTokens + s.PeerPrefillTokens(now))
	return own + float64(others)*decayFactor(now.Sub(s.Load.ReportedAt), loadHalfLife)
}

// Requests estimates the number of requests that the server has.
func (s *Server) Requests(now time.Time) float64 {
	reported := float64(s.Load.Running + s.Load.Waiting)
	return float64(s.InFlight) + reported*decayFactor(now.Sub(s.Load.ReportedAt), loadHalfLife)
}

// decayFactor returns the part of an observation that still counts at an age.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
