package placement

import (
	"time"

	"tanagerspread/core/fleet"
)

// LeastLoad picks the server with the fewest requests and uses no caches.
type LeastLoad struct{}

// Pick returns the server with the fewest running, waiting and in-flight
// requests. View.Turn breaks ties, so that nodes do not all pick the same idle
// server.
func (LeastLoad) Pick(now time.Time, query Query, view View) Choice {
	var best *fleet.Server
	fewest := 0.0
	for i := range view.Servers {
		server := view.serverAt(i)
		if isAvoided(query, server) {
			continue
		}
		requests := server.Requests(now)
		if best == nil || requests < fewest {
			best = server
			fewest = requests
		}
	}
	return recomputeAt(best, query)
}
