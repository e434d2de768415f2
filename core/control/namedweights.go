package control

import (
	"slices"
	"time"

	"tanagerspread/core/event"
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
	s.addNamedWeights(now, m.Model, named)
}

// addNamedWeights adds a version to the history of its model. It reports whether that
// was news.
func (s *State) addNamedWeights(now time.Time, model string, named weights.Named) bool {
	history := s.orders.namedWeights[model]
	if history == nil {
		history = &weights.History{}
		s.orders.namedWeights[model] = history
	}
	newest := history.Newest()
	if !history.Add(named) {
		return false
	}
	if named.Version > newest {
		s.markOutdated()
		s.command(WeightsWanted{Model: model, Weights: named.Version, AgeKnown: named.AgeKnown()})
		if s.rules != nil {
			s.syncEngines(now)
		}
		s.scheduleContention(now)
	}
	return true
}

// sampleNamedWeights returns up to membership.MaxNamedWeights versions of known age that
// an engine lacks, those of random models, the oldest ones of each first: limits count
// from these.
func (s *State) sampleNamedWeights(now time.Time) []membership.NamedWeights {
	lowest := s.lowestWeights()
	models := make([]string, 0, len(lowest))
	for model := range lowest {
		models = append(models, model)
	}
	slices.Sort(models)
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

// recordPeerWeights adds the versions in a peer's digest to the histories. Times count
// from the arrival of the digest, so that a time never moves back while nodes relay it.
func (s *State) recordPeerWeights(now time.Time, peer string, versions []membership.NamedWeights) {
	for _, v := range versions {
		named := weights.Named{Version: v.Version, At: now.Add(-v.Age)}
		ageKnown := s.ageKnown(v.Model, v.Version)
		if s.addNamedWeights(now, v.Model, named) && !ageKnown {
			s.logEvent(event.WeightsAgeLearned, "model", v.Model, "weights", v.Version, "peer", peer, "age_ms", v.Age.Milliseconds())
		}
	}
}

// ageKnown reports whether this node knows the age of a version.
func (s *State) ageKnown(model string, version int) bool {
	named, found := s.namedWeights(model).FirstNewer(version - 1)
	return found && named.Version == version && named.AgeKnown()
}
