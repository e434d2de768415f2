package placement

import (
	"time"

	"tanagerspread/core/fleet"
)

// appraisal compares the servers for one call. What it finds out for all of them
// is kept, because a fleet has many.
type appraisal struct {
	now   time.Time
	query Query
	view  View
	// worth is that of a response on time.
	worth float64
	home  *fleet.Server
	// salts holds the salts by the weights of the servers.
	salts map[servedWeights]string
	// supplies holds the sources of each part by the salts of the servers.
	supplies map[PartKey]*supply
	// saves holds the store for each shared part, or nil.
	saves []*fleet.CacheStore
}

func newAppraisal(now time.Time, query Query, view View) *appraisal {
	a := &appraisal{
		now: now, query: query, view: view, worth: view.Prices.worth(query),
		salts: map[servedWeights]string{}, supplies: map[PartKey]*supply{},
	}
	if len(query.Parts) == 0 {
		return a
	}
	for _, part := range sharedParts(query.Parts) {
		a.saves = append(a.saves, savePlace(view, part))
	}
	a.home = homeOf(query, view, a.isStored())
	return a
}

// appraise returns the way to serve the call at a server and its expected cost.
func (a *appraisal) appraise(server *fleet.Server) (Choice, float64) {
	now, query, view := a.now, a.query, a.view
	cost := 0.0
	if server.Domain != view.Domain {
		cost += float64(query.Bytes) * view.Prices.DomainByte
	}
	if len(query.Parts) == 0 {
		taken := server.Requests(now) / float64(max(server.Places, 1))
		return Choice{Server: server, Source: Recompute}, cost + taken*placeCost*a.worth
	}
	choice, price := a.cached(server)
	cost += price
	if server.Behind {
		cost += behindShare * a.worth
	}
	choice.FirstToken = server.QueueTime(now) + server.Speed.Time(float64(choice.Prefill))
	cost += a.worth * lateness(choice.FirstToken, query.Target)
	return choice, cost + view.Lanes.misplaced(server, query.PromptTokens, a.worth)
}

// cached decides where the shared parts of the prompt come from at a server,
// and what they are expected to cost there.
func (a *appraisal) cached(server *fleet.Server) (Choice, float64) {
	salt := a.salt(server)
	shared := sharedParts(a.query.Parts)
	count, held := a.view.Holdings.Leading(server.ID, salt, shared)
	choice := Choice{Server: server, Source: Warm, Prefill: max(a.query.PromptTokens-held, 0)}
	if count < len(shared) {
		choice.Source = Recompute
	}
	fetched, price := a.fetched(server, salt, count)
	choice.Prefill -= fetched
	left := float64(sharedTokens(a.query.Parts) - held - fetched)
	if server == a.home {
		// Other nodes send the prompt here too, so that the server often has
		// the parts although this node does not know it.
		choice.Prefill -= int(homeShare * left)
		return choice, price + (1-homeShare)*left*a.view.Prices.ReadToken
	}
	evicted := evictShare * (left + float64(fetched))
	return choice, price + (left+evicted)*a.view.Prices.ReadToken
}

// fetched returns the tokens and the price of the shared parts that a server
// fetches behind those that it holds.
func (a *appraisal) fetched(server *fleet.Server, salt string, held int) (tokens int, price float64) {
	for _, part := range sharedParts(a.query.Parts)[held:] {
		from, found := a.supply(PartKey{Salt: salt, ID: part.ID}).nearest(server)
		if !found {
			break
		}
		tokens += part.Tokens
		price += float64(part.Tokens) * float64(a.view.TokenBytes) * a.view.Prices.MovedByte * distance(server.Domain, from.domain)
	}
	return tokens, price
}

// plan names the source of each shared part, and the stores for those that are
// computed. The parts behind one without a source are computed, because a part
// is of use only when all parts before it are there.
func (a *appraisal) plan(c *Choice) {
	if c.Server == nil || len(a.query.Parts) == 0 {
		return
	}
	salt := a.salt(c.Server)
	shared := sharedParts(a.query.Parts)
	held, _ := a.view.Holdings.Leading(c.Server.ID, salt, shared)
	c.FetchFrom = make([]string, len(a.query.Parts))
	for i, part := range shared {
		from, found := a.source(c.Server, PartKey{Salt: salt, ID: part.ID}, i < held)
		if !found && i >= held {
			a.save(c, i)
			return
		}
		c.FetchFrom[i] = from.address
		c.limitFetch(from.until)
	}
}

// source returns where a server fetches a part. One that it is believed to hold
// has a store as a spare source, because it may have evicted the part; it
// fetches only what it lacks.
func (a *appraisal) source(server *fleet.Server, key PartKey, held bool) (source, bool) {
	if held {
		return a.supply(key).stored(server)
	}
	return a.supply(key).nearest(server)
}

// limitFetch keeps the earliest end of the fetches.
func (c *Choice) limitFetch(until int64) {
	if until != 0 && (c.FetchUntil == 0 || until < c.FetchUntil) {
		c.FetchUntil = until
	}
}

// save names the store for each shared part that the server computes.
func (a *appraisal) save(c *Choice, from int) {
	for i := from; i < len(a.saves); i++ {
		if a.saves[i] == nil {
			continue
		}
		if c.SaveTo == nil {
			c.SaveTo = make([]string, len(a.query.Parts))
		}
		c.SaveTo[i] = a.saves[i].Address
	}
}

// supply returns the sources of a part.
func (a *appraisal) supply(key PartKey) *supply {
	known := a.supplies[key]
	if known == nil {
		known = supplyOf(a.now, a.view, key)
		a.supplies[key] = known
	}
	return known
}

// servedWeights names the weights of a server.
type servedWeights struct {
	model   string
	version int
}

// salt returns the salt of the call at a server.
func (a *appraisal) salt(server *fleet.Server) string {
	key := servedWeights{model: server.Model, version: server.Weights}
	known, found := a.salts[key]
	if !found {
		known = Salt(server.Model, server.Weights, a.query.Isolation)
		a.salts[key] = known
	}
	return known
}

// isStored reports whether a store has the last shared part or has room for it.
func (a *appraisal) isStored() bool {
	last := len(a.saves) - 1
	if last < 0 {
		return false
	}
	if a.saves[last] != nil {
		return true
	}
	for _, server := range a.view.Servers {
		if !server.Behind {
			key := PartKey{Salt: a.salt(server), ID: a.query.Parts[last].ID}
			return len(a.supply(key).stores) > 0
		}
	}
	return false
}
