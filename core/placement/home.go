package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// Prices are what the ways to serve a call cost, in the unit of the value of
// responses. Operators set them in the settings of the node.
type Prices struct {
	// RecomputedToken is the price of a token of a shared part that is computed
	// again.
	RecomputedToken float64
	// MovedByte is the price of a byte of KV cache that is transferred.
	MovedByte float64
	// CrossDomainByte is the price of a byte sent between two failure domains.
	CrossDomainByte float64
	// ResponseValue and TokenValue make up the value of a response that is on time,
	// which a late one loses: a fixed value, and a value for each token of its
	// prompt.
	ResponseValue float64
	TokenValue    float64
}

const (
	// crossDomainFactor multiplies the price of a transfer of KV cache between
	// failure domains.
	crossDomainFactor = 2.0
	// affinityHitRatio is the share of the remaining shared tokens, neither in the
	// part index nor fetchable, that the affinity target is expected to have cached.
	affinityHitRatio = 0.7
	// evictionCostShare is the share of the price of computing a part that a further
	// copy costs, because it evicts other parts.
	evictionCostShare = 0.1
	// outdatedCostShare is the share of its value that a call is expected to lose at
	// a server with outdated weights.
	outdatedCostShare = 0.2
	// recentUse is how long after the last use of a part an engine is assumed to
	// still have it.
	recentUse = 3 * time.Second
	// fullServerCostShare is the cost of a call without prompt parts at a server that
	// has reached its concurrency limit, as a share of the value of the response.
	fullServerCostShare = 0.5
)

// responseValue estimates the value of a response that is on time.
func (p Prices) responseValue(query Query) float64 {
	return p.ResponseValue + p.TokenValue*float64(query.PromptTokens)
}

// Affinity sends the calls of one prompt to the same server first, its affinity
// target. Other servers fetch cached parts where that costs less than computing
// them again.
type Affinity struct{}

// Pick returns the server with the lowest expected cost, which covers bytes between
// failure domains, parts that are transferred or computed again, outdated weights,
// lateness, and the use of a server that is reserved for other prompt lengths.
func (Affinity) Pick(now time.Time, query Query, view View) Choice {
	var best Choice
	lowest := 0.0
	m := newCostModel(now, query, view)
	for i := range view.Servers {
		server := view.serverAt(i)
		if isAvoided(query, server) {
			continue
		}
		next, cost := m.estimateCost(server)
		if best.Server == nil || cost < lowest {
			best = next
			lowest = cost
		}
	}
	m.planTransfers(&best)
	return best
}

// lateness returns the expected loss of a response as a multiple of its value. It
// grows with the square of the expected time to the first token and is 1 when that
// equals the target. It is 0 without a target.
func lateness(first, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	share := float64(first) / float64(target)
	return share * share
}

// transferFactor returns the factor on the price of a transfer between two failure
// domains.
func transferFactor(a, b fleet.Domain) float64 {
	if a == b {
		return 1
	}
	return crossDomainFactor
}

// SharedParts returns the parts that other calls may share: all but the last one,
// which belongs to the call alone.
func SharedParts(parts []request.Part) []request.Part {
	return parts[:len(parts)-1]
}

// LastSharedPart returns the last part that other calls may share. Its ID is empty
// when there is none.
func LastSharedPart(parts []request.Part) request.Part {
	if len(parts) < 2 {
		return request.Part{}
	}
	return parts[len(parts)-2]
}

func sharedTokens(parts []request.Part) int {
	tokens := 0
	for _, part := range SharedParts(parts) {
		tokens += part.Tokens
	}
	return tokens
}

// affinityTarget returns the server with the highest rendezvous weight for the
// prompt, or nil when it has no shared part. When a store has the prompt or room for
// it, the nodes of each failure domain choose one server, preferably of their domain;
// otherwise all nodes choose the same server. Servers with outdated weights rank last,
// servers that are reserved for other prompt lengths before them.
func affinityTarget(query Query, view View, stored bool) *fleet.Server {
	lastShared := LastSharedPart(query.Parts)
	if lastShared.ID == "" {
		return nil
	}
	var best *fleet.Server
	var highest uint64
	for _, server := range view.Servers {
		weight := partWeight(lastShared.ID, server.ID) >> 3
		if stored && server.Domain == view.Domain {
			weight |= 1 << 61
		}
		if view.Reservation.matches(server, query.PromptTokens) {
			weight |= 1 << 62
		}
		if !server.WeightsOutdated {
			weight |= 1 << 63
		}
		if best == nil || weight > highest {
			best = server
			highest = weight
		}
	}
	return best
}

// partWeight returns the rendezvous hash of a part and a server or store.
func partWeight(part string, id fleet.ServerID) uint64 {
	var buffer [hashInputCapacity]byte
	input := append(buffer[:0], part...)
	input = append(input, id...)
	return xxhash.Sum64(input)
}

// PartHash returns a hash of a prompt part in a scope.
func PartHash(part, scope string) uint32 {
	return uint32(partWeight(part, fleet.ServerID(scope)))
}
