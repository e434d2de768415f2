package placement

import "time"

// Sticky picks the most preferred server of a prefix and uses no stores.
type Sticky struct{}

// Pick returns the most preferred server of the prefix that is not avoided. A
// request without a prefix goes to the server with the least load.
func (Sticky) Pick(now time.Time, query Query, view View) Choice {
	if len(query.Prefix) == 0 {
		return LeastLoad{}.Pick(now, query, view)
	}
	return recomputeAt(PreferredServers(query, view.Servers)[0], query)
}
