package placement

import (
	"time"

	"tanagerspread/core/fleet"
)

// costModel estimates what one call costs at each server. Results that several
// servers share are cached, because a fleet has many servers.
type costModel struct {
	now   time.Time
	query Query
	view  View
	// responseValue is the value of a response that is on time.
	responseValue  float64
	affinityTarget *fleet.Server
	// saltByWeights has the salt of the call for each model and weight version.
	saltByWeights map[weightsKey]string
	// sourcesByPart has the sources of each part under each salt.
	sourcesByPart map[PartKey]*partSources
	// saveStores has the store to which each shared part is saved, or nil.
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
	for _, part := range SharedParts(query.Parts) {
		m.saveStores = append(m.saveStores, saveStore(view, part))
	}
	m.affinityTarget = affinityTarget(query, view, m.canBeStored())
	return m
}

// estimateCost returns how a server would serve the call and its expected cost, in
// the unit of the prices.
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
	choice.FirstToken = max(server.QueueTime(now), server.FetchWait(now, choice.FetchTime)) + server.Speed.Time(float64(choice.Prefill))
	cost += m.responseValue * lateness(choice.FirstToken, query.Target)
	return choice, cost + view.Reservation.mismatchCost(server, query.PromptTokens, m.responseValue)
}

// sharedPartsCost returns where the shared parts of the prompt come from at a
// server, and what they are expected to cost there.
func (m *costModel) sharedPartsCost(server *fleet.Server) (Choice, float64) {
	salt := m.salt(server)
	shared := SharedParts(m.query.Parts)
	cachedParts, cachedTokens := m.view.PartIndex.Leading(server.ID, salt, shared)
	choice := Choice{Server: server, Source: Warm, Prefill: max(m.query.PromptTokens-cachedTokens, 0)}
	if cachedParts < len(shared) {
		choice.Source = Recompute
	}
	fetchedTokens, fetchTime, price := m.fetchableParts(server, salt, cachedParts)
	choice.Prefill -= fetchedTokens
	choice.FetchTime = fetchTime
	remaining := float64(sharedTokens(m.query.Parts) - cachedTokens - fetchedTokens)
	if server == m.affinityTarget {
		// Other nodes send the prompt here too, so the server often has parts
		// that this node's part index lacks.
		choice.Prefill -= int(affinityHitRatio * remaining)
		return choice, price + (1-affinityHitRatio)*remaining*m.view.Prices.RecomputedToken
	}
	evicted := evictionCostShare * (remaining + float64(fetchedTokens))
	return choice, price + (remaining+evicted)*m.view.Prices.RecomputedToken
}

// fetchableParts returns the tokens of the shared parts that a server can fetch after its
// cached ones, the time for which they occupy its link, and their price.
func (m *costModel) fetchableParts(server *fleet.Server, salt string, cachedParts int) (tokens int, fetchTime time.Duration, price float64) {
	for _, part := range SharedParts(m.query.Parts)[cachedParts:] {
		from, ok := m.sourcesOf(PartKey{Salt: salt, ID: part.ID}).nearest(server)
		if !ok {
			break
		}
		tokens += part.Tokens
		bytes := float64(part.Tokens) * float64(m.view.TokenBytes) * transferFactor(server.Domain, from.domain)
		price += bytes * m.view.Prices.MovedByte
		fetchTime += transferTime(bytes, m.view.LinkRate)
	}
	return tokens, fetchTime, price
}

// planTransfers sets the source of each shared part of a choice, and the stores to
// which computed ones are saved. All parts after the first one without a source are
// computed, because a part can be used only together with all parts before it.
func (m *costModel) planTransfers(c *Choice) {
	if c.Server == nil || len(m.query.Parts) == 0 {
		return
	}
	salt := m.salt(c.Server)
	shared := SharedParts(m.query.Parts)
	cachedParts, _ := m.view.PartIndex.Leading(c.Server.ID, salt, shared)
	c.FetchFrom = make([]string, len(m.query.Parts))
	for i, part := range shared {
		from, ok := m.fetchSource(c.Server, PartKey{Salt: salt, ID: part.ID}, i < cachedParts)
		if !ok && i >= cachedParts {
			m.planSaves(c, i)
			return
		}
		c.FetchFrom[i] = from.address
		c.limitFetch(from.untilMS)
	}
}

// fetchSource returns where a server fetches a part. A part that is expected to be
// cached there gets only a store as its source, because the server may have evicted
// it; the server fetches only parts that it lacks.
func (m *costModel) fetchSource(server *fleet.Server, key PartKey, cached bool) (partSource, bool) {
	if cached {
		return m.sourcesOf(key).nearestStore(server)
	}
	return m.sourcesOf(key).nearest(server)
}

// limitFetch lowers FetchUntilMS to the given time; 0 means no limit.
func (c *Choice) limitFetch(untilMS int64) {
	if untilMS != 0 && (c.FetchUntilMS == 0 || untilMS < c.FetchUntilMS) {
		c.FetchUntilMS = untilMS
	}
}

// planSaves sets the store for each shared part that the server computes: those
// from the given position on.
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

// sourcesOf returns the sources of a part. They are looked up once for each call.
func (m *costModel) sourcesOf(key PartKey) *partSources {
	sources := m.sourcesByPart[key]
	if sources == nil {
		sources = newPartSources(m.now, m.view, key)
		m.sourcesByPart[key] = sources
	}
	return sources
}

// weightsKey identifies the weights of a server.
type weightsKey struct {
	model   string
	version int
}

// salt returns the salt of the call's parts at a server.
func (m *costModel) salt(server *fleet.Server) string {
	key := weightsKey{model: server.Model, version: server.Weights}
	salt, ok := m.saltByWeights[key]
	if !ok {
		salt = Salt(server.Model, server.Weights, m.query.Scope)
		m.saltByWeights[key] = salt
	}
	return salt
}

// canBeStored reports whether a cache store has the last shared part or room for
// it.
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
