package control

import (
	"slices"
	"time"
)

// refreshSlot is the time between two reads of all entries, by any nodes. A watch of
// the key-value service may deliver nothing for seconds while changes are made, and
// the nodes must learn of a change within two seconds.
const refreshSlot = 600 * time.Millisecond

// RefreshEntries commands a read of all entries of servers, nodes, weights and
// the configuration.
type RefreshEntries struct{}

func (RefreshEntries) command() {}

// tickRefresh reads all entries and frees outdated parts when it is this node's
// turn. The time slots are assigned to the nodes by the clock, so that the number
// of reads does not grow with the number of nodes. Peers learn of the changes
// from the node that read them.
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
