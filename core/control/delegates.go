package control

import (
	"tanagerspread/core/placement"
)

// delegates is the number of nodes of each failure domain that watch the
// key-value service. The others copy what these know.
const delegates = 2

// delegateTopic separates the ranks of delegates from those of followers.
const delegateTopic = "key-value service"

// CopyEntries tells from which peer the entries of the key-value service are
// copied; an empty target means from the service itself.
type CopyEntries struct {
	Source PeerTarget
}

func (CopyEntries) command() {}

// chooseSource names the peer to copy entries from. The nodes of a domain rank
// each other in the same way; a node that is not a delegate spreads over those
// that are, by its own rank.
func (s *State) chooseSource() {
	if !s.options.Forwarding {
		return
	}
	source := s.entrySource()
	if source != s.source {
		s.source = source
		s.command(CopyEntries{Source: source})
	}
}

func (s *State) entrySource() PeerTarget {
	own := placement.FollowWeight(delegateTopic, s.options.Node)
	before := 0
	var ahead []PeerTarget
	for _, peer := range s.members.Peers() {
		if peer.Domain != string(s.options.Domain) || !peer.Chart.Is(tagPresent) {
			continue
		}
		if placement.FollowWeight(delegateTopic, peer.ID) <= own {
			continue
		}
		before++
		ahead = append(ahead, PeerTarget{Node: peer.ID, Address: peer.Address})
	}
	if before < delegates {
		return PeerTarget{}
	}
	return highest(ahead, delegates)[int(own%delegates)]
}

// highest returns the targets with the highest ranks.
func highest(targets []PeerTarget, count int) []PeerTarget {
	for i := range min(count, len(targets)) {
		for j := i + 1; j < len(targets); j++ {
			if placement.FollowWeight(delegateTopic, targets[j].Node) > placement.FollowWeight(delegateTopic, targets[i].Node) {
				targets[i], targets[j] = targets[j], targets[i]
			}
		}
	}
	return targets[:min(count, len(targets))]
}
