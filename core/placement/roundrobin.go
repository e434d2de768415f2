package placement

import "time"

// RoundRobin picks the servers one after the other.
type RoundRobin struct{}

// Pick returns the first server at or after the position View.Turn that is not
// avoided.
func (RoundRobin) Pick(_ time.Time, query Query, view View) Choice {
	for i := range view.Servers {
		server := view.serverAt(i)
		if !isAvoided(query, server) {
			return recomputeAt(server, query)
		}
	}
	return Choice{}
}
