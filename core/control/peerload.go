package control

import (
	"maps"
	"slices"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
)

const (
	// maxWorkPeers bounds the peers to which the node reports its work at once.
	maxWorkPeers = 64
	// smallFleetPeers is the number of peers up to which a node reports all its work
	// to all of them.
	smallFleetPeers = 16
	// workRepeatInterval is the time after which unfinished work is reported
	// again.
	workRepeatInterval = time.Second
)

// ServerWork is the work of one node at a server.
type ServerWork struct {
	Server fleet.ServerID
	fleet.Work
}

// PeerWork reports the work of a peer. Earlier reports stay valid for
// servers that are not listed.
type PeerWork struct {
	Node string
	Work []ServerWork
	// CallsWait is true while calls wait at the peer for the memory of engines.
	CallsWait bool
}

// SendWork reports the node's work to peers.
type SendWork struct {
	Targets   []PeerTarget
	Node      string
	Work      []ServerWork
	CallsWait bool
}

func (PeerWork) message() {}
func (SendWork) command() {}

// peerWork records the work that a peer reported.
func (s *State) peerWork(now time.Time, m PeerWork) {
	if peer := s.members.Peer(m.Node); peer != nil {
		peer.WaitingReportedAt = time.Time{}
		if m.CallsWait {
			peer.WaitingReportedAt = now
		}
	}
	for _, work := range m.Work {
		if server := s.servers[work.Server]; server != nil {
			server.RecordPeerWork(m.Node, work.Work, now)
		}
	}
}

// tickWork reports changed work at the engines of each failure domain to the peers
// that decide by it.
func (s *State) tickWork(now time.Time) {
	if !s.options.Forwarding {
		return
	}
	byDomain := map[fleet.Domain][]ServerWork{}
	for _, server := range s.serverList {
		if server.Role != fleet.RoleEngine || !server.WorkNeedsAdvertising(now, workRepeatInterval) {
			continue
		}
		byDomain[server.Domain] = append(byDomain[server.Domain], ServerWork{Server: server.ID, Work: server.AdvertiseWork(now)})
	}
	if s.waitingNeedsAdvertising(now) && byDomain[s.options.Domain] == nil {
		byDomain[s.options.Domain] = []ServerWork{}
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		s.sendWork(byDomain[domain], func(p *membership.Peer) bool {
			return p.Chart.Is(tagPresent) && s.sharesWork(p, domain)
		})
	}
}

// waitingNeedsAdvertising reports whether peers must be told that calls have begun or
// ceased to wait here, or still wait.
func (s *State) waitingNeedsAdvertising(now time.Time) bool {
	waits := s.queue.Len() > 0
	if waits == s.advertisedWaiting && (!waits || now.Sub(s.waitingAdvertisedAt) < workRepeatInterval) {
		return false
	}
	s.advertisedWaiting = waits
	s.waitingAdvertisedAt = now
	return true
}

// sharesWork reports whether a peer is told of this node's work at the engines of a
// failure domain: the peers of that domain and of the node's own one, or all peers.
func (s *State) sharesWork(peer *membership.Peer, domain fleet.Domain) bool {
	return s.sharesAllWork() || peer.Domain == string(s.options.Domain) || peer.Domain == string(domain)
}

// knowsWork reports whether this node is told of the work of all nodes at an engine.
func (s *State) knowsWork(server *fleet.Server) bool {
	return s.sharesAllWork() || server.Domain == s.options.Domain
}

// sharesAllWork reports whether all nodes are told of the work at all engines: in a
// small fleet, and when the failure domains have so few engines that calls often leave
// their domain.
func (s *State) sharesAllWork() bool {
	return len(s.members.Peers()) <= smallFleetPeers || s.fewEngines
}

// sendWork reports work to up to maxWorkPeers random peers for which eligible returns
// true.
func (s *State) sendWork(work []ServerWork, eligible func(*membership.Peer) bool) {
	var targets []PeerTarget
	for _, peer := range s.members.Sample(s.random, maxWorkPeers, eligible) {
		targets = append(targets, PeerTarget{Node: peer.ID, Address: peer.Address})
	}
	if len(targets) > 0 {
		s.command(SendWork{Targets: targets, Node: s.options.Node, Work: work, CallsWait: s.queue.Len() > 0})
	}
}
