package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tanagerspread/core/fleet"
)

const (
	// longPromptTokens is the prompt length in tokens from which a call counts as
	// long. An engine computes long prompts in several steps, during which short
	// prompts wait.
	longPromptTokens = 2048
	// reservedShare is the share of the engines that is reserved for short prompts,
	// reservedShareOfSmall that of engines that run at most smallConcurrency requests at
	// once. Few short calls fill such an engine, so that further ones wait behind them.
	reservedShare        = 0.22
	reservedShareOfSmall = 0.33
	smallConcurrency     = 16
	// shortMismatchCostShare is the share of its value that a short call is expected
	// to lose behind the long calls of other nodes.
	shortMismatchCostShare = 0.15
	// longMismatchCostShare is the share of its value that a long call is expected to
	// cost the short calls that wait behind it.
	longMismatchCostShare = 0.3
)

// Reservation records the engines that are reserved for short prompts. All nodes
// reserve the same engines without exchanging messages.
type Reservation struct {
	reserved map[fleet.ServerID]bool
}

// NewReservation reserves a share of the engines for short prompts. It selects them
// round robin over the failure domains, the largest domain first, so that short calls
// find one in their domain.
func NewReservation(servers []*fleet.Server) Reservation {
	domains := map[fleet.Domain][]*fleet.Server{}
	reserved := 0.0
	for _, server := range servers {
		if server.Role == fleet.RoleEngine {
			domains[server.Domain] = append(domains[server.Domain], server)
			reserved += shareToReserve(server)
		}
	}
	r := Reservation{reserved: map[fleet.ServerID]bool{}}
	names := domainsBySize(domains)
	for _, name := range names {
		slices.SortFunc(domains[name], func(a, b *fleet.Server) int { return cmp.Compare(reservationHash(a), reservationHash(b)) })
	}
	remaining := int(math.Round(reserved))
	for round := 0; remaining > 0; round++ {
		for _, name := range names {
			if remaining > 0 && round < len(domains[name]) {
				r.reserved[domains[name][round].ID] = true
				remaining--
			}
		}
	}
	return r
}

// shareToReserve returns the share of engines like this one that is reserved.
func shareToReserve(server *fleet.Server) float64 {
	if server.MaxConcurrency > 0 && server.MaxConcurrency <= smallConcurrency {
		return reservedShareOfSmall
	}
	return reservedShare
}

// domainsBySize lists the failure domains, the one with the most engines first.
func domainsBySize(domains map[fleet.Domain][]*fleet.Server) []fleet.Domain {
	names := slices.Collect(maps.Keys(domains))
	slices.SortFunc(names, func(a, b fleet.Domain) int {
		return cmp.Or(cmp.Compare(len(domains[b]), len(domains[a])), cmp.Compare(a, b))
	})
	return names
}

func reservationHash(server *fleet.Server) uint64 {
	return xxhash.Sum64String(string(server.ID))
}

// ReservedForShort reports whether a server is reserved for short prompts.
func (r Reservation) ReservedForShort(server *fleet.Server) bool {
	return r.reserved[server.ID]
}

// matches reports whether a server is meant for prompts of this length: a reserved
// one for short prompts, any other for long ones.
func (r Reservation) matches(server *fleet.Server, promptTokens int) bool {
	return r.reserved[server.ID] == (promptTokens < longPromptTokens)
}

// mismatchCost returns what a call of the given value is expected to lose, or to cost
// other calls, at a server that is meant for prompts of the other length, and 0 at one
// that matches.
func (r Reservation) mismatchCost(server *fleet.Server, promptTokens int, value float64) float64 {
	if r.matches(server, promptTokens) {
		return 0
	}
	if promptTokens < longPromptTokens {
		return shortMismatchCostShare * value
	}
	return longMismatchCostShare * value
}
