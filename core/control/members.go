package control

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
)

const (
	// digestInterval is the time between two rounds of digests.
	digestInterval = time.Second
	// digestPeers is the number of peers asked in each round.
	digestPeers = 2
	// startingPeers is the number of peers that a starting node asks.
	startingPeers = 8
	// deadRounds is the number of rounds after which dead peers are asked
	// too, so that a repaired link is noticed.
	deadRounds = 5
)

// rounds counts the rounds of digests.
type rounds struct {
	next  time.Time
	count int
}

func peerBindings() chart.Bindings[*membership.Peer] {
	return chart.Bindings[*membership.Peer]{Tags: peerTags}
}

// noteMembers takes the member list from the VM list: the entry VMs,
// including those that leave, since they still serve.
func (s *State) noteMembers(now time.Time, m VMList) {
	places := map[string]membership.Location{}
	for _, vm := range m.VMs {
		if vm.Role == fleet.RoleEntry {
			places[vm.ID] = membership.Location{Address: vm.PeerAddress, Domain: string(vm.Domain)}
		}
	}
	s.members.SetMembers(places, func() chart.Instance { return s.charts.peer.Start(now) })
}

// stateForPeers returns the state of the node, with one name for all states in
// which it starts or leaves.
func (s *State) stateForPeers() string {
	if s.life.Is(tagRefusesStarting) {
		return membership.StateStarting
	}
	if s.life.Is(tagDeparts) {
		return membership.StateLeaving
	}
	return string(s.life.State)
}

// digest describes the node to a peer. A digest that is sent unasked carries
// the lists; the answer to it carries the ages of sightings, which are usable
// there because the asker knows when it asked.
func (s *State) digest(now time.Time, asked bool) membership.Digest {
	c := &s.configuration
	d := membership.Digest{
		Node:                s.options.Node,
		Incarnation:         s.options.Incarnation,
		State:               s.stateForPeers(),
		NewestVersion:       c.newest,
		KeyValueUnreachable: now.Sub(c.contact) > config.FenceTime,
		ConfirmationAge:     membership.UnknownConfirmation,
	}
	if s.takesPart() {
		d.Version = s.version
	}
	if !asked {
		d.LeavingReports = s.leavingWords(now)
		d.Quarantine = s.quarantineWords(now)
		return d
	}
	d.MemberListID, d.LastSeenAges = s.members.LastSeenAges(now, s.takesPart())
	if !c.confirmed.IsZero() {
		d.ConfirmationAge = now.Sub(c.confirmed)
	}
	return d
}

// answer is the digest for a peer that asked. A peer that starts is also told
// the fingerprints, since it may have missed their changes.
func (s *State) answer(now time.Time, question membership.Digest) membership.Digest {
	d := s.digest(now, true)
	if question.State == membership.StateStarting {
		d.Quarantine = fingerprints(now, s.quarantine.DigestEntries())
	}
	return d
}

// peerDigest takes over what a peer told. The versions come first, because a
// sighting confirms nothing once a newer version is known.
func (s *State) peerDigest(now time.Time, m PeerDigest) {
	d := m.Digest
	peer := s.members.Peer(d.Node)
	if peer == nil {
		peer = s.members.Peer(m.Target)
	}
	s.noteNewest(d.NewestVersion, "")
	holder := ""
	if peer != nil {
		holder = peer.ID
	}
	s.noteNewest(d.Version, holder)
	if peer != nil {
		s.notePeer(now, peer, m)
	}
	asked := m.Asked
	if asked.IsZero() {
		asked = now
	}
	s.peerWords(now, asked, d.LeavingReports)
	s.peerFingerprints(now, d.Quarantine)
	if m.Asked.IsZero() {
		return
	}
	s.members.MergeLastSeen(d.MemberListID, d.LastSeenAges, m.Asked)
	if d.Version == s.version && d.ConfirmationAge >= 0 {
		s.confirmFromPeers(now, m.Asked.Add(-d.ConfirmationAge))
	}
	s.confirmByPeers(now)
}

func (s *State) notePeer(now time.Time, peer *membership.Peer, m PeerDigest) {
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
	if d.Version > 0 && m.Asked.After(peer.LastSeen) {
		peer.LastSeen = m.Asked
	}
}

func (s *State) expirePeers(now time.Time) {
	for _, peer := range s.members.Peers() {
		_, _ = s.charts.peer.Expire(&peer.Chart, peer, now)
	}
}

// tickDigests starts a round of digests with random peers.
func (s *State) tickDigests(now time.Time) {
	if now.Before(s.rounds.next) {
		return
	}
	s.rounds.next = now.Add(digestInterval)
	s.rounds.count++
	var targets []PeerTarget
	for _, peer := range s.samplePeers() {
		targets = append(targets, PeerTarget{Node: peer.ID, Address: peer.Address})
	}
	if len(targets) > 0 {
		s.command(SendDigest{Targets: targets, Digest: s.digest(now, false)})
	}
}

func (s *State) samplePeers() []*membership.Peer {
	count := digestPeers
	if s.life.Is(tagRefusesStarting) {
		count = startingPeers
	}
	present := func(p *membership.Peer) bool { return p.Chart.Is(tagPresent) }
	dead := func(p *membership.Peer) bool { return p.Chart.Is(tagDead) }
	sample := s.members.Sample(s.random, count, present)
	if len(sample) < count || s.rounds.count%deadRounds == 0 {
		sample = append(sample, s.members.Sample(s.random, 1, dead)...)
	}
	return sample
}
