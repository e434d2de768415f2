package control

import (
	"time"

	"tanagerspread/core/weights"
)

// minMarkTime is the shortest time for which a version is marked: the key-value service
// grants no shorter leases.
const minMarkTime = time.Second

// sendTime returns for how long after newer weights were named calls may be sent to
// older ones.
func (s *State) sendTime() time.Duration {
	return s.options.OutdatedWeightsLimit - maxStartWait
}

// markNamedWeights marks the versions of known age from which the limits of engines count.
// A holder of the issuer's lease does this, as one of all nodes.
func (s *State) markNamedWeights(now time.Time) {
	for key, named := range s.limitingVersions() {
		if remaining := s.sendTime() - now.Sub(named.At); named.AgeKnown() && remaining >= minMarkTime {
			s.command(MarkNamed{Model: key.model, Weights: key.version, TTL: remaining})
		}
	}
}

// recentlyNamed records the mark of a version. When it ends, the version was named at
// least sendTime ago.
func (s *State) recentlyNamed(now time.Time, m RecentlyNamed) {
	key := modelVersion{m.Model, m.Weights}
	if m.Marked && m.FromCopy {
		return
	}
	marked := s.orders.markedWeights[key]
	if m.Marked {
		s.orders.markedWeights[key] = true
		return
	}
	delete(s.orders.markedWeights, key)
	if marked && !s.namedWeights(m.Model).AgeKnown(m.Weights) {
		s.addNamedWeights(now, m.Model, weights.Named{Version: m.Weights, At: now.Add(-s.sendTime())})
	}
}
