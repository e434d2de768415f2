package control

import (
	"io/fs"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/event"
	"tanagerspread/core/invariant"
	"tanagerspread/core/membership"
)

const (
	// confirmInterval is the age of the last confirmation at which a node
	// reads the key-value service itself. Peers' digests carry confirmations,
	// so with many nodes only a few of them have to read.
	confirmInterval = 4 * time.Second
	// confirmJitter is the upper bound of the random jitter that each node adds
	// to confirmInterval. Nodes whose confirmations have the same age, for
	// example after the service was unreachable, would otherwise all read at the
	// same moment. The sum of both is far enough below the fence time for a second
	// read.
	confirmJitter = 3 * time.Second
	// readInterval is the time between two reads of the key-value service.
	readInterval = 2 * time.Second
	// textWait is how long a node that knows of a newer version waits for its text from
	// the watch and from peers before it reads the entries of the service itself.
	textWait = 500 * time.Millisecond
	// fetchInterval is the time between two fetches of a newer configuration
	// from a peer.
	fetchInterval = time.Second
)

// configuration is the control state of the configuration and its versions.
type configuration struct {
	// current is the configuration in force.
	current config.Configuration
	chart   chart.Instance
	// confirmedAt is the latest time at which the version in force was certainly
	// the newest one.
	confirmedAt time.Time
	// newest is the newest version that the node has learned of.
	newest config.Version
	// newestAt is when the node learned of the newest version.
	newestAt time.Time
	// unreadable is the newest version whose text could not be parsed.
	unreadable config.Version
	// newestHolder is the peer that has the newest version in force, or empty.
	newestHolder string
	// contactAt is when the node last reached the key-value service.
	contactAt time.Time
	// startedAt is when the process started.
	startedAt time.Time
	// readAge is the age of the last confirmation at which the node reads the
	// key-value service.
	readAge   time.Duration
	first     firstConfig
	nextRead  time.Time
	nextFetch time.Time
}

// loadAgentCharts loads the charts of the control state that the agents report
// on: the peers, the configuration, the isolated organisations and the session entry.
func (s *State) loadAgentCharts(files fs.FS) error {
	var err error
	if s.charts.peer, err = loadMachine(files, "peer", peerBindings()); err != nil {
		return err
	}
	if s.charts.configuration, err = loadMachine(files, "configuration", configurationBindings()); err != nil {
		return err
	}
	if s.charts.isolation, err = loadMachine(files, "isolation", isolationBindings()); err != nil {
		return err
	}
	s.charts.session, err = loadMachine(files, "session", sessionBindings())
	return err
}

func configurationBindings() chart.Bindings[*State] {
	return chart.Bindings[*State]{
		Tags: configTags,
		Actions: map[string]func(*State, time.Time){
			"confirm_node": func(s *State, now time.Time) { s.fireNodeEvent("confirm", now) },
			"fence_node":   func(s *State, now time.Time) { s.fireNodeEvent("fence", now) },
		},
	}
}

// configure puts a newer configuration into force and confirms it.
func (s *State) configure(now time.Time, m Configure) {
	s.putInForce(now, config.Configuration{Version: m.Version}, m.Rules)
	if m.Version == s.version {
		s.confirm(now, now)
	}
}

// putInForce replaces the configuration in force by a newer one. It ignores an
// older or equal version and a configuration without rules.
func (s *State) putInForce(now time.Time, current config.Configuration, rules *config.Rules) {
	s.recordNewest(now, current.Version, "")
	if rules == nil {
		s.configuration.unreadable = max(s.configuration.unreadable, current.Version)
	}
	if current.Version <= s.version || rules == nil {
		return
	}
	before := s.version
	s.version = current.Version
	s.options.Checker.Check(s.version > before, invariant.VersionIncreases, "version %d after %d", s.version, before)
	s.configuration.current = current
	s.rules = rules
	s.slowCache = hasSlowCache(rules)
	s.policy = policyOf(rules.Policy.Placement)
	s.updateIsolation(now)
	s.journal.rules = rules
	s.journal.version = s.version
	s.applyServerRules(now)
	s.recordAdapters()
	s.updateCacheStores(now)
	s.updateServing()
	s.syncEngines(now)
	s.fireNodeEvent("configure", now)
	if s.options.Unfenced {
		s.fireNodeEvent("confirm", now)
		s.gossip(now)
	}
	s.command(ConfigInForce{Version: s.version, Author: current.Author, Known: now.Sub(s.configuration.newestAt), CallerLimits: rules.CallerLimits})
	s.assignQueued(now)
}

// configSeen handles a configuration that an agent read.
func (s *State) configSeen(now time.Time, m ConfigSeen) {
	if m.FromService {
		s.recordContact(m.AskedAt)
		s.repairService(m.Current)
	}
	if m.Isolation.Changed > s.isolation.newest.Changed {
		s.isolation.newest = m.Isolation
	}
	if s.holdFirstConfig(now, m) {
		return
	}
	s.putInForce(now, m.Current, m.Rules)
	if m.FromService && m.Current.SameApply(s.configuration.current) {
		s.confirm(now, m.AskedAt)
	}
	s.confirmByMajority(now)
}

