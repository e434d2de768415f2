package placement

import (
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
)

// preferredHitRatios are the shares of a prefix that its preferred servers are
// expected to have cached when this node has not sent the prefix recently. Other
// nodes send it to the same servers, and to the first one most often.
var preferredHitRatios = [preferredServers]float64{0.3, 0.2, 0.1}

// mebibyte is the unit of the link price, in bytes.
const mebibyte = 1 << 20

// Estimate picks the server with the lowest sum of the estimated time to first
// token and the price of the bytes moved over the link.
type Estimate struct{}

// trustedPrefixAge is how long after a request a server is assumed to have its
// prefix still cached. A search at the store costs a few milliseconds, an evicted
// block its prefill.
const trustedPrefixAge = 10 * time.Second

// candidate is one way to serve a request, with its score; the lowest score wins.
type candidate struct {
	Choice
	score time.Duration
}

// serverState is the input that is common to both ways to serve a request at a
// server.
type serverState struct {
	server *fleet.Server
	// queueTime is the time until the server starts a new prompt.
	queueTime time.Duration
	// cachedBlocks is the number of leading blocks that the server is expected to
	// have cached.
	cachedBlocks int
}

// Pick compares warm cache, import and recomputation on each server.
func (Estimate) Pick(now time.Time, query Query, view View) Choice {
	var preferred [preferredServers]*fleet.Server
	var store *fleet.Store
	if len(query.Prefix) > 0 {
		preferred = PreferredServers(query, view.Servers)
		store = ImportStore(RoutingKey(query.Prefix), view.Stores)
	}
	var best candidate
	fewest := 0.0
	for i := range view.Servers {
		server := view.serverAt(i)
		if isAvoided(query, server) {
			continue
		}
		state := serverState{server: server, queueTime: server.QueueTime(now), cachedBlocks: view.RecentPrefixes.ExpectedBlocks(now, query.Prefix, server.ID)}
		next := scoreLocal(query, state, preferred)
		if store != nil {
			next = cheaper(next, scoreImport(query, state, store, view.LinkPrice))
		}
		requests := server.Requests(now)
		if best.Server == nil || next.score < best.score || next.score == best.score && requests < fewest {
			best = next
			fewest = requests
		}
	}
	if needsSearch(now, query, view, best, store) {
		best.Plan = newImportPlan(now, query, view, best.Server, store)
	}
	return best.Choice
}

// needsSearch reports whether the store is searched for blocks of the prompt. A
// search costs a few milliseconds and shows what cannot be estimated: whether the
// store has the prefix, and its size in bytes. The control thread decides with that
// result whether the transfer pays off. The engine fetches only blocks that it
// lacks, so a search is omitted only for trustedPrefixAge after the prefix was sent
// to the server.
func needsSearch(now time.Time, query Query, view View, best candidate, store *fleet.Store) bool {
	if store == nil || best.Server == nil {
		return false
	}
	return best.Source != Warm || view.RecentPrefixes.Age(now, query.Prefix, best.Server.ID) > trustedPrefixAge
}

// cheaper returns the candidate with the lower score, and a when b has no server.
func cheaper(a, b candidate) candidate {
	if b.Server != nil && b.score < a.score {
		return b
	}
	return a
}

// scoreLocal scores a server that uses only its own cache.
func scoreLocal(query Query, state serverState, preferred [preferredServers]*fleet.Server) candidate {
	cached := float64(state.cachedBlocks * cachekey.BlockTokens)
	source := Recompute
	if cached > 0 {
		source = Warm
	}
	for rank := range preferred {
		if preferred[rank] == state.server {
			cached = max(cached, preferredHitRatios[rank]*float64(len(query.Prefix)*cachekey.BlockTokens))
		}
	}
	prefill := max(float64(query.PromptTokens)-cached, 0)
	total := state.queueTime + state.server.Speed.Time(prefill)
	return candidate{Choice{Server: state.server, Source: source, Prefill: int(prefill), FirstToken: total}, total}
}

// scoreImport scores a server that fetches the blocks it lacks from a store. The
// transfer runs while the request waits for the prefill ahead of it. The result has
// no server when no block is missing.
func scoreImport(query Query, state serverState, store *fleet.Store, linkPrice time.Duration) candidate {
	missing := len(query.Prefix) - state.cachedBlocks
	if missing == 0 {
		return candidate{}
	}
	expectedHits := float64(missing) * store.HitRatio
	bytes := expectedHits * store.BlockBytes
	prefill := max(float64(query.PromptTokens)-(float64(state.cachedBlocks)+expectedHits)*cachekey.BlockTokens, 0)
	first := max(state.queueTime, store.TransferTime(bytes)) + state.server.Speed.Time(prefill)
	price := time.Duration(bytes / mebibyte * float64(linkPrice))
	return candidate{Choice{Server: state.server, Source: Import, Prefill: int(prefill), FirstToken: first}, first + price}
}

// newImportPlan returns the plan to fetch the prefix from a store to a server.
func newImportPlan(now time.Time, query Query, view View, server *fleet.Server, store *fleet.Store) *ImportPlan {
	missing := len(query.Prefix) - view.RecentPrefixes.ExpectedBlocks(now, query.Prefix, server.ID)
	return &ImportPlan{
		Store:         store.ID,
		Address:       store.Address,
		Keys:          query.Prefix,
		ExpectedBytes: int64(float64(missing) * store.BlockBytes),
	}
}
