package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
)

// keptLists is the number of member lists whose order is remembered, because
// peers learn of a new list at different times.
const keptLists = 4

// Peer is another entry VM as this node sees it.
type Peer struct {
	ID      string
	Address string
	// Domain is the failure domain of the peer, or empty when it is not known.
	Domain string
	Chart  chart.Instance
	// Incarnation grows with each start of the peer's process.
	Incarnation uint64
	// Version is the configuration that the peer has in force.
	Version config.Version
	// Away is true when the peer does not reach the key-value service.
	Away bool
	// Heard is when the peer last told its version and state itself.
	Heard time.Time
	// Seen is the latest time at which the peer had a configuration in force.
	Seen time.Time
}

// Table holds the member list and the peers.
type Table struct {
	self  string
	order []string
	lists map[uint32][]string
	ids   []uint32
	peers map[string]*Peer
	// listed holds the peers in the order of the member list.
	listed []*Peer
	// seen is the working space of MajoritySeen, which runs in each tick.
	seen []time.Time
}

// NewTable returns a table without members.
func NewTable(self string) *Table {
	return &Table{self: self, lists: map[uint32][]string{}, peers: map[string]*Peer{}}
}

// Place is where a member is found.
type Place struct {
	Address string
	Domain  string
}

// SetMembers takes over the member list with the peers' places. Start returns
// the position of a new peer.
func (t *Table) SetMembers(places map[string]Place, start func() chart.Instance) {
	t.order = t.order[:0:0]
	for id, place := range places {
		t.order = append(t.order, id)
		if id != t.self {
			t.keep(id, place, start)
		}
	}
	sort.Strings(t.order)
	for id := range t.peers {
		if _, listed := places[id]; !listed {
			delete(t.peers, id)
		}
	}
	t.listPeers()
	t.remember()
}

func (t *Table) keep(id string, place Place, start func() chart.Instance) {
	peer, known := t.peers[id]
	if !known {
		peer = &Peer{ID: id, Chart: start()}
		t.peers[id] = peer
	}
	peer.Address = place.Address
	peer.Domain = place.Domain
}

func (t *Table) remember() {
	id := ListID(t.order)
	if _, known := t.lists[id]; known {
		return
	}
	t.lists[id] = t.order
	t.ids = append(t.ids, id)
	if len(t.ids) > keptLists {
		delete(t.lists, t.ids[0])
		t.ids = t.ids[1:]
	}
}

// Members returns the member list, sorted.
func (t *Table) Members() []string {
	return t.order
}

// Peer returns a listed peer, or nil.
func (t *Table) Peer(id string) *Peer {
	return t.peers[id]
}

// Peers returns the peers in the order of the member list. The caller must not
// change the slice.
func (t *Table) Peers() []*Peer {
	return t.listed
}

func (t *Table) listPeers() {
	t.listed = make([]*Peer, 0, len(t.peers))
	for _, id := range t.order {
		if peer := t.peers[id]; peer != nil {
			t.listed = append(t.listed, peer)
		}
	}
}

// Sample returns up to count random peers for which want holds.
func (t *Table) Sample(random *rand.Rand, count int, want func(*Peer) bool) []*Peer {
	var fit []*Peer
	for _, peer := range t.Peers() {
		if want(peer) {
			fit = append(fit, peer)
		}
	}
	random.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
	return fit[:min(count, len(fit))]
}

// Ages returns the identifier of the member list and the ages of the last
// sightings. The own entry is 0 when the node has a configuration in force.
func (t *Table) Ages(now time.Time, inForce bool) (uint32, []uint8) {
	ages := make([]uint8, len(t.order))
	for i, id := range t.order {
		ages[i] = UnknownAge
		if peer := t.peers[id]; peer != nil {
			ages[i] = ageOf(now, peer.Seen)
		}
		if id == t.self && inForce {
			ages[i] = 0
		}
	}
	return ListID(t.order), ages
}

// Relay takes over the sightings of a peer's digest. The ages count from
// asked, when the digest was asked for, so that a slow response never makes a
// sighting look newer than it is.
func (t *Table) Relay(list uint32, ages []uint8, asked time.Time) {
	order, known := t.lists[list]
	if !known || len(order) != len(ages) {
		return
	}
	for i, id := range order {
		peer := t.peers[id]
		if peer == nil || ages[i] >= UnknownAge {
			continue
		}
		seen := asked.Add(-time.Duration(ages[i]) * time.Second)
		if seen.After(peer.Seen) {
			peer.Seen = seen
		}
	}
}

// MajoritySeen returns the latest time since which a majority of the member
// list was seen, or zero. The own entry counts as seen now when the node has
// a configuration in force.
func (t *Table) MajoritySeen(now time.Time, inForce bool) time.Time {
	seen := t.seen[:0]
	for _, peer := range t.listed {
		if !peer.Seen.IsZero() {
			seen = append(seen, peer.Seen)
		}
	}
	if inForce && slices.Contains(t.order, t.self) {
		seen = append(seen, now)
	}
	t.seen = seen
	need := config.Majority(len(t.order))
	if len(t.order) == 0 || len(seen) < need {
		return time.Time{}
	}
	slices.SortFunc(seen, func(a, b time.Time) int { return b.Compare(a) })
	return seen[need-1]
}
