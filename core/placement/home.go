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
	// awayRank is the share of the price of reading that is expected to be lost
	// at a server that is not the home of a prompt, because the next call of the
	// prompt goes to its home.
	awayRank = 0.5
	// placeCost is the cost of a plain call at a server whose places are all
	// taken, as a share of LateWorth.
	placeCost = 0.5
)

// Home sends the calls of one prompt to the same server of the own failure
// domain, and moves cached parts instead of computing them again.
type Home struct{}

// Pick chooses the server with the lowest expected cost: bytes between failure
// domains, cached parts that are moved or computed again, and lateness.
func (Home) Pick(now time.Time, query Query, view View) Choice {
	var best Choice
	lowest := 0.0
	home := homeOf(query, view)
	for i := range view.Servers {
		server := view.at(i)
		if avoided(query, server) {
			continue
		}
		next, cost := appraise(now, query, view, server, home)
		if best.Server == nil || cost < lowest {
			best = next
			lowest = cost
		}
	}
	return best
}

// appraise returns the way to serve a call at a server and its expected cost.
func appraise(now time.Time, query Query, view View, server, home *fleet.Server) (Choice, float64) {
	cost := 0.0
	if server.Domain != view.Domain {
		cost += float64(query.Bytes) * view.Prices.DomainByte
	}
	worth := view.Prices.LateWorth + view.Prices.LateToken*float64(query.PromptTokens)
	if len(query.Parts) == 0 {
		taken := server.Requests(now) / float64(max(server.Places, 1))
		return Choice{Server: server, Source: Recompute}, cost + taken*placeCost*worth
	}
	choice, price := cached(query, view, server)
	cost += price
	if server != home {
		cost += awayRank * float64(sharedTokens(query.Parts)) * view.Prices.ReadToken
	}
	choice.FirstToken = server.QueueTime(now) + server.Speed.Time(float64(choice.Prefill))
	return choice, cost + worth*lateness(choice.FirstToken, query.Target)
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

// cached decides where the shared parts of the prompt come from at a server.
func cached(query Query, view View, server *fleet.Server) (Choice, float64) {
	salt := Salt(server.Weights, query.Isolation)
	shared := sharedParts(query.Parts)
	count, held := view.Holdings.Leading(server.ID, salt, shared)
	choice := Choice{Server: server, Source: Warm, Prefill: max(query.PromptTokens-held, 0)}
	missing := shared[count:]
	if len(missing) == 0 {
		return choice, 0
	}
	choice.Source = Recompute
	tokens := sharedTokens(query.Parts) - held
	return choice, float64(tokens) * view.Prices.ReadToken
}

// sharedParts returns the parts that other calls may use. The last part
// belongs to the call alone.
func sharedParts(parts []request.Part) []request.Part {
	return parts[:len(parts)-1]
}

func sharedTokens(parts []request.Part) int {
	tokens := 0
	for _, part := range sharedParts(parts) {
		tokens += part.Tokens
	}
	return tokens
}

// homeOf returns the server of the own failure domain, or of all when it has
// none, with the highest rendezvous weight for the prompt.
func homeOf(query Query, view View) *fleet.Server {
	if len(query.Parts) < 2 {
		return nil
	}
	anchor := query.Parts[len(query.Parts)-2].ID
	var best *fleet.Server
	var highest uint64
	for _, server := range view.Servers {
		weight := partWeight(anchor, server.ID)
		if server.Domain != view.Domain {
			weight >>= 1
		} else {
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
