package control

import (
	"cmp"
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

// limitingVersions returns the versions from which the limits of engines count: for each
// engine with outdated weights that may get calls, the first version that is newer.
func (s *State) limitingVersions() map[modelVersion]weights.Named {
	limiting := map[modelVersion]weights.Named{}
	for _, server := range s.serverList {
		if !server.WeightsOutdated || server.Chart.Is(fleet.TagLeaving) {
			continue
		}
		model := modelOf(server)
		if newer, found := s.namedWeights(model).FirstNewer(server.Weights); found {
			limiting[modelVersion{model, newer.Version}] = newer
		}
	}
	return limiting
}

// modelVersion identifies a weight version.
type modelVersion struct {
	model   string
	version int
}

// lacksWeightsAge reports whether the limit of an engine counts from a version of
// unknown age.
func (s *State) lacksWeightsAge() bool {
	for _, named := range s.limitingVersions() {
		if !named.AgeKnown() {
			return true
		}
	}
	return false
}

// sampleNamedWeights returns up to membership.MaxNamedWeights versions of known age from
// which the limits of engines count, at random if there are more.
func (s *State) sampleNamedWeights(now time.Time) []membership.NamedWeights {
	var sample []membership.NamedWeights
	for key, named := range s.limitingVersions() {
		if named.AgeKnown() {
			sample = append(sample, membership.NamedWeights{Model: key.model, Version: key.version, Age: now.Sub(named.At)})
		}
	}
	slices.SortFunc(sample, func(a, b membership.NamedWeights) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	s.random.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return sample[:min(len(sample), membership.MaxNamedWeights)]
}

// recordPeerWeights adds the versions in a peer's digest to the histories.
func (s *State) recordPeerWeights(now time.Time, m PeerDigest) {
	for _, v := range m.Digest.NamedWeights {
		named := weights.Named{Version: v.Version, At: s.peerNamedAt(now, m, v)}
		if !s.addNamedWeights(now, v.Model, named) {
			continue
		}
		s.logEvent(event.WeightsAgeLearned, "model", v.Model, "weights", v.Version, "peer", m.Digest.Node, "age_ms", v.Age.Milliseconds())
		if m.AskedAt.IsZero() {
			s.announceWeights(now, v.Model, named)
		}
	}
}

// peerNamedAt returns when a version in a peer's digest was named, or the zero time when
// the digest does not tell. The age in a reply counts from the question, which makes the
// time rather too early; it only replaces an unknown one, because a time that may move
// back would do so at each exchange. The age in another digest counts from its arrival,
// which is too late when the digest waited for this node to start or to return from a
// pause.
func (s *State) peerNamedAt(now time.Time, m PeerDigest, v membership.NamedWeights) time.Time {
	switch {
	case m.AskedAt.IsZero() && !s.following.mayBeOld(now):
		return now.Add(-v.Age)
	case !m.AskedAt.IsZero() && !m.AskedAt.Before(s.following.since) && !s.namedWeights(v.Model).AgeKnown(v.Version):
		return m.AskedAt.Add(-v.Age)
	}
	return time.Time{}
}
