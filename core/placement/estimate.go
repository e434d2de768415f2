package placement

import (
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
)

// preferredShares are the shares of a prefix that its preferred servers are
// expected to hold when this node has not sent the prefix lately: other nodes
// send it to the same servers, and to the first one most often.
var preferredShares = [preferredServers]float64{0.3, 0.2, 0.1}

// mebibyte is the unit of the link price in bytes.
const mebibyte = 1 << 20

// Estimate picks the server with the lowest estimated time to first token
// plus the price of the link bytes.
type Estimate struct{}

// trustAge is how long a server is trusted to hold what it computed lately.
// A search at the store costs a few milliseconds, a lost block its prompt work.
const trustAge = 10 * time.Second

// option is one way to serve a request, with its score.
type option struct {
	Choice
	score time.Duration
}

// side is what both ways of a server have in common.
type side struct {
	server *fleet.Server
	// queue is the time until the server starts a new prompt.
	queue time.Duration
	// held is the number of leading blocks that the server is expected to hold.
	held int
}

// Pick compares warm cache, import and recomputation on each server.
func (Estimate) Pick(now time.Time, query Query, view View) Choice {
	var preferred [preferredServers]*fleet.Server
	var store *fleet.Store
	if len(query.Prefix) > 0 {
		preferred = Preferred(query, view.Servers)
		store = ImportStore(Anchor(query.Prefix), view.Stores)
	}
	var best option
	fewest := 0.0
	for i := range view.Servers {
		server := view.at(i)
		if avoided(query, server) {
			continue
		}
		side := side{server: server, queue: server.QueueTime(now), held: view.Recent.Blocks(now, query.Prefix, server.ID)}
		next := local(query, side, preferred)
		if store != nil {
			next = cheaper(next, imported(query, side, store, view.LinkPrice))
		}
		requests := server.Requests(now)
		if best.Server == nil || next.score < best.score || next.score == best.score && requests < fewest {
			best = next
			fewest = requests
		}
	}
	if needsSearch(now, query, view, best, store) {
		best.Plan = plan(now, query, view, best.Server, store)
	}
	return best.Choice
}

// needsSearch reports whether the store is asked for blocks of the prompt. A
// search costs a few milliseconds and finds out what the estimates cannot
// know: whether the store holds the prefix, and how many bytes it is. Only
// then does the control thread decide whether the transfer pays. The engine
// fetches only what it lacks, so a server that is expected to hold the prefix
// is left alone for a short time only.
func needsSearch(now time.Time, query Query, view View, best option, store *fleet.Store) bool {
	if store == nil || best.Server == nil {
		return false
	}
	return best.Source != Warm || view.Recent.Age(now, query.Prefix, best.Server.ID) > trustAge
}

func cheaper(a, b option) option {
	if b.Server != nil && b.score < a.score {
		return b
	}
	return a
}

// local scores a server with what its own cache is expected to hold.
func local(query Query, on side, preferred [preferredServers]*fleet.Server) option {
	cached := float64(on.held * cachekey.BlockTokens)
	source := Recompute
	if cached > 0 {
		source = Warm
	}
	for rank := range preferred {
		if preferred[rank] == on.server {
			cached = max(cached, preferredShares[rank]*float64(len(query.Prefix)*cachekey.BlockTokens))
		}
	}
	prefill := max(float64(query.PromptTokens)-cached, 0)
	total := on.queue + on.server.Speed.Time(prefill)
	return option{Choice{Server: on.server, Source: source, Prefill: int(prefill), FirstToken: total}, total}
}

// imported scores a server that fetches the blocks it lacks from a store. The
// transfer runs while the request waits for the prompt work before it.
func imported(query Query, on side, store *fleet.Store, linkPrice time.Duration) option {
	missing := len(query.Prefix) - on.held
	if missing == 0 {
		return option{}
	}
	found := float64(missing) * store.HitShare
	bytes := found * store.BlockBytes
	prefill := max(float64(query.PromptTokens)-(float64(on.held)+found)*cachekey.BlockTokens, 0)
	first := max(on.queue, store.TransferTime(bytes)) + on.server.Speed.Time(prefill)
	price := time.Duration(bytes / mebibyte * float64(linkPrice))
	return option{Choice{Server: on.server, Source: Import, Prefill: int(prefill), FirstToken: first}, first + price}
}

func plan(now time.Time, query Query, view View, server *fleet.Server, store *fleet.Store) *ImportPlan {
	missing := len(query.Prefix) - view.Recent.Blocks(now, query.Prefix, server.ID)
	return &ImportPlan{
		Store:         store.ID,
		Address:       store.Address,
		Keys:          query.Prefix,
		ExpectedBytes: int64(float64(missing) * store.BlockBytes),
	}
}
