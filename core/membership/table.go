package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/shares"
)

// maxRememberedLists is the number of member lists that a node remembers. Older
// lists are needed because peers learn of a new list at different times.
const maxRememberedLists = 4

// Peer is the state of a peer, another member, as this node sees it.
type Peer struct {
	ID      string
	Address string
	// Domain is the failure domain of the peer, or empty when it is unknown.
	Domain string
	Chart  chart.Instance
	// Incarnation increases with each start of the peer's process.
	Incarnation uint64
	// Version is the version of the configuration that the peer has in force.
	Version config.Version
	// KeyValueUnreachable is true when the peer cannot reach the key-value
	// service.
	KeyValueUnreachable bool
	// LastReportAt is when this node received the last digest of the peer.
	LastReportAt time.Time
	// waiting has the work that waited there at the start of the last turns that the peer
	// reported, the newest one first.
	waiting [keptReports]shares.TurnDemand
	// LastSeen is the latest time at which the peer certainly had a configuration
	// in force, according to its own digest or one relayed by another peer.
	LastSeen time.Time
}

// maxMissingTurns is the number of turns for which the last report of waiting work stays
// valid when newer ones are missing.
const maxMissingTurns = 3

// keptReports is the number of reports of waiting work that are kept. A peer whose clock is
// ahead has reported later turns than the one by which this node divides.
const keptReports = 6

// maxLateTurns is the number of turns by which a report may be late. One that is older
// shows that the clock of the peer was set back.
const maxLateTurns = 50

// RecordWaiting records the work that waited at the peer at the start of a turn.
func (p *Peer) RecordWaiting(report shares.TurnDemand) {
	if report.Turn != 0 && report.Turn < p.waiting[0].Turn-maxLateTurns {
		p.waiting = [keptReports]shares.TurnDemand{}
	}
	if report.Turn > p.waiting[0].Turn {
		copy(p.waiting[1:], p.waiting[:])
		p.waiting[0] = report
	}
}

// WaitingIn returns the work that waited at the peer at the start of a turn, or shortly
// before when its report of that turn is missing.
func (p *Peer) WaitingIn(turn int64) shares.Demand {
	for _, report := range p.waiting {
		if report.Turn <= turn && report.Turn >= turn-maxMissingTurns {
			return report.Demand
		}
	}
	return nil
}

// Table holds the member list and the peers.
type Table struct {
	self          string
	members       []string
	memberLists   map[uint32][]string
	memberListIDs []uint32
	peers         map[string]*Peer
	// sortedPeers lists the peers in the order of the member list.
	sortedPeers []*Peer
	// lastSeenBuffer is reused by MajorityLastSeen, which runs in each tick.
	lastSeenBuffer []time.Time
}

// NewTable returns a table without members for the node named self.
func NewTable(self string) *Table {
	return &Table{self: self, memberLists: map[uint32][]string{}, peers: map[string]*Peer{}}
}

// Location is the address and the failure domain of a member.
type Location struct {
	Address string
	Domain  string
}

// SetMembers replaces the member list and updates the locations of the peers.
// newChart returns the chart instance of a new peer.
func (t *Table) SetMembers(locations map[string]Location, newChart func() chart.Instance) {
	t.members = t.members[:0:0]
	for id, location := range locations {
		t.members = append(t.members, id)
		if id != t.self {
			t.addOrUpdate(id, location, newChart)
		}
	}
	sort.Strings(t.members)
	for id := range t.peers {
		if _, listed := locations[id]; !listed {
			delete(t.peers, id)
		}
	}
	t.rebuildSortedPeers()
	t.rememberMemberList()
}

func (t *Table) addOrUpdate(id string, location Location, newChart func() chart.Instance) {
	peer, ok := t.peers[id]
	if !ok {
		peer = &Peer{ID: id, Chart: newChart()}
		t.peers[id] = peer
	}
	peer.Address = location.Address
	peer.Domain = location.Domain
}

func (t *Table) rememberMemberList() {
	id := MemberListID(t.members)
	if _, ok := t.memberLists[id]; ok {
		return
	}
	t.memberLists[id] = t.members
	t.memberListIDs = append(t.memberListIDs, id)
	if len(t.memberListIDs) > maxRememberedLists {
		delete(t.memberLists, t.memberListIDs[0])
		t.memberListIDs = t.memberListIDs[1:]
	}
}

// Members returns the member list, sorted.
func (t *Table) Members() []string {
	return t.members
}

// Peer returns the peer with the given ID, or nil when the member list lacks it.
func (t *Table) Peer(id string) *Peer {
	return t.peers[id]
}

// Peers returns the peers in the order of the member list. The caller must not
// change the slice.
func (t *Table) Peers() []*Peer {
	return t.sortedPeers
}

func (t *Table) rebuildSortedPeers() {
	t.sortedPeers = make([]*Peer, 0, len(t.peers))
	for _, id := range t.members {
		if peer := t.peers[id]; peer != nil {
			t.sortedPeers = append(t.sortedPeers, peer)
		}
	}
}

// Sample returns up to count randomly selected peers for which eligible returns
// true.
func (t *Table) Sample(random *rand.Rand, count int, eligible func(*Peer) bool) []*Peer {
	var candidates []*Peer
	for _, peer := range t.Peers() {
		if eligible(peer) {
			candidates = append(candidates, peer)
		}
	}
	random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(count, len(candidates))]
}

// LastSeenAges returns the identifier of the member list and the last-seen ages
// of its members in seconds. The node's own age is 0 when it has a configuration
// in force.
func (t *Table) LastSeenAges(now time.Time, inForce bool) (uint32, []uint8) {
	ages := make([]uint8, len(t.members))
	for i, id := range t.members {
		ages[i] = UnknownAge
		if peer := t.peers[id]; peer != nil {
			ages[i] = lastSeenAge(now, peer.LastSeen)
		}
		if id == t.self && inForce {
			ages[i] = 0
		}
	}
	return MemberListID(t.members), ages
}

// MergeLastSeen updates the last-seen times of the peers from a peer's digest.
// The ages are relative to requestedAt, when the digest was requested, so that a
// slow response never makes a last-seen time look newer than it is. An unknown
// member list is ignored.
func (t *Table) MergeLastSeen(list uint32, ages []uint8, requestedAt time.Time) {
	members, ok := t.memberLists[list]
	if !ok || len(members) != len(ages) {
		return
	}
	for i, id := range members {
		peer := t.peers[id]
		if peer == nil || ages[i] >= UnknownAge {
			continue
		}
		lastSeen := requestedAt.Add(-time.Duration(ages[i]) * time.Second)
		if lastSeen.After(peer.LastSeen) {
			peer.LastSeen = lastSeen
		}
	}
}

// MajorityLastSeen returns the latest time since which a majority of the member
// list was seen, or zero when there is none. The node itself counts as seen now
// when it has a configuration in force.
func (t *Table) MajorityLastSeen(now time.Time, inForce bool) time.Time {
	lastSeen := t.lastSeenBuffer[:0]
	for _, peer := range t.sortedPeers {
		if !peer.LastSeen.IsZero() {
			lastSeen = append(lastSeen, peer.LastSeen)
		}
	}
	if inForce && slices.Contains(t.members, t.self) {
		lastSeen = append(lastSeen, now)
	}
	t.lastSeenBuffer = lastSeen
	majority := config.Majority(len(t.members))
	if len(t.members) == 0 || len(lastSeen) < majority {
		return time.Time{}
	}
	slices.SortFunc(lastSeen, func(a, b time.Time) int { return b.Compare(a) })
	return lastSeen[majority-1]
}
