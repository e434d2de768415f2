package control

import (
	"io/fs"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/invariant"
)

const (
	// confirmInterval is the age of the last confirmation at which a node
	// reads the key-value service itself. Peers' digests carry confirmations,
	// so in a large fleet few nodes have to read.
	confirmInterval = 4 * time.Second
	// confirmSpread is the range of the random time that each node adds to
	// confirmInterval. Nodes whose confirmations have the same age, for
	// example after an outage, would otherwise all read at the same moment.
	// Together both stay far enough below the fence time for a second try.
	confirmSpread = 3 * time.Second
	// readInterval is the time between two reads of the key-value service.
	readInterval = 2 * time.Second
	// fetchInterval is the time between two attempts to fetch a newer
	// configuration.
	fetchInterval = time.Second
)

// configuration is what the node knows about versions.
type configuration struct {
	current  config.Configuration
	position chart.Instance
	// confirmed is the latest time at which the version in force is known to
	// have been the newest one.
	confirmed time.Time
	// newest is the newest version that the node knows of.
	newest config.Version
	// holder is the peer that has the newest version in force, or empty.
	holder string
	// contact is when the node last reached the key-value service.
	contact time.Time
	// started is when the process started.
	started time.Time
	// readAge is the age of the last confirmation at which the node reads.
	readAge   time.Duration
	nextRead  time.Time
	nextFetch time.Time
}

func (s *State) loadFleetCharts(files fs.FS) error {
	var err error
	if s.charts.peer, err = load(files, "peer", peerBindings()); err != nil {
		return err
	}
	if s.charts.configuration, err = load(files, "configuration", configurationBindings()); err != nil {
		return err
	}
	s.charts.session, err = load(files, "session", sessionBindings())
	return err
}

func configurationBindings() chart.Bindings[*State] {
	return chart.Bindings[*State]{
		Tags: configTags,
		Actions: map[string]func(*State, time.Time){
			"confirm_node": func(s *State, now time.Time) { s.fireNode("confirm", now) },
			"fence_node":   func(s *State, now time.Time) { s.fireNode("fence", now) },
		},
	}
}

// configure puts a newer configuration into force and counts it as
// confirmed.
func (s *State) configure(now time.Time, m Configure) {
	s.putInForce(now, config.Configuration{Version: m.Version}, m.Rules)
	if m.Version == s.version {
		s.confirm(now, now)
	}
}

// putInForce replaces the configuration by a newer one and ignores any other.
func (s *State) putInForce(now time.Time, current config.Configuration, rules *config.Rules) {
	s.noteNewest(current.Version, "")
	if current.Version <= s.version || rules == nil {
		return
	}
	before := s.version
	s.version = current.Version
	s.options.Checker.Check(s.version > before, invariant.VersionIncreases, "version %d after %d", s.version, before)
	s.configuration.current = current
	s.rules = rules
	s.policy = policyOf(rules.Policy.Placement)
	s.journal.rules = rules
	s.journal.version = s.version
	s.applyServerRules(now)
	s.noteAdapters()
	s.syncCaches(now)
	s.updateServing()
	s.syncEngines(now)
	s.fireNode("configure", now)
	if s.options.Unfenced {
		s.fireNode("confirm", now)
		s.spread(now, nil)
	}
	s.command(ConfigInForce{Version: s.version, Author: current.Author})
	s.assignQueued(now)
}

// configSeen handles a configuration that an agent read.
func (s *State) configSeen(now time.Time, m ConfigSeen) {
	if m.Service {
		s.noteContact(m.Asked)
		s.repair(m.Current)
	}
	s.putInForce(now, m.Current, m.Rules)
	if m.Service && m.Current.SameApply(s.configuration.current) {
		s.confirm(now, m.Asked)
	}
	s.confirmByPeers(now)
}

// repair writes the configuration in force back to a service that was
// restored from an older copy.
func (s *State) repair(found config.Configuration) {
	inForce := s.configuration.current
	if s.version == 0 || inForce.ApplyID == "" {
		return
	}
	if newer, needed := config.Repair(found, inForce); needed {
		s.command(WriteConfig{Replaced: found, Current: newer})
	}
}

func (s *State) noteContact(at time.Time) {
	if at.After(s.configuration.contact) {
		s.configuration.contact = at
	}
}

// noteNewest remembers that a version exists and, when known, which peer has
// it in force.
func (s *State) noteNewest(version config.Version, holder string) {
	c := &s.configuration
	if version > c.newest {
		c.newest = version
		c.holder = ""
	}
	if version == c.newest && holder != "" {
		c.holder = holder
	}
}

// confirm notes that the version in force was the newest one at a time. While
// the node knows of a newer version nothing confirms its own, so the fence
// time also bounds the wait for the newer one.
func (s *State) confirm(now, at time.Time) {
	c := &s.configuration
	if s.version == 0 || c.newest > s.version || !at.After(c.confirmed) || at.Before(c.started) {
		return
	}
	c.confirmed = at
	deadline := at.Add(s.charts.configuration.Timeout(tagConfirmed))
	if !deadline.After(now) {
		return
	}
	if err := s.charts.configuration.Fire(&c.position, s, "confirm", now); err != nil {
		return
	}
	c.position.Deadline = deadline
}

// confirmByPeers uses the sight of a majority of the member list. An accepted
// version is in force on a majority, and each sighting comes with the newest
// version that the member had at that time.
func (s *State) confirmByPeers(now time.Time) {
	if seen := s.members.MajorityLastSeen(now, s.takesPart()); !seen.IsZero() {
		s.confirmFromPeers(now, seen)
	}
}

// confirmFromPeers notes a confirmation that rests on the word of peers. A
// node that starts may be part of the majority that acknowledged a newer
// version before its restart, so it waits until that acknowledgement no
// longer counts.
func (s *State) confirmFromPeers(now, at time.Time) {
	if !s.takesPart() && at.Before(s.configuration.started.Add(config.RestartWait)) {
		return
	}
	s.confirm(now, at)
}

// takesPart reports whether the node counts as a member that has a
// configuration in force. A node that starts does not: it may have
// acknowledged a newer version before it was restarted.
func (s *State) takesPart() bool {
	return s.version > 0 && !s.life.Is(tagRefusesStarting)
}

func (s *State) expireConfiguration(now time.Time) {
	s.confirmByPeers(now)
	_, _ = s.charts.configuration.Expire(&s.configuration.position, s, now)
}

// drawReadAge chooses when the node reads next.
func (s *State) drawReadAge() {
	s.configuration.readAge = confirmInterval + time.Duration(s.random.Int64N(int64(confirmSpread)))
}

// tickReads asks for a read when the last confirmation is old, and for a
// newer version that the node only knows by its number.
func (s *State) tickReads(now time.Time) {
	c := &s.configuration
	behind := c.newest > s.version
	// A node that needs no confirmation reads only what it misses.
	unsure := !s.options.Unfenced && now.Sub(c.confirmed) >= c.readAge
	if (behind || unsure) && !now.Before(c.nextRead) {
		c.nextRead = now.Add(readInterval)
		s.drawReadAge()
		s.command(ReadConfig{})
	}
	if !behind || now.Before(c.nextFetch) {
		return
	}
	if peer := s.members.Peer(c.holder); peer != nil {
		c.nextFetch = now.Add(fetchInterval)
		s.command(FetchConfig{Target: PeerTarget{Node: peer.ID, Address: peer.Address}})
	}
}
