package limits

import (
	"container/heap"

	"tanagerspread/core/request"
)

// item is a waiting request. Its lane is nil while its backoff lasts.
type item struct {
	Ticket
	lane *lane
	// start is the virtual time at which the request may be served.
	start   float64
	arrival uint64
	// index is the position in the heap, or -1 while it is being offered.
	index int
}

// lane holds the waiting requests of one priority for the same servers.
// Virtual time counts the prompt tokens that one organisation was served.
type lane struct {
	key     laneKey
	waiting startHeap
	virtual float64
	// finish is the virtual time at which the last request of an
	// organisation ends.
	finish map[request.Organisation]float64
}

func newLane(key laneKey) *lane {
	return &lane{key: key, finish: map[request.Organisation]float64{}}
}

func (l *lane) join(it *item) {
	it.lane = l
	it.start = l.startOf(it.Organisation)
	l.finish[it.Organisation] = it.start + float64(max(it.Tokens, 1))
	heap.Push(&l.waiting, it)
}

func (l *lane) startOf(organisation request.Organisation) float64 {
	return max(l.virtual, l.finish[organisation])
}

// before counts the requests that start no later than the virtual time.
func (l *lane) before(start float64) int {
	count := 0
	for _, it := range l.waiting {
		if it.start <= start {
			count++
		}
	}
	return count
}

// startHeap orders requests by start and then by arrival.
type startHeap []*item

func (h startHeap) Len() int { return len(h) }

func (h startHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
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
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop removes the last item for container/heap.
func (h *startHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}

// delayHeap orders requests by the end of their backoff.
type delayHeap []*item

func (h delayHeap) Len() int { return len(h) }

func (h delayHeap) Less(i, j int) bool { return h[i].NotBefore.Before(h[j].NotBefore) }

func (h delayHeap) Swap(i, j int) { startHeap(h).Swap(i, j) }

// Push appends an item for container/heap.
func (h *delayHeap) Push(x any) { (*startHeap)(h).Push(x) }

// Pop removes the last item for container/heap.
func (h *delayHeap) Pop() any { return (*startHeap)(h).Pop() }
