package control

import (
	"maps"
	"time"

	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
	"tanagerspread/core/quarantine"
)

const (
	// sessionSpread is the time over which the nodes write their session entries again
	// after the key-value service came back from a copy. 300 nodes then make about 230
	// calls a second, within the several hundred that the service handles.
	sessionSpread = 4 * time.Second
	// oldEntryTime is how long an entry of the copy cannot take back that a server leaves.
	// Servers write their entries again within a few seconds.
	oldEntryTime = 10 * time.Second
)

// StoreEra reports that a response of the key-value service had a later era: the service
// has come back from a copy, and what was written since that copy is lost.
type StoreEra struct {
	Era uint64
}

func (StoreEra) message() {}

// storeEra is the latest era of the key-value service that this node knows, or 0.
type storeEra struct {
	number uint64
	seenAt time.Time
	// left has the servers that left and were removed in the last time.
	left map[fleet.ServerID]leftServer
}

// leftServer is a server that left, until the time at which it is forgotten.
type leftServer struct {
	address     string
	startedAtMS int64
	until       time.Time
}

// leftMemory is how long a server that left is remembered: the age of a copy, the
// time for which the service is away and oldEntryTime together are shorter.
const leftMemory = time.Minute

// storeEraSeen handles an era that this node, or a peer, read from a response of the
// key-value service. Orders of an earlier holder may be in flight, also when this is
// the first era that the node knows: that holder may act until its lease is no longer
// safe by its own clock. See docs/design/store-era.md.
func (s *State) storeEraSeen(now time.Time, era uint64, peer string) {
	before := s.storeEra.number
	if era <= before {
		return
	}
	s.storeEra.number, s.storeEra.seenAt = era, now
	s.orders.issuer.OtherHolderSeenAt = now
	if before == 0 {
		return
	}
	s.logEvent(event.StoreReverted, "era", era, "peer", peer)
	s.following.since = now
	clear(s.orders.markedWeights)
	s.fireIssuerEvent("revert", now)
	s.revertSession(now)
	s.republishQuarantine(now)
	s.gossip(now)
	if s.options.Forwarding && s.entrySource == (PeerTarget{}) {
		s.command(RefreshEntries{})
	}
}

// revertSession opens a new session after a random time, because the entry and its lease
// may be lost.
func (s *State) revertSession(now time.Time) {
	s.fireSessionEvent("revert", now)
	if s.session.chart.Is(tagAwaitsRewrite) {
		s.session.chart.TimeoutAt = now.Add(time.Duration(s.random.Int64N(int64(sessionSpread))))
	}
}

// republishQuarantine stores the quarantined fingerprints and parts of which this node is
// the writer, because the key-value service may have lost them.
func (s *State) republishQuarantine(now time.Time) {
	var entries []quarantine.Entry
	for _, e := range s.quarantine.DigestEntries() {
		if e.Kind == quarantine.Quarantined && s.writesAgain(string(e.Fingerprint[:])) {
			entries = append(entries, e)
		}
	}
	if len(entries) > 0 {
		s.command(PublishQuarantine{Entries: entries})
	}
	for _, part := range s.parts.QuarantinedParts() {
		expiresAt := part.At.Add(quarantine.PartQuarantineTTL)
		if now.Before(expiresAt) && s.writesAgain(string(part.Part)) {
			s.command(PublishQuarantine{Parts: []quarantine.PartQuarantine{part}, PartsExpireAt: expiresAt})
		}
	}
}

// writesAgain reports whether this node, among all members that are not dead, writes an
// entry that all of them know.
func (s *State) writesAgain(entry string) bool {
	own := placement.FollowWeight(entry, s.options.Node)
	for _, peer := range s.members.Peers() {
		if !peer.Chart.Is(tagDead) && placement.FollowWeight(entry, peer.ID) > own {
			return false
		}
	}
	return true
}

// staysLeaving reports whether a server that left stays so although an entry shows it
// live: the entry is of the copy, and older than the one that showed it as leaving.
func (s *State) staysLeaving(now time.Time, server *fleet.Server, vm VM) bool {
	return vm.FromCopy && (server.LeavingByList || server.LeavingRevision != 0) && now.Sub(s.storeEra.seenAt) < oldEntryTime
}

// recordLeft remembers a server that is removed after it left.
func (s *State) recordLeft(now time.Time, server *fleet.Server) {
	if !server.LeavingByList && !server.LeavingByResponse && server.LeavingRevision == 0 {
		return
	}
	if s.storeEra.left == nil {
		s.storeEra.left = map[fleet.ServerID]leftServer{}
	}
	maps.DeleteFunc(s.storeEra.left, func(_ fleet.ServerID, l leftServer) bool { return now.After(l.until) })
	s.storeEra.left[server.ID] = leftServer{address: server.Address, startedAtMS: server.StartedAtMS, until: now.Add(leftMemory)}
}

// hasLeft reports whether an entry of the copy shows a server that has left since.
func (s *State) hasLeft(now time.Time, vm VM) bool {
	l, found := s.storeEra.left[fleet.ServerID(vm.ID)]
	return found && vm.FromCopy && now.Sub(s.storeEra.seenAt) < oldEntryTime && l.address == vm.Address && l.startedAtMS == vm.StartedAtMS
}
