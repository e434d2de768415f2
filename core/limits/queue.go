// Package limits bounds what a node accepts: the request and token rates of
// organisations and the queue lengths of classes.
package limits

import (
	"cmp"
	"container/heap"
	"slices"
	"sort"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
	"tanagerspread/core/shares"
)

// Entry describes a request that is added to the queue.
type Entry struct {
	ID           request.ID
	Organisation request.Organisation
	Class        request.Class
	// Priority orders classes; 0 is the most urgent.
	Priority int
	// MaxWaiting is the largest number of waiting requests of the class.
	MaxWaiting int
	// Servers identifies the group of servers that can run the request.
	Servers fleet.GroupKey
	// Tokens is the length of the prompt. Fair queueing counts it as the cost
	// of the request.
	Tokens int
	// NeedsMemory is true for a request that waits for the memory of an engine.
	NeedsMemory bool
	// Weight is the weight of the organisation in fair queueing; 0 means 1.
	Weight float64
	// OnTimeUntil is when the request is no longer expected to be answered on time. From
	// then on it comes after the requests of its priority that still are, which lose
	// more by waiting. Zero means never.
	OnTimeUntil time.Time
	// NotBefore is the end of the request's backoff, or zero.
	NotBefore time.Time
}

// OfferResult is the answer of the callback that Offer calls with a waiting
// request.
type OfferResult int

// The offer results.
const (
	// Taken removes the request from the queue.
	Taken OfferResult = iota + 1
	// Skipped leaves the request in the queue and continues with the next one.
	Skipped
	// Blocked leaves the request in the queue and skips all further requests
	// for the same servers in this pass.
	Blocked
)

// Queue holds waiting requests. More urgent requests come first; within one
// priority the organisations share each subqueue by start-time fair queueing
// over prompt tokens, so that an organisation with many requests cannot delay
// one with few.
type Queue struct {
	entries    map[request.ID]*queuedEntry
	counts     map[request.Class]int
	subqueues  map[subqueueKey]*subqueue
	byPriority []*subqueue
	delayed    backoffHeap
	arrivals   uint64
	// nextLate is the first OnTimeUntil of the waiting requests, or zero.
	nextLate time.Time
}

type subqueueKey struct {
	priority int
	// late is true for the subqueue of requests past their OnTimeUntil.
	late    bool
	servers fleet.GroupKey
}

// before reports whether the requests of a key are offered before those of another.
func (k subqueueKey) before(other subqueueKey) bool {
	if k.priority != other.priority {
		return k.priority < other.priority
	}
	return !k.late && other.late
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		entries:   map[request.ID]*queuedEntry{},
		counts:    map[request.Class]int{},
		subqueues: map[subqueueKey]*subqueue{},
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.entries)
}

// Count returns the number of waiting requests of a class.
func (q *Queue) Count(class request.Class) int {
	return q.counts[class]
}

// WaitsOnTime reports whether a request of a class waits that can still be on time.
func (q *Queue) WaitsOnTime(class request.Class, now time.Time) bool {
	for _, s := range q.byPriority {
		if s.key.late {
			continue
		}
		for _, queued := range s.waiting {
			if queued.Class == class && (queued.OnTimeUntil.IsZero() || now.Before(queued.OnTimeUntil)) {
				return true
			}
		}
	}
	return false
}

// Demand returns the prompt tokens of the waiting requests of each organisation that are
// less urgent than priority 0.
func (q *Queue) Demand() shares.Demand {
	return q.demand(func(e *Entry) bool { return e.Priority > 0 })
}

// MemoryDemand returns the same for the requests that need the memory of an engine.
func (q *Queue) MemoryDemand() shares.Demand {
	return q.demand(func(e *Entry) bool { return e.Priority > 0 && e.NeedsMemory })
}

func (q *Queue) demand(counts func(*Entry) bool) shares.Demand {
	demand := shares.Demand{}
	for _, queued := range q.entries {
		if counts(&queued.Entry) {
			demand[queued.Organisation] += max(queued.Tokens, 1)
		}
	}
	return demand
}

// Tokens returns the prompt tokens of the waiting requests of an organisation.
func (q *Queue) Tokens(organisation request.Organisation) int {
	tokens := 0
	for _, queued := range q.entries {
		if queued.Organisation == organisation {
			tokens += queued.Tokens
		}
	}
	return tokens
}

// Overtaken reports whether a waiting request comes after those that can still be on time.
func (q *Queue) Overtaken(id request.ID) bool {
	queued := q.entries[id]
	return queued != nil && queued.subqueue != nil && queued.subqueue.key.late
}

// lateCheckInterval is the time after which a late request that keeps its place is
// considered again.
const lateCheckInterval = 100 * time.Millisecond

// exceedsPart reports whether at least an equal part of the waiting work is that of an
// organisation.
func exceedsPart(demand shares.Demand, organisation request.Organisation) bool {
	return demand[organisation]*len(demand) >= demand.Total()
}

// Push adds a request. It returns false when MaxWaiting requests of the class
// are already waiting or the request itself is.
func (q *Queue) Push(entry Entry, now time.Time) bool {
	if _, waits := q.entries[entry.ID]; waits || q.counts[entry.Class] >= entry.MaxWaiting {
		return false
	}
	q.arrivals++
	queued := &queuedEntry{Entry: entry, arrival: q.arrivals}
	q.entries[entry.ID] = queued
	q.counts[entry.Class]++
	if entry.NotBefore.After(now) {
		heap.Push(&q.delayed, queued)
	} else {
		q.addToSubqueue(queued, now)
	}
	return true
}

