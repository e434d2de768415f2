package fleet

import "time"

// GroupKey identifies the servers that can serve the same requests.
type GroupKey struct {
	Role   Role
	Serves string
	// Weights is the weight version; 0 for plain services.
	Weights int
}

// Group is the list of servers of one key, ordered by identifier.
type Group struct {
	Servers []*Server
	// SlotTime is the smoothed time for which an attempt occupies a slot.
	SlotTime time.Duration
	// Speed is the learned prefill speed.
	Speed *Speed
}

// slotTimeDivisor is the inverse weight of a new attempt in the smoothed slot
// time.
const slotTimeDivisor = 8

// ObserveSlotTime updates the smoothed slot time with the duration of an attempt.
func (g *Group) ObserveSlotTime(took time.Duration) {
	if g.SlotTime == 0 {
		g.SlotTime = took
		return
	}
	g.SlotTime += (took - g.SlotTime) / slotTimeDivisor
}

// EstimateWait returns the expected time that a request waits for a slot when
// the given number of requests is ahead of it and this node uses the given number
// of slots on each server. It is 0 for a group without servers.
func (g *Group) EstimateWait(ahead, slots int) time.Duration {
	total := len(g.Servers) * slots
	if total == 0 {
		return 0
	}
	return time.Duration(int64(g.SlotTime) * int64(ahead+1) / int64(total))
}

// Index groups the servers by what they serve.
type Index struct {
	// ByService makes the index ignore the role and the weights of servers.
	ByService bool

	groups map[GroupKey]*Group
}

// Rebuild indexes the servers, which must be ordered by identifier. Groups that
// still have servers keep their slot time and speed.
func (x *Index) Rebuild(servers []*Server) {
	old := x.groups
	x.groups = map[GroupKey]*Group{}
	for _, server := range servers {
		key := x.keyOf(server)
		group := x.groups[key]
		if group == nil {
			group = &Group{Speed: &Speed{}}
			if before := old[key]; before != nil {
				group.SlotTime = before.SlotTime
				group.Speed = before.Speed
			}
			x.groups[key] = group
		}
		server.Speed = group.Speed
		group.Servers = append(group.Servers, server)
	}
}

// Group returns the group of a key, or an empty group when no server has the key.
func (x *Index) Group(key GroupKey) *Group {
	if group := x.groups[key]; group != nil {
		return group
	}
	return &Group{}
}

func (x *Index) keyOf(server *Server) GroupKey {
	if x.ByService {
		return GroupKey{Serves: server.Serves}
	}
	return KeyOf(server)
}

// KeyOf returns the key under which an index without ByService has a server.
func KeyOf(server *Server) GroupKey {
	key := GroupKey{Role: server.Role, Serves: server.Serves}
	if server.Role == RoleEngine {
		key.Weights = server.Weights
	}
	return key
}
