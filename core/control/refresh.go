package control

import (
	"slices"
	"time"
)

// refreshSlot is the time between two reads of all entries by the nodes
// together. A watch of the key-value service may say nothing for seconds while
// changes are made, and a change must be known within two seconds.
const refreshSlot = 600 * time.Millisecond

// RefreshEntries asks for a read of all entries of servers, nodes, weights and
// the configuration.
type RefreshEntries struct{}

func (RefreshEntries) command() {}

// tickRefresh reads all entries when it is this node's turn. The nodes take
// turns by the time of day, so that the reads do not grow with the fleet; what
// one of them finds it tells the others.
func (s *State) tickRefresh(now time.Time) {
	if !s.options.Forwarding {
		return
	}
	slot := now.UnixNano() / int64(refreshSlot)
	if slot == s.refreshedSlot {
		return
	}
	s.refreshedSlot = slot
	members := s.members.Members()
	rank := slices.Index(members, s.options.Node)
	if rank >= 0 && slot%int64(len(members)) != int64(rank) {
		return
	}
	s.command(RefreshEntries{})
	s.freeParts(now)
}
