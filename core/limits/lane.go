package limits

import (
	"container/heap"

	"tanagerspread/core/request"
)

// queuedEntry is a waiting request. Its subqueue is nil until its backoff has
// ended.
type queuedEntry struct {
	Entry
	subqueue *subqueue
	// startTag is the virtual time at which the service of the request starts.
	startTag float64
	arrival  uint64
	// index is the position in the heap, or -1 while it is being offered.
	index int
}

// subqueue holds the waiting requests of one priority for the same servers.
// Its virtual time is in prompt tokens: a request advances its organisation's
// finish tag by the length of its prompt.
type subqueue struct {
	key         subqueueKey
	waiting     startHeap
	virtualTime float64
	// finishTags holds the virtual time at which the service of each
	// organisation's last request finishes.
	finishTags map[request.Organisation]float64
}

func newSubqueue(key subqueueKey) *subqueue {
	return &subqueue{key: key, finishTags: map[request.Organisation]float64{}}
}

func (s *subqueue) add(queued *queuedEntry) {
	queued.subqueue = s
	queued.startTag = s.nextStartTag(queued.Organisation)
	s.finishTags[queued.Organisation] = queued.startTag + float64(max(queued.Tokens, 1))/queued.weight()
	heap.Push(&s.waiting, queued)
}

func (e *Entry) weight() float64 {
	if e.Weight <= 0 {
		return 1
	}
	return e.Weight
}

func (s *subqueue) nextStartTag(organisation request.Organisation) float64 {
	return max(s.virtualTime, s.finishTags[organisation])
}

// countUpTo returns the number of requests with a start tag of at most start.
func (s *subqueue) countUpTo(start float64) int {
	count := 0
	for _, queued := range s.waiting {
		if queued.startTag <= start {
			count++
		}
	}
	return count
}

// startHeap orders requests by start tag and then by arrival.
type startHeap []*queuedEntry

func (h startHeap) Len() int { return len(h) }

func (h startHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].arrival < h[j].arrival
}

func (h startHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends an entry for container/heap.
func (h *startHeap) Push(x any) {
	queued := x.(*queuedEntry)
	queued.index = len(*h)
	*h = append(*h, queued)
}

// Pop removes the last entry for container/heap.
func (h *startHeap) Pop() any {
	old := *h
	queued := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	queued.index = -1
	return queued
}

// backoffHeap orders requests by the end of their backoff.
type backoffHeap []*queuedEntry

func (h backoffHeap) Len() int { return len(h) }

func (h backoffHeap) Less(i, j int) bool { return h[i].NotBefore.Before(h[j].NotBefore) }

func (h backoffHeap) Swap(i, j int) { startHeap(h).Swap(i, j) }

// Push appends an entry for container/heap.
func (h *backoffHeap) Push(x any) { (*startHeap)(h).Push(x) }

// Pop removes the last entry for container/heap.
func (h *backoffHeap) Pop() any { return (*startHeap)(h).Pop() }
