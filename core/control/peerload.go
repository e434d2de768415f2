package control

import (
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
)

const (
	// loadPeers bounds the peers that are told of the own work.
	loadPeers = 16
	// loadRepeat is the time after which work that has not ended is told again.
	loadRepeat = time.Second
)

// ServerWork is the prompt work of one node at a server.
type ServerWork struct {
	Server fleet.ServerID
	// Prefill is the number of prompt tokens that the node waits for.
	Prefill int
}

// PeerWork reports the prompt work of a peer. Servers that are not named keep
// what was told of them before.
type PeerWork struct {
	Node string
	Work []ServerWork
}

// SendWork tells peers the own prompt work.
type SendWork struct {
	Targets []PeerTarget
	Node    string
	Work    []ServerWork
}

func (PeerWork) message() {}
func (SendWork) command() {}

// peerWork takes over what a peer told.
func (s *State) peerWork(now time.Time, m PeerWork) {
	for _, work := range m.Work {
		if server := s.servers[work.Server]; server != nil && work.Prefill >= 0 {
			server.RecordPeerWork(m.Node, work.Prefill, now)
		}
	}
}

// tickWork tells the peers of the own failure domain which prompt work has
// changed. They send their calls to the same engines, and bytes within a domain
// cost nothing.
func (s *State) tickWork(now time.Time) {
	if !s.options.Forwarding {
		return
	}
	var work []ServerWork
	for _, server := range s.ordered {
		if server.Role != fleet.RoleEngine || !server.WorkNeedsAdvertising(now, loadRepeat) {
			continue
		}
		server.RecordWorkAdvertised(now)
		work = append(work, ServerWork{Server: server.ID, Prefill: server.PrefillTokens})
	}
	if len(work) == 0 {
		return
	}
	near := func(p *membership.Peer) bool {
		return p.Domain == string(s.options.Domain) && p.Chart.Is(tagPresent)
	}
	var targets []PeerTarget
	for _, peer := range s.members.Sample(s.random, loadPeers, near) {
		targets = append(targets, PeerTarget{Node: peer.ID, Address: peer.Address})
	}
	if len(targets) > 0 {
		s.command(SendWork{Targets: targets, Node: s.options.Node, Work: work})
	}
}
