package control

import (
	"maps"
	"slices"
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/placement"
	"tanagerspread/core/shares"
)

const (
	// maxWorkPeers bounds the peers to which the node reports its work at once.
	maxWorkPeers = 64
	// smallFleetPeers is the number of peers up to which a node reports all its work
	// to all of them.
	smallFleetPeers = 16
	// maxReportedOrganisations bounds the organisations whose waiting work is reported.
	maxReportedOrganisations = 64
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
	// Waiting is the work that waits at the peer for the memory of engines.
	Waiting shares.TurnDemand
}

// SendWork reports the node's work to peers.
type SendWork struct {
	Targets []PeerTarget
	Node    string
	Work    []ServerWork
	Waiting shares.TurnDemand
}

func (PeerWork) message() {}
func (SendWork) command() {}

// peerWork records the work that a peer reported.
func (s *State) peerWork(now time.Time, m PeerWork) {
	if peer := s.members.Peer(m.Node); peer != nil {
		peer.RecordWaiting(m.Waiting)
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
	if s.recordWaiting(now) && byDomain[s.options.Domain] == nil {
		byDomain[s.options.Domain] = []ServerWork{}
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		s.sendWork(byDomain[domain], func(p *membership.Peer) bool {
			return p.Chart.Is(tagPresent) && s.sharesWork(p, domain)
		})
	}
}

// recordWaiting records the work that waits at the start of a turn and reports whether
// the peers must be told: that calls wait, have begun to wait or have ceased to.
func (s *State) recordWaiting(now time.Time) bool {
	waits := s.queue.Len() > 0
	turn := fleet.TurnNumber(now)
	if waits == s.advertisedWaiting && (!waits || turn == s.waiting[0].Turn) {
		return false
	}
	s.advertisedWaiting = waits
	if turn != s.waiting[0].Turn {
		s.waiting[1] = s.waiting[0]
		s.waiting[0] = shares.TurnDemand{Turn: turn, Demand: s.queue.MemoryDemand().Largest(maxReportedOrganisations)}
	}
	return true
}

// waitingIn returns the work of this node that waited at the start of a turn.
func (s *State) waitingIn(turn int64) shares.Demand {
	for _, report := range s.waiting {
		if report.Turn == turn {
			return report.Demand
		}
	}
	return nil
}

// sharesWork reports whether a peer is told of this node's work at the engines of a
// failure domain: the peers of that domain and of the node's own one, or all peers.
func (s *State) sharesWork(peer *membership.Peer, domain fleet.Domain) bool {
	return s.sharesAllWork() || peer.Domain == string(s.options.Domain) || peer.Domain == string(domain)
}

// knowsWork reports whether this node is told of the work of all nodes at an engine, as
// far as calls like this one need it.
func (s *State) knowsWork(req *activeRequest, server *fleet.Server) bool {
	return server.Domain == s.options.Domain || s.isSmallFleet() || req.cacheMovesSlowly && s.sharesAllWork()
}

// isSmallFleet reports whether calls of all kinds leave their failure domain: in a small
// fleet, and when the failure domains have so few engines that they often must.
func (s *State) isSmallFleet() bool {
	return len(s.members.Peers()) <= smallFleetPeers || s.fewEngines
}

// sharesAllWork reports whether all nodes are told of the work at all engines: in a
// small fleet, and where long prompts go to the engines that have their parts.
func (s *State) sharesAllWork() bool {
	return s.isSmallFleet() || len(s.members.Peers()) <= maxWorkPeers && s.slowCache
}

// typicalLongPrompt is the length in tokens of a prompt whose cache is large.
const typicalLongPrompt = 8192

// hasSlowCache reports whether the engines of a service take long to move the cache of a
// long prompt.
func hasSlowCache(rules *config.Rules) bool {
	for _, pool := range rules.Pools {
		if placement.MovesSlowly(typicalLongPrompt, pool.TokenBytes, pool.LinkRate) {
			return true
		}
	}
	return false
}

// cacheMovesSlowly reports whether the shared parts of a call take long to move, so that
// it may go to an engine of any failure domain. Short calls stay in their domain: nodes
// of all domains would choose the same engines for them.
func (s *State) cacheMovesSlowly(req *activeRequest) bool {
	tokens := 0
	for _, part := range req.sharedParts() {
		tokens += part.Tokens
	}
	pool := s.rules.Pools[req.service]
	return placement.MovesSlowly(tokens, pool.TokenBytes, pool.LinkRate)
}

// sendWork reports work to up to maxWorkPeers random peers for which eligible returns
// true.
func (s *State) sendWork(work []ServerWork, eligible func(*membership.Peer) bool) {
	var targets []PeerTarget
	for _, peer := range s.members.Sample(s.random, maxWorkPeers, eligible) {
		targets = append(targets, PeerTarget{Node: peer.ID, Address: peer.Address})
	}
	if len(targets) > 0 {
		s.command(SendWork{Targets: targets, Node: s.options.Node, Work: work, Waiting: s.waiting[0]})
	}
}
