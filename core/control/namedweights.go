package control

import (
	"maps"
	"slices"
	"time"

	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/weights"
)

// unknownAge is the age in logs of a version whose age is not known.
const unknownAge = -time.Millisecond

// namedWeights returns the named weight versions of a model.
func (s *State) namedWeights(model string) *weights.History {
	history := s.orders.namedWeights[model]
	if history == nil {
		return &weights.History{}
	}
	return history
}

// weightsNamed records a weight version that the operator named. It ignores a
// version that is not newer than the last one.
func (s *State) weightsNamed(now time.Time, m WeightsNamed) {
	if m.Weights <= s.namedWeights(m.Model).Newest() {
		return
	}
	named := weights.Named{Version: m.Weights}
	if !m.Listed && !s.following.mayBeOld(now) {
		named.At = now
	}
	if s.addNamedWeights(now, m.Model, named) {
		s.announceWeights(now, m.Model, named)
	}
}

// addNamedWeights adds a version to the history of its model. It reports whether the age
// of the version became known.
func (s *State) addNamedWeights(now time.Time, model string, named weights.Named) bool {
	history := s.orders.namedWeights[model]
	if history == nil {
		history = &weights.History{}
		s.orders.namedWeights[model] = history
	}
	newest, ageKnown := history.Newest(), history.AgeKnown(named.Version)
	history.Add(named)
	if named.Version > newest {
		s.adoptNewest(now, model, named)
	}
	return named.AgeKnown() && !ageKnown
}

// adoptNewest makes a version the wanted one of its model.
func (s *State) adoptNewest(now time.Time, model string, named weights.Named) {
	s.markOutdated()
	s.command(WeightsWanted{Model: model, Weights: named.Version, AgeKnown: named.AgeKnown()})
	if s.rules != nil {
		s.syncEngines(now)
	}
	s.scheduleContention(now, 0)
}

// announceWeights sends a version with its age to peers at once, so that all nodes count
// from the same time, and learn of the version although their watches stall.
func (s *State) announceWeights(now time.Time, model string, named weights.Named) {
	digest := s.digest(now, false)
	digest.NamedWeights = []membership.NamedWeights{{Model: model, Version: named.Version, Age: now.Sub(named.At)}}
	s.sendUrgent(digest)
}

// lacksWeightsAge reports whether an engine has weights whose limit counts from a
// version of unknown age.
func (s *State) lacksWeightsAge() bool {
	return slices.ContainsFunc(s.serverList, func(server *fleet.Server) bool {
		newer, found := s.namedWeights(modelOf(server)).FirstNewer(server.Weights)
		return server.WeightsOutdated && found && !newer.AgeKnown()
	})
}

// sampleNamedWeights returns up to membership.MaxNamedWeights versions of known age that
// an engine lacks, those of random models, the oldest ones of each first: limits count
// from these.
func (s *State) sampleNamedWeights(now time.Time) []membership.NamedWeights {
	lowest := s.lowestWeights()
	models := slices.Sorted(maps.Keys(lowest))
	s.random.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	var sample []membership.NamedWeights
	for _, model := range models {
		for _, named := range s.namedWeights(model).NewerThan(lowest[model]) {
			if len(sample) == membership.MaxNamedWeights {
				return sample
			}
			if named.AgeKnown() {
				sample = append(sample, membership.NamedWeights{Model: model, Version: named.Version, Age: now.Sub(named.At)})
			}
		}
	}
	return sample
}

// recordPeerWeights adds the versions in a peer's digest to the histories. Ages in a
// reply count from the question, which makes a time rather too early; they only replace
// unknown ages, because a time that may move back would do so at each exchange. Ages in
// other digests count from their arrival. After a start or a pause these are ignored: the
// digest may have waited for the node.
func (s *State) recordPeerWeights(now time.Time, m PeerDigest) {
	answered := !m.AskedAt.IsZero()
	if answered && m.AskedAt.Before(s.following.since) || !answered && s.following.mayBeOld(now) {
		return
	}
	for _, v := range m.Digest.NamedWeights {
		s.recordPeerVersion(now, m, v)
	}
}

// recordPeerVersion adds one version in a peer's digest to the history of its model.
func (s *State) recordPeerVersion(now time.Time, m PeerDigest, v membership.NamedWeights) {
	if !m.AskedAt.IsZero() {
		if !s.namedWeights(v.Model).AgeKnown(v.Version) {
			s.addNamedWeights(now, v.Model, weights.Named{Version: v.Version, At: m.AskedAt.Add(-v.Age)})
			s.logEvent(event.WeightsAgeLearned, "model", v.Model, "weights", v.Version, "peer", m.Digest.Node, "age_ms", v.Age.Milliseconds())
		}
		return
	}
	named := weights.Named{Version: v.Version, At: now.Add(-v.Age)}
	if s.addNamedWeights(now, v.Model, named) {
		s.announceWeights(now, v.Model, named)
	}
}
