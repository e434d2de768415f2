package limits

import (
	"container/heap"

	"tanagerspread/core/request"
)

// queuedEntry is a waiting request. Its lane is nil while its backoff lasts.
type queuedEntry struct {
	Entry
	subqueue *subqueue
	// startTag is the virtual time at which the request may be served.
	startTag float64
	arrival  uint64
	// index is the position in the heap, or -1 while it is being offered.
	index int
}

// subqueue holds the waiting requests of one priority for the same servers.
// Virtual time counts the prompt tokens that one organisation was served.
type subqueue struct {
	key         subqueueKey
	waiting     startHeap
	virtualTime float64
	// finishTags is the virtual time at which the last request of an
	// organisation ends.
	finishTags map[request.Organisation]float64
}

func newSubqueue(key subqueueKey) *subqueue {
	return &subqueue{key: key, finishTags: map[request.Organisation]float64{}}
}

func (s *subqueue) add(queued *queuedEntry) {
	queued.subqueue = s
	queued.startTag = s.nextStartTag(queued.Organisation)
	s.finishTags[queued.Organisation] = queued.startTag + float64(max(queued.Tokens, 1))
	heap.Push(&s.waiting, queued)
}

func (s *subqueue) nextStartTag(organisation request.Organisation) float64 {
	return max(s.virtualTime, s.finishTags[organisation])
}

// countUpTo counts the requests that start no later than the virtual time.
func (s *subqueue) countUpTo(start float64) int {
	count := 0
	for _, queued := range s.waiting {
		if queued.startTag <= start {
			count++
		}
	}
	return count
}

// startHeap orders requests by start and then by arrival.
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

// Push appends an item for container/heap.
func (h *startHeap) Push(x any) {
	queued := x.(*queuedEntry)
	queued.index = len(*h)
	*h = append(*h, queued)
}

// Pop removes the last item for container/heap.
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

// Push appends an item for container/heap.
func (h *backoffHeap) Push(x any) { (*startHeap)(h).Push(x) }

// Pop removes the last item for container/heap.
func (h *backoffHeap) Pop() any { return (*startHeap)(h).Pop() }
