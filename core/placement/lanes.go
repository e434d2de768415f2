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
	// longPrompt is the prompt length in tokens from which a call counts as
	// long. An engine computes long prompts in several steps, during which short
	// ones wait.
	longPrompt = 2048
	// shortShare is the part of the engines that is kept for short calls.
	shortShare = 0.22
	// shortMisplaced is the part of its worth that a short call is expected to
	// lose behind the long calls of other nodes.
	shortMisplaced = 0.15
	// longMisplaced is the part of its worth that a long call costs the short
	// calls that wait behind it.
	longMisplaced = 0.3
)

// Lanes tells servers for short calls from those for long ones. All nodes
// divide the servers in the same way without speaking to each other.
type Lanes struct {
	short map[fleet.ServerID]bool
}

// LanesOf divides the engines. The short lane takes one engine of each failure
// domain in turn, the largest domain first, so that short calls find one nearby.
func LanesOf(servers []*fleet.Server) Lanes {
	domains := map[fleet.Domain][]*fleet.Server{}
	total := 0
	for _, server := range servers {
		if server.Role == fleet.RoleEngine {
			domains[server.Domain] = append(domains[server.Domain], server)
			total++
		}
	}
	l := Lanes{short: map[fleet.ServerID]bool{}}
	names := bySize(domains)
	for _, name := range names {
		slices.SortFunc(domains[name], func(a, b *fleet.Server) int { return cmp.Compare(laneHash(a), laneHash(b)) })
	}
	left := int(math.Round(shortShare * float64(total)))
	for round := 0; left > 0; round++ {
		for _, name := range names {
			if left > 0 && round < len(domains[name]) {
				l.short[domains[name][round].ID] = true
				left--
			}
		}
	}
	return l
}

// bySize lists the domains, the one with most engines first.
func bySize(domains map[fleet.Domain][]*fleet.Server) []fleet.Domain {
	names := slices.Collect(maps.Keys(domains))
	slices.SortFunc(names, func(a, b fleet.Domain) int {
		return cmp.Or(cmp.Compare(len(domains[b]), len(domains[a])), cmp.Compare(a, b))
	})
	return names
}

func laneHash(server *fleet.Server) uint64 {
	return xxhash.Sum64String(string(server.ID))
}

// Short reports whether a server is kept for short calls.
func (l Lanes) Short(server *fleet.Server) bool {
	return l.short[server.ID]
}

// fits reports whether a server is kept for calls of this length.
func (l Lanes) fits(server *fleet.Server, promptTokens int) bool {
	return l.short[server.ID] == (promptTokens < longPrompt)
}

// misplaced returns the expected loss of a call at a server that is kept for
// others.
func (l Lanes) misplaced(server *fleet.Server, promptTokens int, worth float64) float64 {
	if l.fits(server, promptTokens) {
		return 0
	}
	if promptTokens < longPrompt {
		return shortMisplaced * worth
	}
	return longMisplaced * worth
}
