package control

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
)

const (
	// digestInterval is the time between two gossip rounds.
	digestInterval = time.Second
	// digestPeers is the number of peers asked in each round.
	digestPeers = 2
	// startingDigestPeers is the number of peers that a starting node asks in
	// each round.
	startingDigestPeers = 8
	// deadPeerRounds is the number of rounds after which a dead peer is asked
	// too, so that its recovery is detected.
	deadPeerRounds = 5
)

// digestRounds counts the gossip rounds and holds the time of the next one.
type digestRounds struct {
	next  time.Time
	count int
}

func peerBindings() chart.Bindings[*membership.Peer] {
	return chart.Bindings[*membership.Peer]{Tags: peerTags}
}

// updateMembers replaces the member list by the entry VMs of the VM list,
// including leaving ones, since they still serve requests.
func (s *State) updateMembers(now time.Time, m VMList) {
	members := map[string]membership.Location{}
	for _, vm := range m.VMs {
		if vm.Role == fleet.RoleEntryVM {
			members[vm.ID] = membership.Location{Address: vm.PeerAddress, Domain: string(vm.Domain)}
		}
	}
	s.members.SetMembers(members, func() chart.Instance { return s.charts.peer.Start(now) })
}

// advertisedState returns the state of the node for digests: one name for all
// states in which it is starting, one for all in which it is leaving.
func (s *State) advertisedState() string {
	if s.nodeChart.Is(tagRefusesStarting) {
		return membership.StateStarting
	}
	if s.nodeChart.Is(tagDeparts) {
		return membership.StateLeaving
	}
	return string(s.nodeChart.State)
}

// digest returns the digest of the node for a peer. An unrequested digest
// carries the quarantine and leaving lists. A reply carries the last-seen ages,
// which are usable there because the requesting node knows when it asked.
func (s *State) digest(now time.Time, reply bool) membership.Digest {
	c := &s.configuration
	d := membership.Digest{
		Node:                s.options.Node,
		Incarnation:         s.options.Incarnation,
		State:               s.advertisedState(),
		NewestVersion:       c.newest,
		KeyValueUnreachable: now.Sub(c.contactAt) > config.FenceTime,
		ConfirmationAge:     membership.UnknownConfirmation,
		StoreEra:            s.storeEra.number,
	}
	if s.countsInMajority() {
		d.Version = s.version
	}
	if !reply {
		d.WantsNamedWeights = s.lacksWeightsAge()
		d.LeavingReports = s.sampleLeavingReports(now)
		d.Parts.Quarantined = s.sampleQuarantinedParts(now)
		d.Quarantine = s.sampleQuarantined(now, membership.MaxPeriodicItems-len(d.Parts.Quarantined))
		return d
	}
	d.MemberListID, d.LastSeenAges = s.members.LastSeenAges(now, s.countsInMajority())
	if !c.confirmedAt.IsZero() {
		d.ConfirmationAge = now.Sub(c.confirmedAt)
	}
	return d
}

// digestAnswer returns the reply to the digest of a peer. A reply to a starting
// peer also carries the fingerprints, since the peer may have missed their
// changes, and one to a peer that asks for them the ages of named weights.
func (s *State) digestAnswer(now time.Time, question membership.Digest) membership.Digest {
	d := s.digest(now, true)
	if question.WantsNamedWeights {
		d.NamedWeights = s.sampleNamedWeights(now)
	}
	if question.State == membership.StateStarting {
		d.Quarantine = quarantineStatuses(now, s.quarantine.DigestEntries())
		d.Parts.Quarantined = quarantineAges(now, s.parts.QuarantinedParts())
	}
	return d
}

// peerDigest applies the digest of a peer. The versions are recorded first, because
// a last-seen age confirms nothing when the digest carries a newer version.
func (s *State) peerDigest(now time.Time, m PeerDigest) {
	d := m.Digest
	peer := s.members.Peer(d.Node)
	if peer == nil {
		peer = s.members.Peer(m.Target)
	}
	holder := ""
	if peer != nil {
		holder = peer.ID
	}
	s.recordPeerVersions(now, d, holder)
	s.storeEraSeen(now, d.StoreEra, d.Node)
	if peer != nil {
		s.updatePeer(now, peer, m)
	}
	askedAt := m.AskedAt
	if askedAt.IsZero() {
		askedAt = now
	}
	s.recordPeerLeaving(now, askedAt, d.LeavingReports)
	s.recordPeerQuarantine(now, d.Quarantine)
	s.recordPeerParts(now, d.Parts)
	if peer != nil {
		s.recordPeerWeights(now, m)
	}
	if m.AskedAt.IsZero() {
		return
	}
	s.recordFirstAnswer(now, d)
	s.members.MergeLastSeen(d.MemberListID, d.LastSeenAges, m.AskedAt)
	if d.Version == s.version && d.ConfirmationAge >= 0 {
		s.confirmByPeerReport(now, m.AskedAt.Add(-d.ConfirmationAge))
	}
	s.confirmByMajority(now)
}

// updatePeer updates a peer from its digest. A digest of an earlier incarnation
// is ignored.
func (s *State) updatePeer(now time.Time, peer *membership.Peer, m PeerDigest) {
	d := m.Digest
	if d.Incarnation < peer.Incarnation {
		return
	}
	event := chart.Event("hear")
	switch {
	case d.Incarnation > peer.Incarnation:
		event = "restart"
	case d.State == membership.StateLeaving:
		event = "leave"
	}
	// An event that the chart refuses changes nothing, for example a late
	// digest of a peer that has left.
	_ = s.charts.peer.Fire(&peer.Chart, peer, event, now)
	peer.Incarnation = d.Incarnation
	peer.Version = d.Version
	peer.LastReportAt = now
	peer.KeyValueUnreachable = d.KeyValueUnreachable
	if d.Version > 0 && m.AskedAt.After(peer.LastSeen) {
		peer.LastSeen = m.AskedAt
	}
}

func (s *State) expirePeers(now time.Time) {
	for _, peer := range s.members.Peers() {
		_, _ = s.charts.peer.Expire(&peer.Chart, peer, now)
	}
}

// tickDigests starts a gossip round with random peers when it is due.
func (s *State) tickDigests(now time.Time) {
	if now.Before(s.digestRounds.next) {
		return
	}
	s.digestRounds.next = now.Add(digestInterval)
	s.digestRounds.count++
	var targets []PeerTarget
	for _, peer := range s.samplePeers() {
		targets = append(targets, PeerTarget{Node: peer.ID, Address: peer.Address})
	}
	if len(targets) > 0 {
		s.command(SendDigest{Targets: targets, Digest: s.digest(now, false)})
	}
}

// samplePeers returns random peers for one gossip round. A dead peer is added in
// every deadPeerRounds-th round and when there are too few present peers.
func (s *State) samplePeers() []*membership.Peer {
	count := digestPeers
	if s.nodeChart.Is(tagRefusesStarting) {
		count = startingDigestPeers
	}
	present := func(p *membership.Peer) bool { return p.Chart.Is(tagPresent) }
	dead := func(p *membership.Peer) bool { return p.Chart.Is(tagDead) }
	sample := s.members.Sample(s.random, count, present)
	if len(sample) < count || s.digestRounds.count%deadPeerRounds == 0 {
		sample = append(sample, s.members.Sample(s.random, 1, dead)...)
	}
	return sample
}
