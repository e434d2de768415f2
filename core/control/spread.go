package control

import (
	"time"

	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
)

// spreadPeers is the number of peers to which a node passes on a change of the
// quarantine. Each peer that learns it from a digest passes it on once.
const spreadPeers = 4

// publish makes changed entries known to the fleet.
func (s *State) publish(now time.Time, changed []quarantine.Entry) {
	s.command(PublishQuarantine{Entries: changed})
	s.spread(now, changed)
}

// spread sends changed entries to random peers at once.
func (s *State) spread(now time.Time, changed []quarantine.Entry) {
	if !s.options.Agents {
		return
	}
	present := func(p *membership.Peer) bool { return !p.Chart.Is(tagDead) }
	var targets []PeerTarget
	for _, peer := range s.members.Sample(s.random, spreadPeers, present) {
		targets = append(targets, PeerTarget{Node: peer.ID, Address: peer.Address})
	}
	if len(targets) == 0 {
		return
	}
	digest := s.digest(now, false)
	digest.Quarantine = fingerprints(now, changed)
	s.command(SendDigest{Targets: targets, Digest: digest})
}

// quarantineWords picks quarantined fingerprints at random for a periodic
// digest, so that a node which missed the change itself learns it. Suspicions
// are left out: a copy that is still under way would renew one that was
// cleared.
func (s *State) quarantineWords(now time.Time) []membership.FingerprintStatus {
	var banned []quarantine.Entry
	for _, e := range s.quarantine.DigestEntries() {
		if e.Kind == quarantine.Quarantined {
			banned = append(banned, e)
		}
	}
	s.random.Shuffle(len(banned), func(i, j int) { banned[i], banned[j] = banned[j], banned[i] })
	return fingerprints(now, banned[:min(len(banned), membership.MaxPeriodicItems)])
}

// fingerprints returns entries with their remaining time, which does not
// depend on the clocks of other nodes.
func fingerprints(now time.Time, entries []quarantine.Entry) []membership.FingerprintStatus {
	var out []membership.FingerprintStatus
	for _, e := range entries {
		out = append(out, membership.FingerprintStatus{ID: e.Fingerprint, Kind: e.Kind, Server: e.Server, ExpiresIn: e.ExpiresAt.Sub(now)})
	}
	return out
}

// peerFingerprints takes over what a peer knows of fingerprints.
func (s *State) peerFingerprints(now time.Time, known []membership.FingerprintStatus) {
	var entries []quarantine.Entry
	for _, k := range known {
		entries = append(entries, quarantine.Entry{Fingerprint: k.ID, Kind: k.Kind, Server: k.Server, ExpiresAt: now.Add(k.ExpiresIn)})
	}
	s.quarantineSeen(now, QuarantineSeen{Entries: entries})
}
