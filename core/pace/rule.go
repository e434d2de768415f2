package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxOwners bounds the nodes that send to one cold server.
	maxOwners = 4
	// spareOwners is the number of further nodes that may take themselves for owners,
	// because their list of members differs, without exceeding the bound.
	spareOwners = 2
	// intervalMargin keeps one more call out of a second than the rate allows.
	intervalMargin = time.Millisecond
)

// Rule states what the cold servers of a service bear.
type Rule struct {
	// PerSecond is the number of calls a second that a cold server bears from all
	// nodes together. Servers with a rate of 0 are not paced.
	PerSecond float64
	// Overshoot and Slack bound the calls in any second to PerSecond * Overshoot +
	// Slack.
	Overshoot float64
	Slack     float64
}

// Applies reports whether the servers of the service are paced.
func (r Rule) Applies() bool {
	return r.PerSecond > 0
}

// bound returns the largest number of calls that a cold server may get in a second.
func (r Rule) bound() int {
	return int(max(r.PerSecond*r.Overshoot+r.Slack, r.PerSecond, 1))
}

// owners returns the number of nodes that send to one cold server: the one at which they
// send most together, the largest of several.
func (r Rule) owners() int {
	best := 1
	for n := 2; n <= min(maxOwners, r.bound()-spareOwners); n++ {
		if float64(n)*r.shareOf(n) >= float64(best)*r.shareOf(best) {
			best = n
		}
	}
	return best
}

// share returns the rate of one owner in calls a second.
func (r Rule) share() float64 {
	return r.shareOf(r.owners())
}

// shareOf returns the rate of each of a number of owners. Together they reach PerSecond
// at most, and with the spare owners they stay within the bound in any second.
func (r Rule) shareOf(owners int) float64 {
	calls := max(r.bound()/(owners+spareOwners), 1)
	interval := time.Second/time.Duration(calls) + intervalMargin
	return min(r.PerSecond/float64(owners), float64(time.Second)/float64(interval))
}

// Member is a node that may own a cold server.
type Member struct {
	Node   string
	Domain string
}

// Owners returns the nodes that send to a cold server: those with the highest
// rendezvous hash, nodes of the server's failure domain first. Nodes with the same
// members agree on them.
func (r Rule) Owners(server, domain string, members []Member) []string {
	type candidate struct {
		node   string
		local  bool
		weight uint64
	}
	candidates := make([]candidate, 0, len(members))
	for _, m := range members {
		candidates = append(candidates, candidate{node: m.Node, local: m.Domain == domain, weight: xxhash.Sum64String(server + "\x00" + m.Node)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.local != b.local {
			if a.local {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	owners := make([]string, 0, r.owners())
	for _, c := range candidates[:min(r.owners(), len(candidates))] {
		owners = append(owners, c.node)
	}
	return owners
}

// interval returns the time between two calls at a rate in calls a second.
func interval(rate float64) time.Duration {
	return time.Duration(math.Ceil(float64(time.Second) / rate))
}
