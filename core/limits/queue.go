// Package limits bounds what a node accepts: request and token rates of
// organisations and the queues of classes.
package limits

import (
	"container/heap"
	"sort"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// Ticket describes a request that is to wait.
type Ticket struct {
	ID           request.ID
	Organisation request.Organisation
	Class        request.Class
	// Priority orders classes; 0 is the most urgent.
	Priority int
	// Bound is the largest number of waiting requests of the class.
	Bound int
	// Lane names the servers that can take the request.
	Lane fleet.GroupKey
	// Tokens is the length of the prompt, the cost of the request.
	Tokens int
	// NotBefore is the end of a backoff, or zero.
	NotBefore time.Time
}

// Verdict is what became of a waiting request.
type Verdict int

// The verdicts on a waiting request.
const (
	// Taken removes the request from the queue.
	Taken Verdict = iota + 1
	// Skipped leaves the request and goes on with the next one.
	Skipped
	// Blocked leaves the request and all others of its lane.
	Blocked
)

// Queue holds waiting requests. More urgent requests come first; within one
// priority the organisations share each lane by start-time fair queueing over
// prompt tokens, so that an organisation with many requests cannot delay one
// with few.
type Queue struct {
	items   map[request.ID]*item
	counts  map[request.Class]int
	lanes   map[laneKey]*lane
	ordered []*lane
	delayed delayHeap
	arrived uint64
}

type laneKey struct {
	priority int
	servers  fleet.GroupKey
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		items:  map[request.ID]*item{},
		counts: map[request.Class]int{},
		lanes:  map[laneKey]*lane{},
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.items)
}

// Count returns the number of waiting requests of a class.
func (q *Queue) Count(class request.Class) int {
	return q.counts[class]
}

// Push adds a request. It reports false when its class already has Bound
// requests waiting or the request already waits.
func (q *Queue) Push(ticket Ticket, now time.Time) bool {
	if _, waits := q.items[ticket.ID]; waits || q.counts[ticket.Class] >= ticket.Bound {
		return false
	}
	q.arrived++
	it := &item{Ticket: ticket, arrival: q.arrived}
	q.items[ticket.ID] = it
	q.counts[ticket.Class]++
	if ticket.NotBefore.After(now) {
		heap.Push(&q.delayed, it)
	} else {
		q.join(it)
	}
	return true
}

// join puts a request into its lane.
func (q *Queue) join(it *item) {
	key := laneKey{priority: it.Priority, servers: it.Lane}
	l := q.lanes[key]
	if l == nil {
		l = newLane(key)
		q.lanes[key] = l
		q.ordered = append(q.ordered, l)
		sort.SliceStable(q.ordered, func(i, j int) bool { return q.ordered[i].key.priority < q.ordered[j].key.priority })
	}
	l.join(it)
}

// Remove takes a request out of the queue and reports whether it was there.
func (q *Queue) Remove(id request.ID) bool {
	it, waits := q.items[id]
	if !waits {
		return false
	}
	q.drop(it)
	switch {
	case it.lane != nil && it.index >= 0:
		heap.Remove(&it.lane.waiting, it.index)
	case it.lane == nil:
		heap.Remove(&q.delayed, it.index)
	}
	return true
}

func (q *Queue) drop(it *item) {
	delete(q.items, it.ID)
	q.counts[it.Class]--
	if q.counts[it.Class] == 0 {
		delete(q.counts, it.Class)
	}
}

// Ahead returns the number of waiting requests that would be served before
// the ticket.
func (q *Queue) Ahead(ticket Ticket) int {
	ahead := 0
	for _, l := range q.ordered {
		if l.key.servers != ticket.Lane || l.key.priority > ticket.Priority {
			continue
		}
		if l.key.priority < ticket.Priority {
			ahead += len(l.waiting)
			continue
		}
		ahead += l.before(l.startOf(ticket.Organisation))
	}
	return ahead
}

// Each calls take for the waiting requests in order. Requests whose backoff
// has not ended are left out.
func (q *Queue) Each(now time.Time, take func(request.ID) Verdict) {
	for len(q.delayed) > 0 && !q.delayed[0].NotBefore.After(now) {
		q.join(heap.Pop(&q.delayed).(*item))
	}
	var blocked []fleet.GroupKey
	for _, l := range q.ordered {
		if contains(blocked, l.key.servers) {
			continue
		}
		if q.serve(l, take) {
			blocked = append(blocked, l.key.servers)
		}
	}
	q.prune()
}

// serve offers the requests of a lane and reports whether the lane blocked.
func (q *Queue) serve(l *lane, take func(request.ID) Verdict) bool {
	var skipped []*item
	blocked := false
	for len(l.waiting) > 0 && !blocked {
		it := heap.Pop(&l.waiting).(*item)
		switch take(it.ID) {
		case Taken:
			l.virtual = max(l.virtual, it.start)
			if q.items[it.ID] == it {
				q.drop(it)
			}
		case Blocked:
			skipped = append(skipped, it)
			blocked = true
		default:
			skipped = append(skipped, it)
		}
	}
	for _, it := range skipped {
		if q.items[it.ID] == it {
			heap.Push(&l.waiting, it)
		}
	}
	return blocked
}

// prune drops empty lanes; their organisations start afresh.
func (q *Queue) prune() {
	kept := q.ordered[:0]
	for _, l := range q.ordered {
		if len(l.waiting) > 0 {
			kept = append(kept, l)
			continue
		}
		delete(q.lanes, l.key)
	}
	clear(q.ordered[len(kept):])
	q.ordered = kept
}

func contains(keys []fleet.GroupKey, key fleet.GroupKey) bool {
	for _, k := range keys {
		if k == key {
			return true
		}
	}
	return false
}
