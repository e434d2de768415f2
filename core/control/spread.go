package control

import (
	"slices"
	"time"

	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
)

// gossipPeers is the number of peers to which a node sends an urgent digest, for
// example about a change of the quarantine. Each peer that learns of the change
// from a digest relays it once, so that a node is missed with a probability of about
// exp(-gossipPeers). With 4 peers, one of 7 nodes missed a cleared suspicion now and then.
const gossipPeers = 8

// publishQuarantine publishes changed entries through the key-value service and
// to peers.
func (s *State) publishQuarantine(now time.Time, changed []quarantine.Entry) {
	s.command(PublishQuarantine{Entries: changed})
	s.gossipQuarantine(now, changed)
}

const (
	// quarantineDigestInterval is the shortest time between two urgent digests about the
	// quarantine. Each goes to gossipPeers peers, and in a series of crashes each node
	// learns of a change every few milliseconds.
	quarantineDigestInterval = 50 * time.Millisecond
	// maxUnsentQuarantine bounds the changed entries that wait to be sent.
	maxUnsentQuarantine = 16 * quarantine.MaxDigestEntries
)

// gossipQuarantine sends changed entries to random peers, at once when the last such
// digest is quarantineDigestInterval ago.
func (s *State) gossipQuarantine(now time.Time, changed []quarantine.Entry) {
	s.unsentQuarantine = append(s.unsentQuarantine, changed...)
	if excess := len(s.unsentQuarantine) - maxUnsentQuarantine; excess > 0 {
		s.unsentQuarantine = slices.Delete(s.unsentQuarantine, 0, excess)
	}
	s.sendQuarantine(now)
}

// sendQuarantine sends the changed entries that wait, as many as a digest carries.
func (s *State) sendQuarantine(now time.Time) {
	if len(s.unsentQuarantine) == 0 || now.Sub(s.quarantineSentAt) < quarantineDigestInterval {
		return
	}
	s.quarantineSentAt = now
	count := min(len(s.unsentQuarantine), quarantine.MaxDigestEntries)
	digest := s.digest(now, false)
	digest.Quarantine = quarantineStatuses(now, s.unsentQuarantine[:count])
	s.unsentQuarantine = slices.Delete(s.unsentQuarantine, 0, count)
	s.sendUrgent(digest)
}

// gossip sends a digest to random peers at once, without waiting for the next gossip
// round.
func (s *State) gossip(now time.Time) {
	digest := s.digest(now, false)
	digest.Quarantine = nil
	s.sendUrgent(digest)
}

// sendUrgent sends a digest to random peers.
func (s *State) sendUrgent(digest membership.Digest) {
	if !s.options.Agents {
		return
	}
	notDead := func(p *membership.Peer) bool { return !p.Chart.Is(tagDead) }
	var targets []PeerTarget
	for _, peer := range s.members.Sample(s.random, gossipPeers, notDead) {
		targets = append(targets, PeerTarget{Node: peer.ID, Address: peer.Address})
	}
	if len(targets) > 0 {
		s.command(SendDigest{Targets: targets, Digest: digest})
	}
}

// sampleQuarantined returns up to count random quarantined fingerprints for a periodic
// digest, so that a node that missed the change learns of it. Suspicions are left out, because a digest in flight would renew one that
// was cleared.
func (s *State) sampleQuarantined(now time.Time, count int) []membership.QuarantineStatus {
	var quarantined []quarantine.Entry
	for _, e := range s.quarantine.DigestEntries() {
		if e.Kind == quarantine.Quarantined {
			quarantined = append(quarantined, e)
		}
	}
	s.random.Shuffle(len(quarantined), func(i, j int) { quarantined[i], quarantined[j] = quarantined[j], quarantined[i] })
	return quarantineStatuses(now, quarantined[:min(len(quarantined), count)])
}

// quarantineStatuses returns the entries for a digest. They carry the time until
// their expiry, which does not depend on the clocks of other nodes.
func quarantineStatuses(now time.Time, entries []quarantine.Entry) []membership.QuarantineStatus {
	var out []membership.QuarantineStatus
	for _, e := range entries {
		out = append(out, membership.QuarantineStatus{Fingerprint: e.Fingerprint, Kind: e.Kind, Server: e.Server, ExpiresIn: e.ExpiresAt.Sub(now)})
	}
	return out
}

// recordPeerQuarantine adds the quarantine statuses of a peer's digest to the
// quarantine list.
func (s *State) recordPeerQuarantine(now time.Time, statuses []membership.QuarantineStatus) {
	var entries []quarantine.Entry
	for _, status := range statuses {
		entries = append(entries, quarantine.Entry{Fingerprint: status.Fingerprint, Kind: status.Kind, Server: status.Server, ExpiresAt: now.Add(status.ExpiresIn)})
	}
	s.quarantineSeen(now, QuarantineSeen{Entries: entries})
}
