// Package placement chooses the backend server of an attempt by filtering,
// scoring and picking over a typed view. Its functions are pure.
package placement

import (
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// Query is the request to be placed.
type Query struct {
	PromptTokens int
	Prefix       []cachekey.Key
	// Avoid lists servers that already failed an attempt of the request.
	Avoid []fleet.ServerID
	// Parts lists the parts of the prompt of a forwarded call, Bytes is the
	// size of its body, Target the time in which its first part is due.
	Parts  []request.Part
	Bytes  int
	Target time.Duration
	// Isolation is the organisation whose cached parts are kept apart, or
	// empty.
	Isolation string
}

// View is what a policy may look at. A policy changes none of it.
type View struct {
	// Servers lists the servers that may receive the request, by identifier.
	Servers []*fleet.Server
	// Stores lists all stores, by identifier.
	Stores         []*fleet.Store
	RecentPrefixes *RecentPrefixes
	// Turn counts the placements of this node from a random start.
	Turn uint64
	// LinkPrice is the time that a transferred mebibyte is worth.
	LinkPrice time.Duration
	// Domain is the failure domain of the node.
	Domain    fleet.Domain
	PartIndex *PartIndex
	Prices    Prices
	// Reservation divides the engines, and Engines lists those of the service, also
	// the ones that may not receive the request now.
	Reservation Reservation
	Engines     []*fleet.Server
	// CacheStores lists the stores of KV cache for forwarded calls, by name.
	CacheStores []*fleet.CacheStore
	// TokenBytes is the size of a cached token.
	TokenBytes int64
}

// serverAt returns the server serverAt a position behind the turn.
func (v View) serverAt(i int) *fleet.Server {
	count := uint64(len(v.Servers))
	return v.Servers[(v.Turn%count+uint64(i))%count]
}

// Source tells where the cache blocks of a prompt are expected to come from.
type Source int

// The sources of cache blocks.
const (
	// Recompute means that the whole prompt is computed.
	Recompute Source = iota + 1
	// Warm means that the server holds a part of the prompt in its cache.
	Warm
	// Import means that blocks are fetched from a store.
	Import
)

// ImportPlan tells a server which blocks to fetch from a store.
type ImportPlan struct {
	Store   fleet.ServerID
	Address string
	// Keys are the block keys of the whole prompt; the server fetches those
	// that it lacks.
	Keys []cachekey.Key
	// ExpectedBytes is the estimated size of the blocks to fetch.
	ExpectedBytes int64
}

// Choice is the result of a policy. Its Server is nil when none is fit.
type Choice struct {
	Server *fleet.Server
	Source Source
	// Plan is set when the store is asked for blocks of the prompt.
	Plan *ImportPlan
	// FetchFrom and SaveTo name where the cached parts of a forwarded call come
	// from and go to.
	FetchFrom []string
	SaveTo    []string
	// FetchUntilMS is when a fetch must have ended, on the servers' clock in
	// milliseconds, or 0.
	FetchUntilMS int64
	// Prefill is the expected number of prompt tokens to compute.
	Prefill int
	// FirstToken is the estimated time to the first token.
	FirstToken time.Duration
}

// Policy picks a server.
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

// ByName returns the policy that the rules name; the empty name selects
// estimate. It reports false when no policy has the name.
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

func isAvoided(query Query, server *fleet.Server) bool {
	for _, id := range query.Avoid {
		if id == server.ID {
			return true
		}
	}
	return false
}

// recomputeAt is the choice of a policy that does not look at caches.
func recomputeAt(server *fleet.Server, query Query) Choice {
	if server == nil {
		return Choice{}
	}
	return Choice{Server: server, Source: Recompute, Prefill: query.PromptTokens}
}
