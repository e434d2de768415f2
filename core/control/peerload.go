package control

import (
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
)

const (
	// maxWorkPeers bounds the peers to which the node reports its prefill work.
	maxWorkPeers = 16
	// workRepeatInterval is the time after which unfinished work is reported
	// again.
	workRepeatInterval = time.Second
)

// ServerWork is the prefill work of one node at a server.
type ServerWork struct {
	Server fleet.ServerID
	// PrefillTokens is the number of prompt tokens of the node's attempts that the
	// server has yet to compute.
	PrefillTokens int
}

// PeerWork reports the prefill work of a peer. Earlier reports stay valid for
// servers that are not listed.
type PeerWork struct {
	Node string
	Work []ServerWork
}

// SendWork reports the node's prefill work to peers.
type SendWork struct {
	Targets []PeerTarget
	Node    string
	Work    []ServerWork
}

func (PeerWork) message() {}
func (SendWork) command() {}

// peerWork records the prefill work that a peer reported.
func (s *State) peerWork(now time.Time, m PeerWork) {
	for _, work := range m.Work {
		if server := s.servers[work.Server]; server != nil && work.PrefillTokens >= 0 {
			server.RecordPeerWork(m.Node, work.PrefillTokens, now)
		}
	}
}

// tickWork reports changed prefill work to peers in the node's own failure
// domain. They send their calls to the same engines, and traffic within a domain
// costs nothing.
func (s *State) tickWork(now time.Time) {
	if !s.options.Forwarding {
		return
	}
	var work []ServerWork
	for _, server := range s.serverList {
		if server.Role != fleet.RoleEngine || !server.WorkNeedsAdvertising(now, workRepeatInterval) {
			continue
		}
		server.RecordWorkAdvertised(now)
		work = append(work, ServerWork{Server: server.ID, PrefillTokens: server.PrefillTokens})
	}
	if len(work) == 0 {
		return
	}
	inDomain := func(p *membership.Peer) bool {
		return p.Domain == string(s.options.Domain) && p.Chart.Is(tagPresent)
	}
	var targets []PeerTarget
	for _, peer := range s.members.Sample(s.random, maxWorkPeers, inDomain) {
		targets = append(targets, PeerTarget{Node: peer.ID, Address: peer.Address})
	}
	if len(targets) > 0 {
		s.command(SendWork{Targets: targets, Node: s.options.Node, Work: work})
	}
}