// repairService writes the configuration in force back to a key-value service
// that was restored from an older copy.
func (s *State) repairService(stored config.Configuration) {
	inForce := s.configuration.current
	if s.version == 0 || inForce.ApplyID == "" {
		return
	}
	if newer, needed := config.Repair(stored, inForce); needed {
		s.command(WriteConfig{Replaced: stored, Current: newer})
	}
}

// recordContact records that the node reached the key-value service.
func (s *State) recordContact(at time.Time) {
	if at.After(s.configuration.contactAt) {
		s.configuration.contactAt = at
	}
}

// recordNewest records that a version exists and which peer has it in force;
// holder is empty when no such peer is known.
func (s *State) recordNewest(now time.Time, version config.Version, holder string) {
	c := &s.configuration
	if version > c.newest {
		c.newest = version
		c.newestAt = now
		c.newestHolder = ""
	}
	if version == c.newest && holder != "" {
		c.newestHolder = holder
	}
}

// recordPeerVersions records the versions in the digest of a peer and logs one that is
// newer than all that the node knows. holder is the name of the peer, or empty.
func (s *State) recordPeerVersions(now time.Time, d membership.Digest, holder string) {
	if d.NewestVersion > s.configuration.newest {
		s.logEvent(event.ConfigKnown, "version", uint64(d.NewestVersion), "in_force", uint64(s.version), "peer", holder)
	}
	s.recordNewest(now, d.NewestVersion, "")
	s.recordNewest(now, d.Version, holder)
}

// confirm records that the version in force was the newest one at the given time.
// Once the node has learned of a newer version, nothing confirms the version in
// force, so the fence time also bounds the wait for the newer one.
func (s *State) confirm(now, at time.Time) {
	c := &s.configuration
	if s.version == 0 || c.newest > s.version || !at.After(c.confirmedAt) || at.Before(c.startedAt) {
		return
	}
	c.confirmedAt = at
	fenceAt := at.Add(s.charts.configuration.Timeout(tagConfirmed))
	if !fenceAt.After(now) {
		return
	}
	if err := s.charts.configuration.Fire(&c.chart, s, "confirm", now); err != nil {
		return
	}
	c.chart.TimeoutAt = fenceAt
}

// confirmByMajority confirms the version in force as of the time since which a
// majority of the member list has been seen. An accepted version is in force on
// a majority, and each digest of a member carries the newest version that the
// member knew at that time.
func (s *State) confirmByMajority(now time.Time) {
	if seenAt := s.members.MajorityLastSeen(now, s.countsInMajority()); !seenAt.IsZero() {
		s.confirmByPeerReport(now, seenAt)
	}
}

// confirmByPeerReport records a confirmation that follows from reports of
// peers. A node that starts may have been part of the majority that
// acknowledged a newer version before its restart, so it waits until that
// acknowledgement no longer counts.
func (s *State) confirmByPeerReport(now, at time.Time) {
	if !s.countsInMajority() && at.Before(s.configuration.startedAt.Add(config.RestartWait)) {
		return
	}
	s.confirm(now, at)
}

// countsInMajority reports whether the node counts as a member that has a
// configuration in force. A node that starts does not: it may have
// acknowledged a newer version before it was restarted.
func (s *State) countsInMajority() bool {
	return s.version > 0 && !s.nodeChart.Is(tagRefusesStarting)
}

func (s *State) expireConfiguration(now time.Time) {
	s.confirmByMajority(now)
	_, _ = s.charts.configuration.Expire(&s.configuration.chart, s, now)
}

// randomizeReadAge chooses a new readAge with random jitter.
func (s *State) randomizeReadAge() {
	s.configuration.readAge = confirmInterval + time.Duration(s.random.Int64N(int64(confirmJitter)))
}

// readConfiguration reads the configuration from the key-value service. A forwarding
// node reads it from its copy of the entries, which must be refreshed to have a newer
// text. No read brings a text that can be parsed when the last one could not.
func (s *State) readConfiguration(now time.Time) {
	c := &s.configuration
	if s.options.Forwarding {
		if c.unreadable == c.newest || now.Sub(c.newestAt) < textWait {
			return
		}
		c.nextRead = now.Add(readInterval)
		s.command(RefreshEntries{})
		return
	}
	c.nextRead = now.Add(readInterval)
	s.randomizeReadAge()
	s.command(ReadConfig{})
}

// tickReads asks for a read of the key-value service when the last confirmation
// is too old or a newer version exists, and fetches that version from a peer
// that has it in force.
func (s *State) tickReads(now time.Time) {
	c := &s.configuration
	outdated := c.newest > s.version
	// An unfenced node needs no confirmation and reads only newer versions.
	unconfirmed := !s.options.Unfenced && now.Sub(c.confirmedAt) >= c.readAge
	if (outdated || unconfirmed) && !now.Before(c.nextRead) {
		s.readConfiguration(now)
	}
	if !outdated || now.Before(c.nextFetch) {
		return
	}
	if peer := s.members.Peer(c.newestHolder); peer != nil {
		c.nextFetch = now.Add(fetchInterval)
		s.command(FetchConfig{Target: PeerTarget{Node: peer.ID, Address: peer.Address}})
	}
}