// addToSubqueue adds a request to its subqueue, which it creates if needed.
func (q *Queue) addToSubqueue(queued *queuedEntry, now time.Time) {
	key := subqueueKey{priority: queued.Priority, servers: queued.Servers}
	key.late = !queued.OnTimeUntil.IsZero() && !now.Before(queued.OnTimeUntil)
	if !key.late {
		q.expectLate(queued.OnTimeUntil)
	}
	s := q.subqueues[key]
	if s == nil {
		s = newSubqueue(key)
		q.subqueues[key] = s
		q.byPriority = append(q.byPriority, s)
		sort.SliceStable(q.byPriority, func(i, j int) bool { return q.byPriority[i].key.before(q.byPriority[j].key) })
	}
	s.add(queued)
}

// Remove removes a request from the queue and reports whether it was waiting.
func (q *Queue) Remove(id request.ID) bool {
	queued, waits := q.entries[id]
	if !waits {
		return false
	}
	q.removeFromIndex(queued)
	switch {
	case queued.subqueue != nil && queued.index >= 0:
		heap.Remove(&queued.subqueue.waiting, queued.index)
	case queued.subqueue == nil:
		heap.Remove(&q.delayed, queued.index)
	}
	return true
}

func (q *Queue) removeFromIndex(queued *queuedEntry) {
	delete(q.entries, queued.ID)
	q.counts[queued.Class]--
	if q.counts[queued.Class] == 0 {
		delete(q.counts, queued.Class)
	}
}

// Ahead returns the number of waiting requests that would be served before the
// entry if it were pushed now. Requests in backoff do not count.
func (q *Queue) Ahead(entry Entry) int {
	ahead := 0
	for _, s := range q.byPriority {
		if s.key.servers != entry.Servers || s.key.priority > entry.Priority {
			continue
		}
		if s.key.priority < entry.Priority {
			ahead += len(s.waiting)
			continue
		}
		if s.key.late {
			continue
		}
		ahead += s.countUpTo(s.nextStartTag(entry.Organisation))
	}
	return ahead
}

// Offer calls offer for the waiting requests in order and removes those for
// which it returns Taken. Requests whose backoff has not ended are not offered.
func (q *Queue) Offer(now time.Time, offer func(request.ID) OfferResult) {
	for len(q.delayed) > 0 && !q.delayed[0].NotBefore.After(now) {
		q.addToSubqueue(heap.Pop(&q.delayed).(*queuedEntry), now)
	}
	q.moveLate(now)
	var blocked []fleet.GroupKey
	for _, s := range q.byPriority {
		if contains(blocked, s.key.servers) {
			continue
		}
		if q.offerSubqueue(s, offer) {
			blocked = append(blocked, s.key.servers)
		}
	}
	q.prune()
}

// expectLate records that a request is late from the given time on; zero means never.
func (q *Queue) expectLate(at time.Time) {
	if !at.IsZero() && (q.nextLate.IsZero() || at.Before(q.nextLate)) {
		q.nextLate = at
	}
}

// moveLate moves the requests that can no longer be on time to the late subqueues, but for
// those of organisations with less than an equal part of the waiting work: the requests
// of a larger one must not overtake them.
func (q *Queue) moveLate(now time.Time) {
	if q.nextLate.IsZero() || now.Before(q.nextLate) {
		return
	}
	q.nextLate = time.Time{}
	demand := q.Demand()
	var late []*queuedEntry
	for _, s := range q.byPriority {
		if s.key.late {
			continue
		}
		for _, queued := range s.waiting {
			switch {
			case queued.OnTimeUntil.IsZero():
			case now.Before(queued.OnTimeUntil):
				q.expectLate(queued.OnTimeUntil)
			case queued.Priority > 0 && !exceedsPart(demand, queued.Organisation):
				q.expectLate(now.Add(lateCheckInterval))
			default:
				late = append(late, queued)
			}
		}
	}
	slices.SortFunc(late, func(a, b *queuedEntry) int { return cmp.Compare(a.arrival, b.arrival) })
	for _, queued := range late {
		heap.Remove(&queued.subqueue.waiting, queued.index)
		q.addToSubqueue(queued, now)
	}
}

// offerSubqueue offers the requests of a subqueue in order and reports whether
// one of them was blocked.
func (q *Queue) offerSubqueue(s *subqueue, offer func(request.ID) OfferResult) bool {
	var skipped []*queuedEntry
	blocked := false
	for len(s.waiting) > 0 && !blocked {
		queued := heap.Pop(&s.waiting).(*queuedEntry)
		switch offer(queued.ID) {
		case Taken:
			s.virtualTime = max(s.virtualTime, queued.startTag)
			if q.entries[queued.ID] == queued {
				q.removeFromIndex(queued)
			}
		case Blocked:
			skipped = append(skipped, queued)
			blocked = true
		default:
			skipped = append(skipped, queued)
		}
	}
	for _, queued := range skipped {
		if q.entries[queued.ID] == queued {
			heap.Push(&s.waiting, queued)
		}
	}
	return blocked
}

// prune removes empty subqueues, and with them the finish tags of their
// organisations.
func (q *Queue) prune() {
	nonEmpty := q.byPriority[:0]
	for _, s := range q.byPriority {
		if len(s.waiting) > 0 {
			nonEmpty = append(nonEmpty, s)
			continue
		}
		delete(q.subqueues, s.key)
	}
	clear(q.byPriority[len(nonEmpty):])
	q.byPriority = nonEmpty
}

func contains(keys []fleet.GroupKey, key fleet.GroupKey) bool {
	for _, k := range keys {
		if k == key {
			return true
		}
	}
	return false
}
