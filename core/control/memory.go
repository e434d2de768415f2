package control

import (
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
	"tanagerspread/core/shares"
)

const (
	// maxUrgentMemory and maxMemory are the shares of an engine's memory up to which
	// urgent calls and other ones are sent to it. A call that an engine cannot admit
	// waits on the node instead: the engine would drop the parts that it has
	// fetched for waiting calls, and compute them again.
	maxUrgentMemory = 1.0
	maxMemory       = 0.95
	// minDomainEngines is the number of engines of a failure domain that can carry the
	// calls of its nodes by themselves.
	minDomainEngines = 4
)

// memoryUse returns the memory that a forwarded call occupies on an engine, or none
// for other requests.
func (s *State) memoryUse(req *activeRequest) fleet.MemoryUse {
	if req.Call == nil || len(req.Call.Parts) == 0 {
		return fleet.MemoryUse{}
	}
	use := fleet.MemoryUse{Private: req.PromptTokens + req.MaxTokens}
	scope := s.cacheScope(req)
	for _, part := range placement.SharedParts(req.Call.Parts) {
		use.Shared = append(use.Shared, fleet.SharedPart{Hash: placement.PartHash(part.ID, scope), Tokens: part.Tokens})
		use.Private -= part.Tokens
	}
	use.Private = max(use.Private, 0)
	return use
}

// hasMemory reports whether an engine has memory for a call beside the requests in
// progress of this node and of its peers. Calls that are not urgent take turns with
// those that wait at peers, which see the same free memory.
func (s *State) hasMemory(now time.Time, req *activeRequest, server *fleet.Server) bool {
	capacity := s.rules.Pools[server.Serves].CacheTokens
	if capacity == 0 || req.memory.IsZero() {
		return true
	}
	share := maxMemory
	if req.classConfig.Priority == 0 {
		share = maxUrgentMemory
	}
	limit := int(share * float64(capacity))
	// A call that is larger than the limit gets an engine of its own.
	needed := min(server.MemoryIncrease(req.memory), limit)
	free := limit - server.CommittedMemory()
	if req.classConfig.Priority == 0 {
		return needed <= free
	}
	s.divideMemory(now)
	if !s.advertisedWaiting && (s.division.Share < 1 || free < 2*needed) {
		// The peers do not count this node among those that take turns yet. Without
		// turns, two of them may use the last free memory at the same time.
		return false
	}
	return placement.TakesTurn(now, server.ID, placement.FreeMemory{
		Free: free, AtTurnStart: server.FreeAtTurnStart(free, now), OwnInTurn: server.ReservedInTurn(now), Needed: needed,
		Division: s.division,
	})
}

// divideMemory determines once in each turn which part of free memory the calls that wait
// at this node may take beside those that wait at peers. All nodes divide by what waited
// at the start of the last turn, which each has heard of. A node whose calls have begun to
// wait since then has no part yet.
func (s *State) divideMemory(now time.Time) {
	turn := fleet.TurnNumber(now)
	if s.dividedTurn == turn {
		return
	}
	s.dividedTurn = turn
	s.division = shares.Whole()
	clear(s.demandElsewhere)
	demands := map[string]shares.Demand{}
	for _, peer := range s.members.Peers() {
		demand := peer.WaitingIn(turn - 1)
		if demand.Total() == 0 {
			continue
		}
		demands[peer.ID] = demand
		for organisation, tokens := range demand {
			s.demandElsewhere[organisation] += tokens
		}
	}
	if len(demands) > 0 {
		demands[s.options.Node] = s.waitingIn(turn - 1)
		s.division = shares.Divide(s.options.Node, demands)
	}
}

// mayLeaveDomain reports whether a call may go to an engine whose work this node does
// not know in full. It may when fewer than minDomainEngines engines of the node's own
// failure domain receive work; otherwise nodes of all domains would fill engines that
// only look idle.
func (s *State) mayLeaveDomain(req *activeRequest) bool {
	known := 0
	for _, server := range s.group(req).Servers {
		if s.knowsWork(req, server) && server.ReceivesWork() && !server.Pace.Cold() && !s.isEvacuated(server) {
			known++
		}
	}
	return known < minDomainEngines
}

// hasFewEngines reports whether the failure domains have fewer than minDomainEngines
// engines on average. Nodes with the same list agree on it.
func hasFewEngines(servers []*fleet.Server) bool {
	domains := map[fleet.Domain]bool{}
	engines := 0
	for _, server := range servers {
		if server.Role == fleet.RoleEngine {
			domains[server.Domain] = true
			engines++
		}
	}
	return engines < minDomainEngines*len(domains)
}
