package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// Prices are what the operators charge for the ways to serve a call, in parts
// of the worth of requests. They come from the settings of the node.
type Prices struct {
	// RecomputedToken is the price of a shared token that is computed again.
	RecomputedToken float64
	// MovedByte is the price of a byte of KV cache that is transferred.
	MovedByte float64
	// CrossDomainByte is the price of a byte between two failure domains.
	CrossDomainByte float64
	// ResponseValue and LateToken are what a late response loses: a fixed part, and
	// a part for each token of its prompt.
	ResponseValue float64
	TokenValue    float64
}

const (
	// crossDomainFactor is how much dearer a transfer of KV cache between failure
	// domains is.
	crossDomainFactor = 2.0
	// affinityHitRatio is the part of a prompt's shared tokens that its home is
	// expected to hold when this node has not sent the prompt there.
	affinityHitRatio = 0.7
	// evictionCostShare is the part of the price of reading that a second copy costs,
	// because it takes the place of other parts.
	evictionCostShare = 0.1
	// outdatedCostShare is the part of the worth that a call loses on weights that
	// are to be replaced.
	outdatedCostShare = 0.2
	// recentUse is how long after its last use an engine is trusted to still hold
	// a part.
	recentUse = 3 * time.Second
	// fullServerCostShare is the cost of a plain call at a server whose places are all
	// taken, as a share of LateWorth.
	fullServerCostShare = 0.5
)

// responseValue estimates what a response on time is responseValue.
func (p Prices) responseValue(query Query) float64 {
	return p.ResponseValue + p.TokenValue*float64(query.PromptTokens)
}

// Affinity sends the calls of one prompt to the same server, and moves cached parts
// from there instead of computing them again elsewhere.
type Affinity struct{}

// Pick chooses the server with the lowest expected cost: bytes between failure
// domains, cached parts that are moved or computed again, and lateness.
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

// lateness grows with the expected time to the first token and is 1 at the
// time in which it is due.
func lateness(first, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	share := float64(first) / float64(target)
	return share * share
}

// transferFactor is how much dearer a transfer is between two failure domains.
func transferFactor(a, b fleet.Domain) float64 {
	if a == b {
		return 1
	}
	return crossDomainFactor
}

// sharedParts returns the parts that other calls may use. The last part
// belongs to the call alone.
func sharedParts(parts []request.Part) []request.Part {
	return parts[:len(parts)-1]
}

// LastSharedPart returns the last part that other calls may use. Its ID is empty when
// there is none.
func LastSharedPart(parts []request.Part) request.Part {
	if len(parts) < 2 {
		return request.Part{}
	}
	return parts[len(parts)-2]
}

func sharedTokens(parts []request.Part) int {
	tokens := 0
	for _, part := range sharedParts(parts) {
		tokens += part.Tokens
	}
	return tokens
}

// affinityTarget returns the server with the highest rendezvous weight for the prompt,
// so that all nodes of a failure domain send it to the same server. Without a
// store for the prompt it is the same server for all nodes. Servers whose
// weights are to be replaced come last.
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

// partWeight is the rendezvous hash of a part and a server.
func partWeight(part string, id fleet.ServerID) uint64 {
	var buffer [hashInputCapacity]byte
	input := append(buffer[:0], part...)
	input = append(input, id...)
	return xxhash.Sum64(input)
}
