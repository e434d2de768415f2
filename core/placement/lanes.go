package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"tanagerspread/core/fleet"
)

const (
	// longPrompt is the prompt length in tokens from which a call counts as
	// long. An engine computes long prompts in several steps, during which short
	// ones wait.
	longPrompt = 2048
	// shortShare is the part of the servers of a failure domain that is kept
	// for short calls.
	shortShare = 1.0 / 3
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

// LanesOf divides the engines of each failure domain. A domain with one engine
// keeps it for all calls.
func LanesOf(servers []*fleet.Server) Lanes {
	domains := map[fleet.Domain][]*fleet.Server{}
	for _, server := range servers {
		if server.Role != fleet.RoleEngine {
			continue
		}
		domains[server.Domain] = append(domains[server.Domain], server)
	}
	l := Lanes{short: map[fleet.ServerID]bool{}}
	for _, members := range domains {
		l.divide(members)
	}
	return l
}

// divide marks the members with the lowest hashes.
func (l Lanes) divide(members []*fleet.Server) {
	count := 0
	if len(members) > 1 {
		count = max(int(math.Round(shortShare*float64(len(members)))), 1)
	}
	for range count {
		var lowest *fleet.Server
		for _, server := range members {
			if !l.short[server.ID] && (lowest == nil || laneHash(server) < laneHash(lowest)) {
				lowest = server
			}
		}
		l.short[lowest.ID] = true
	}
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
