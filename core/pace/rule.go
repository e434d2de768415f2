package pace

import (
	"math"
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

// Owns reports whether a node sends to a cold server: whether it is among the owners with
// the highest rendezvous hash, of which nodes of the server's failure domain come first.
// Nodes with the same members agree on the owners.
func (r Rule) Owns(node, server, domain string, members []Member) bool {
	own, listed := uint64(0), false
	for _, m := range members {
		if m.Node == node {
			own, listed = weight(server, domain, m), true
		}
	}
	if !listed {
		return false
	}
	ahead := 0
	for _, m := range members {
		if m.Node != node && weight(server, domain, m) >= own {
			ahead++
		}
	}
	return ahead < r.owners()
}

// weight returns the rendezvous hash of a server and a member; its highest bit is set for
// a member of the server's failure domain.
func weight(server, domain string, m Member) uint64 {
	var buffer [hashInputCapacity]byte
	input := append(buffer[:0], server...)
	input = append(input, 0)
	input = append(input, m.Node...)
	hash := xxhash.Sum64(input) >> 1
	if m.Domain == domain {
		hash |= 1 << 63
	}
	return hash
}

// hashInputCapacity is enough for the names of most servers and nodes without an
// allocation.
const hashInputCapacity = 128

// interval returns the time between two calls at a rate in calls a second.
func interval(rate float64) time.Duration {
	return time.Duration(math.Ceil(float64(time.Second) / rate))
}
