package placement

import (
	"time"

	"tanagerspread/core/fleet"
)

// LeastLoad picks the server with the fewest requests.
type LeastLoad struct{}

// Pick returns the server with the fewest running, waiting and in-flight
// requests; the first one wins a tie.
func (LeastLoad) Pick(_ time.Time, query Query, servers []*fleet.Server) *fleet.Server {
	var best *fleet.Server
	for _, server := range servers {
		if avoided(query, server) {
			continue
		}
		if best == nil || requests(server) < requests(best) {
			best = server
		}
	}
	return best
}

func avoided(query Query, server *fleet.Server) bool {
	for _, id := range query.Avoid {
		if id == server.ID {
			return true
		}
	}
	return false
}

func requests(server *fleet.Server) int {
	return server.InFlight + server.Load.Running + server.Load.Waiting
}
