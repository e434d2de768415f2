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
	lanes := view.Lanes
	home := homeOf(query, view, lanes)
	for i := range view.Servers {
		server := view.at(i)
		if avoided(query, server) {
			continue
		}
		next, cost := appraise(now, query, view, server, home)
		if len(query.Parts) > 0 {
			cost += lanes.misplaced(server, query.PromptTokens, view.Prices.worth(query))
		}
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
	worth := view.Prices.worth(query)
	if len(query.Parts) == 0 {
		taken := server.Requests(now) / float64(max(server.Places, 1))
		return Choice{Server: server, Source: Recompute}, cost + taken*placeCost*worth
	}
	choice, price := cached(now, query, view, server, home)
	cost += price
	if server.Behind {
		cost += behindShare * worth
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

// cached decides where the shared parts of the prompt come from at a server,
// and what they are expected to cost there.
func cached(now time.Time, query Query, view View, server, home *fleet.Server) (Choice, float64) {
	salt := saltOf(server, query)
	shared := sharedParts(query.Parts)
	count, held := view.Holdings.Leading(server.ID, salt, shared)
	choice := Choice{Server: server, Source: Warm, Prefill: max(query.PromptTokens-held, 0)}
	if count < len(shared) {
		choice.Source = Recompute
	}
	fetched, price := choice.fetch(now, query, view, count)
	choice.Prefill -= fetched
	left := float64(sharedTokens(query.Parts) - held - fetched)
	if server == home {
		// Other nodes send the prompt here too, so that the server often has
		// the parts although this node does not know it.
		choice.Prefill -= int(homeShare * left)
		return choice, price + (1-homeShare)*left*view.Prices.ReadToken
	}
	evicted := evictShare * (left + float64(fetched))
	return choice, price + (left+evicted)*view.Prices.ReadToken
}

// fetch plans the transfer of the shared parts and returns the tokens and the
// price of those behind the held ones. The parts behind one without a source
// are computed and saved, because a part is of use only when all parts before
// it are there.
func (c *Choice) fetch(now time.Time, query Query, view View, held int) (tokens int, price float64) {
	salt := saltOf(c.Server, query)
	list := make([]string, len(query.Parts))
	next := 0
	for ; next < len(query.Parts)-1; next++ {
		part := query.Parts[next]
		key := PartKey{Salt: salt, ID: part.ID}
		if next < held {
			list[next] = c.spare(now, view, key)
			continue
		}
		from, found := sourceOf(now, view, key, c.Server)
		if !found {
			break
		}
		list[next] = from.address
		c.limitFetch(from.until)
		tokens += part.Tokens
		price += float64(part.Tokens) * float64(view.TokenBytes) * view.Prices.MovedByte * distance(c.Server.Domain, from.domain)
	}
	c.FetchFrom = list
	c.save(query, view, next)
	return tokens, price
}

// spare returns the source of a part that the server is believed to hold, or an
// empty text. The server may have evicted it; it fetches only what it lacks.
func (c *Choice) spare(now time.Time, view View, key PartKey) string {
	from, _ := storeOf(now, view, key, c.Server)
	c.limitFetch(from.until)
	return from.address
}

// limitFetch keeps the earliest end of the fetches.
func (c *Choice) limitFetch(until int64) {
	if until != 0 && (c.FetchUntil == 0 || until < c.FetchUntil) {
		c.FetchUntil = until
	}
}

// save names the store for each shared part that the server computes.
func (c *Choice) save(query Query, view View, from int) {
	for i := from; i < len(query.Parts)-1; i++ {
		store := savePlace(view, query.Parts[i])
		if store == nil {
			continue
		}
		if c.SaveTo == nil {
			c.SaveTo = make([]string, len(query.Parts))
		}
		c.SaveTo[i] = store.Address
	}
}

// sourceOf returns where a server can fetch a part: from an engine that used it
// just now, whose link is fast, or from a store, or from any engine that may
// still have it.
func sourceOf(now time.Time, view View, key PartKey, server *fleet.Server) (source, bool) {
	if from, found := engineOf(view, key, server, now.Add(-freshPart)); found {
		return from, true
	}
	if from, found := storeOf(now, view, key, server); found {
		return from, true
	}
	return engineOf(view, key, server, time.Time{})
}

// engineOf returns the nearest engine that used a part at the given time or
// later.
func engineOf(view View, key PartKey, server *fleet.Server, since time.Time) (source, bool) {
	var best *fleet.Server
	for _, other := range view.Engines {
		if other == server || !other.ReceivesWork() || !view.Holdings.HeldSince(other.ID, key, since) {
			continue
		}
		if best == nil || best.Domain != server.Domain && other.Domain == server.Domain {
			best = other
		}
	}
	if best == nil {
		return source{}, false
	}
	return source{address: best.Address, domain: best.Domain}, true
}

// distance is how much dearer a transfer is between two failure domains.
func distance(a, b fleet.Domain) float64 {
	if a == b {
		return 1
	}
	return crossFactor
}

// saltOf returns the salt of a call at a server.
func saltOf(server *fleet.Server, query Query) string {
	return Salt(server.Model, server.Weights, query.Isolation)
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
func homeOf(query Query, view View, lanes Lanes) *fleet.Server {
	anchor := LastShared(query.Parts)
	if anchor.ID == "" {
		return nil
	}
	stored := isStored(query, view, anchor)
	var best *fleet.Server
	var highest uint64
	for _, server := range view.Servers {
		weight := partWeight(anchor.ID, server.ID) >> 3
		if stored && server.Domain == view.Domain {
			weight |= 1 << 61
		}
		if lanes.fits(server, query.PromptTokens) {
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

// isStored reports whether a store has a part or has room for it.
func isStored(query Query, view View, part request.Part) bool {
	if savePlace(view, part) != nil {
		return true
	}
	for _, server := range view.Servers {
		if server.Behind {
			continue
		}
		key := PartKey{Salt: saltOf(server, query), ID: part.ID}
		for _, store := range view.Caches {
			if store.Fetchable() && view.Holdings.Holds(store.ID, key) {
				return true
			}
		}
		return false
	}
	return false
}

// partWeight is the rendezvous hash of a part and a server.
func partWeight(part string, id fleet.ServerID) uint64 {
	var space [hashInputBytes]byte
	input := append(space[:0], part...)
	input = append(input, id...)
	return xxhash.Sum64(input)
}
