package placement

import (
	"time"

	"tanagerspread/core/fleet"
)

// costModel compares the servers for one call. What it finds out for all of them
// is kept, because a fleet has many.
type costModel struct {
	now   time.Time
	query Query
	view  View
	// responseValue is that of a response on time.
	responseValue  float64
	affinityTarget *fleet.Server
	// saltByWeights holds the saltByWeights by the weights of the servers.
	saltByWeights map[weightsKey]string
	// sourcesByPart holds the sources of each part by the salts of the servers.
	sourcesByPart map[PartKey]*partSources
	// saveStores holds the store for each shared part, or nil.
	saveStores []*fleet.CacheStore
}

func newCostModel(now time.Time, query Query, view View) *costModel {
	m := &costModel{
		now: now, query: query, view: view, responseValue: view.Prices.responseValue(query),
		saltByWeights: map[weightsKey]string{}, sourcesByPart: map[PartKey]*partSources{},
	}
	if len(query.Parts) == 0 {
		return m
	}
	for _, part := range sharedParts(query.Parts) {
		m.saveStores = append(m.saveStores, saveStore(view, part))
	}
	m.affinityTarget = affinityTarget(query, view, m.canBeStored())
	return m
}

// estimateCost returns the way to serve the call at a server and its expected cost.
func (m *costModel) estimateCost(server *fleet.Server) (Choice, float64) {
	now, query, view := m.now, m.query, m.view
	cost := 0.0
	if server.Domain != view.Domain {
		cost += float64(query.Bytes) * view.Prices.CrossDomainByte
	}
	if len(query.Parts) == 0 {
		utilisation := server.Requests(now) / float64(max(server.MaxConcurrency, 1))
		return Choice{Server: server, Source: Recompute}, cost + utilisation*fullServerCostShare*m.responseValue
	}
	choice, price := m.sharedPartsCost(server)
	cost += price
	if server.WeightsOutdated {
		cost += outdatedCostShare * m.responseValue
	}
	choice.FirstToken = server.QueueTime(now) + server.Speed.Time(float64(choice.Prefill))
	cost += m.responseValue * lateness(choice.FirstToken, query.Target)
	return choice, cost + view.Reservation.mismatchCost(server, query.PromptTokens, m.responseValue)
}

// sharedPartsCost decides where the shared parts of the prompt come from at a server,
// and what they are expected to cost there.
func (m *costModel) sharedPartsCost(server *fleet.Server) (Choice, float64) {
	salt := m.salt(server)
	shared := sharedParts(m.query.Parts)
	cachedParts, cachedTokens := m.view.PartIndex.Leading(server.ID, salt, shared)
	choice := Choice{Server: server, Source: Warm, Prefill: max(m.query.PromptTokens-cachedTokens, 0)}
	if cachedParts < len(shared) {
		choice.Source = Recompute
	}
	fetchedTokens, price := m.fetchableParts(server, salt, cachedParts)
	choice.Prefill -= fetchedTokens
	left := float64(sharedTokens(m.query.Parts) - cachedTokens - fetchedTokens)
	if server == m.affinityTarget {
		// Other nodes send the prompt here too, so that the server often has
		// the parts although this node does not know it.
		choice.Prefill -= int(affinityHitRatio * left)
		return choice, price + (1-affinityHitRatio)*left*m.view.Prices.RecomputedToken
	}
	evicted := evictionCostShare * (left + float64(fetchedTokens))
	return choice, price + (left+evicted)*m.view.Prices.RecomputedToken
}

// fetchableParts returns the tokens and the price of the shared parts that a server
// fetches behind those that it holds.
func (m *costModel) fetchableParts(server *fleet.Server, salt string, cachedParts int) (tokens int, price float64) {
	for _, part := range sharedParts(m.query.Parts)[cachedParts:] {
		from, found := m.sourcesOf(PartKey{Salt: salt, ID: part.ID}).nearest(server)
		if !found {
			break
		}
		tokens += part.Tokens
		price += float64(part.Tokens) * float64(m.view.TokenBytes) * m.view.Prices.MovedByte * transferFactor(server.Domain, from.domain)
	}
	return tokens, price
}

// planTransfers names the source of each shared part, and the stores for those that are
// computed. The parts behind one without a source are computed, because a part
// is of use only when all parts before it are there.
func (m *costModel) planTransfers(c *Choice) {
	if c.Server == nil || len(m.query.Parts) == 0 {
		return
	}
	salt := m.salt(c.Server)
	shared := sharedParts(m.query.Parts)
	cachedParts, _ := m.view.PartIndex.Leading(c.Server.ID, salt, shared)
	c.FetchFrom = make([]string, len(m.query.Parts))
	for i, part := range shared {
		from, found := m.fetchSource(c.Server, PartKey{Salt: salt, ID: part.ID}, i < cachedParts)
		if !found && i >= cachedParts {
			m.planSaves(c, i)
			return
		}
		c.FetchFrom[i] = from.address
		c.limitFetch(from.untilMS)
	}
}

// fetchSource returns where a server fetches a part. One that it is believed to hold
// has a store as a spare fetchSource, because it may have evicted the part; it
// fetches only what it lacks.
func (m *costModel) fetchSource(server *fleet.Server, key PartKey, cached bool) (partSource, bool) {
	if cached {
		return m.sourcesOf(key).nearestStore(server)
	}
	return m.sourcesOf(key).nearest(server)
}

// limitFetch keeps the earliest end of the fetches.
func (c *Choice) limitFetch(until int64) {
	if until != 0 && (c.FetchUntilMS == 0 || until < c.FetchUntilMS) {
		c.FetchUntilMS = until
	}
}

// planSaves names the store for each shared part that the server computes.
func (m *costModel) planSaves(c *Choice, from int) {
	for i := from; i < len(m.saveStores); i++ {
		if m.saveStores[i] == nil {
			continue
		}
		if c.SaveTo == nil {
			c.SaveTo = make([]string, len(m.query.Parts))
		}
		c.SaveTo[i] = m.saveStores[i].Address
	}
}

// sourcesOf returns the sources of a part.
func (m *costModel) sourcesOf(key PartKey) *partSources {
	known := m.sourcesByPart[key]
	if known == nil {
		known = newPartSources(m.now, m.view, key)
		m.sourcesByPart[key] = known
	}
	return known
}

// weightsKey names the weights of a server.
type weightsKey struct {
	model   string
	version int
}

// salt returns the salt of the call at a server.
func (m *costModel) salt(server *fleet.Server) string {
	key := weightsKey{model: server.Model, version: server.Weights}
	known, found := m.saltByWeights[key]
	if !found {
		known = Salt(server.Model, server.Weights, m.query.Isolation)
		m.saltByWeights[key] = known
	}
	return known
}

// canBeStored reports whether a store has the last shared part or has room for it.
func (m *costModel) canBeStored() bool {
	last := len(m.saveStores) - 1
	if last < 0 {
		return false
	}
	if m.saveStores[last] != nil {
		return true
	}
	for _, server := range m.view.Servers {
		if !server.WeightsOutdated {
			key := PartKey{Salt: m.salt(server), ID: m.query.Parts[last].ID}
			return len(m.sourcesOf(key).stores) > 0
		}
	}
	return false
}
