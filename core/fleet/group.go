package fleet

import "time"

// GroupKey names the servers that can serve the same requests.
type GroupKey struct {
	Role   Role
	Serves string
	// Weights is the weight version; 0 for plain services.
	Weights int
}

// Group is the list of servers of one key, by identifier.
type Group struct {
	Servers []*Server
	// SlotTime is the smoothed time for which an attempt occupies a slot.
	SlotTime time.Duration
	// Speed is the learned speed of prompt work.
	Speed *Speed
}

// slotTimeDivisor is the inverse weight of a new attempt in the smoothed hold time.
const slotTimeDivisor = 8

// ObserveSlotTime adds the duration of an attempt to the smoothed hold time.
func (g *Group) ObserveSlotTime(took time.Duration) {
	if g.SlotTime == 0 {
		g.SlotTime = took
		return
	}
	g.SlotTime += (took - g.SlotTime) / slotTimeDivisor
}

// EstimateWait predicts how long a request waits for a slot behind ahead requests,
// when this node uses the given number of slots on each server.
func (g *Group) EstimateWait(ahead, slots int) time.Duration {
	total := len(g.Servers) * slots
	if total == 0 {
		return 0
	}
	return time.Duration(int64(g.SlotTime) * int64(ahead+1) / int64(total))
}

// Index finds servers by what they serve.
type Index struct {
	// ByService finds servers by what they serve alone.
	ByService bool

	groups map[GroupKey]*Group
}

// Rebuild indexes the servers, which must be ordered by identifier. Groups
// that still have servers keep their hold time and speed.
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

// Group returns the servers of a key, or an empty group.
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

// KeyOf returns the key under which a server is indexed.
func KeyOf(server *Server) GroupKey {
	key := GroupKey{Role: server.Role, Serves: server.Serves}
	if server.Role == RoleEngine {
		key.Weights = server.Weights
	}
	return key
}
