package control

import (
	"time"

	"tanagerspread/core/membership"
)

// firstConfigWait is how long after its start a node waits for a peer before it uses the
// configuration of a key-value service that may have come back from a copy. An answer
// of a peer takes some milliseconds, the text of a newer configuration up to a second
// more.
const firstConfigWait = 1500 * time.Millisecond

// firstConfig is what a node that has no configuration yet knows of its first one.
type firstConfig struct {
	// held is the configuration that waits for a peer, or nil.
	held *ConfigSeen
	// answered is true once a peer that has a configuration in force has answered.
	answered bool
}

// holdFirstConfig keeps the first configuration from the key-value service back until a
// peer has confirmed that it knows no newer one: the service may have lost one that its
// operator has not written again yet. A service that reports no era never does.
func (s *State) holdFirstConfig(now time.Time, m ConfigSeen) bool {
	first := &s.configuration.first
	first.held = nil
	waits := s.version == 0 && m.FromService && s.options.Unfenced && s.storeEra.number != 0 &&
		len(s.members.Peers()) > 0 && now.Before(s.configuration.startedAt.Add(firstConfigWait))
	if !waits || first.answered && s.configuration.newest <= m.Current.Version {
		return false
	}
	first.held = &m
	return true
}

// releaseFirstConfig uses the configuration that was held back when nothing holds it back
// any more.
func (s *State) releaseFirstConfig(now time.Time) {
	if held := s.configuration.first.held; held != nil {
		s.configSeen(now, *held)
	}
}

// recordFirstAnswer records that a peer answered.
func (s *State) recordFirstAnswer(now time.Time, d membership.Digest) {
	if d.Version > 0 {
		s.configuration.first.answered = true
		s.releaseFirstConfig(now)
	}
}
