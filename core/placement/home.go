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
	// ReadToken is the price of a shared token that is computed again.
	ReadToken float64
	// MovedByte is the price of a byte of KV cache that is transferred.
	MovedByte float64
	// DomainByte is the price of a byte between two failure domains.
	DomainByte float64
	// LateWorth and LateToken are what a late response loses: a fixed part, and
	// a part for each token of its prompt.
	LateWorth float64
	LateToken float64
}

const (
	// crossFactor is how much dearer a transfer of KV cache between failure
	// domains is.
	crossFactor = 2.0
	// homeShare is the part of a prompt's shared tokens that its home is
	// expected to hold when this node has not sent the prompt there.
	homeShare = 0.7
	// evictShare is the part of the price of reading that a second copy costs,
	// because it takes the place of other parts.
	evictShare = 0.1
	// behindShare is the part of the worth that a call loses on weights that
	// are to be replaced.
	behindShare = 0.2
	// freshPart is how long after its last use an engine is trusted to still hold
	// a part.
	freshPart = 3 * time.Second
	// placeCost is the cost of a plain call at a server whose places are all
	// taken, as a share of LateWorth.
	placeCost = 0.5
)

// worth estimates what a response on time is worth.
func (p Prices) worth(query Query) float64 {
	return p.LateWorth + p.LateToken*float64(query.PromptTokens)
}

// Home sends the calls of one prompt to the same server, and moves cached parts
// from there instead of computing them again elsewhere.
type Home struct{}

// Pick chooses the server with the lowest expected cost: bytes between failure
// domains, cached parts that are moved or computed again, and lateness.
func (Home) Pick(now time.Time, query Query, view View) Choice {
	var best Choice
	lowest := 0.0
	a := newAppraisal(now, query, view)
	for i := range view.Servers {
		server := view.at(i)
		if avoided(query, server) {
			continue
		}
		next, cost := a.appraise(server)
		if best.Server == nil || cost < lowest {
			best = next
			lowest = cost
		}
	}
	a.plan(&best)
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

// distance is how much dearer a transfer is between two failure domains.
func distance(a, b fleet.Domain) float64 {
	if a == b {
		return 1
	}
	return crossFactor
}

// sharedParts returns the parts that other calls may use. The last part
// belongs to the call alone.
func sharedParts(parts []request.Part) []request.Part {
	return parts[:len(parts)-1]
}

// LastShared returns the last part that other calls may use. Its ID is empty when
// there is none.
func LastShared(parts []request.Part) request.Part {
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

// homeOf returns the server with the highest rendezvous weight for the prompt,
// so that all nodes of a failure domain send it to the same server. Without a
// store for the prompt it is the same server for all nodes. Servers whose
// weights are to be replaced come last.
func homeOf(query Query, view View, stored bool) *fleet.Server {
	anchor := LastShared(query.Parts)
	if anchor.ID == "" {
		return nil
	}
	var best *fleet.Server
	var highest uint64
	for _, server := range view.Servers {
		weight := partWeight(anchor.ID, server.ID) >> 3
		if stored && server.Domain == view.Domain {
			weight |= 1 << 61
		}
		if view.Lanes.fits(server, query.PromptTokens) {
			weight |= 1 << 62
		}
		if !server.Behind {
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
	var space [hashInputBytes]byte
	input := append(space[:0], part...)
	input = append(input, id...)
	return xxhash.Sum64(input)
}
