// Package placement chooses the backend server of an attempt: a policy filters and
// scores the servers of a View. Policies change no state.
package placement

import (
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// Query describes the request to be placed.
type Query struct {
	PromptTokens int
	Prefix       []cachekey.Key
	// Avoid lists servers that already failed an attempt of the request.
	Avoid []fleet.ServerID
	// Parts lists the prompt parts of a forwarded call, Bytes is the size of its
	// body, Target the time to the first part of the response within which the
	// response is on time.
	Parts  []request.Part
	Bytes  int
	Target time.Duration
	// Scope separates the cached parts of the call from those that it must not use.
	Scope string
}

// View is the input of a policy, which must not change it.
type View struct {
	// Servers lists the servers that may receive the request, ordered by identifier.
	Servers []*fleet.Server
	// Stores lists all block stores, ordered by identifier.
	Stores         []*fleet.Store
	RecentPrefixes *RecentPrefixes
	// Turn counts the placements of this node, from a random start. Policies start
	// with the server at this position.
	Turn uint64
	// LinkPrice is the price of a transferred mebibyte, as an equivalent delay.
	LinkPrice time.Duration
	// Domain is the failure domain of the node.
	Domain    fleet.Domain
	PartIndex *PartIndex
	Prices    Prices
	// Reservation has the engines that are reserved for short prompts. Engines lists
	// the engines of the service, including those that may not receive the request
	// now.
	Reservation Reservation
	Engines     []*fleet.Server
	// CacheStores lists the cache stores for forwarded calls, ordered by name.
	CacheStores []*fleet.CacheStore
	// LinkRate is the rate at which an engine transfers KV cache in bytes a second, or 0
	// when it is unknown.
	LinkRate float64
	// TokenBytes is the size of a cached token in bytes.
	TokenBytes int64
}

// serverAt returns the server i positions after View.Turn, modulo the number of
// servers.
func (v View) serverAt(i int) *fleet.Server {
	count := uint64(len(v.Servers))
	return v.Servers[(v.Turn%count+uint64(i))%count]
}

// Source is where the cache blocks of a prompt are expected to come from.
type Source int

// The sources of cache blocks.
const (
	// Recompute means that the complete prompt is computed.
	Recompute Source = iota + 1
	// Warm means that the server has cached the beginning of the prompt.
	Warm
	// Import means that blocks are fetched from a store.
	Import
)

// ImportPlan describes the blocks that a server fetches from a block store.
type ImportPlan struct {
	Store   fleet.ServerID
	Address string
	// Keys are the block keys of the complete prompt; the server fetches the blocks
	// that it lacks.
	Keys []cachekey.Key
	// ExpectedBytes is the estimated total size of the blocks to fetch.
	ExpectedBytes int64
}

// Choice is the result of a policy. Its Server is nil when no server is suitable.
type Choice struct {
	Server *fleet.Server
	Source Source
	// Plan is set when the block store is searched for blocks of the prompt.
	Plan *ImportPlan
	// FetchFrom and SaveTo are the addresses from which each prompt part of a
	// forwarded call is fetched and to which it is saved; empty means not at all.
	FetchFrom []string
	SaveTo    []string
	// FetchUntilMS is the time by which fetches must have finished, in milliseconds
	// on the servers' clock, or 0 for no limit.
	FetchUntilMS int64
	// Prefill is the expected number of prompt tokens to compute.
	Prefill int
	// FetchTime is the estimated time for which the fetches occupy the server's link.
	FetchTime time.Duration
	// FirstToken is the estimated time to the first token.
	FirstToken time.Duration
}

// Policy picks the server of an attempt.
type Policy interface {
	Pick(now time.Time, query Query, view View) Choice
}

// The names of the policies in the rules.
const (
	NameEstimate   = "estimate"
	NameRoundRobin = "round-robin"
	NameLeastLoad  = "least-load"
	NameSticky     = "sticky"
	NameAffinity   = "home"
)

// ByName returns the policy with a name from the rules; the empty name selects
// Estimate. It reports false when no policy has the name.
func ByName(name string) (Policy, bool) {
	switch name {
	case "", NameEstimate:
		return Estimate{}, true
	case NameRoundRobin:
		return RoundRobin{}, true
	case NameLeastLoad:
		return LeastLoad{}, true
	case NameSticky:
		return Sticky{}, true
	case NameAffinity:
		return Affinity{}, true
	}
	return nil, false
}

// isAvoided reports whether the server already failed an attempt of the request.
func isAvoided(query Query, server *fleet.Server) bool {
	for _, id := range query.Avoid {
		if id == server.ID {
			return true
		}
	}
	return false
}

// recomputeAt returns the choice of a policy that uses no caches, or one without a
// server when server is nil.
func recomputeAt(server *fleet.Server, query Query) Choice {
	if server == nil {
		return Choice{}
	}
	return Choice{Server: server, Source: Recompute, Prefill: query.PromptTokens}
}
