// Package limits bounds what a node accepts: request rates of organisations
// and the queues of classes.
package limits

import "tanagerspread/core/request"

// Queue holds waiting requests by priority, first in first out within one
// priority. Each class has a bound of its own.
type Queue struct {
	items  []waiting
	counts map[string]int
}

type waiting struct {
	id       request.ID
	class    string
	priority int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{counts: map[string]int{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.items)
}

// Push adds a request behind those of the same or a more urgent priority. It
// reports false when the class already has bound requests waiting.
func (q *Queue) Push(id request.ID, class string, priority, bound int) bool {
	if q.counts[class] >= bound {
		return false
	}
	at := len(q.items)
	for at > 0 && q.items[at-1].priority > priority {
		at--
	}
	q.items = append(q.items, waiting{})
	copy(q.items[at+1:], q.items[at:])
	q.items[at] = waiting{id: id, class: class, priority: priority}
	q.counts[class]++
	return true
}

// Remove takes a request out of the queue and reports whether it was there.
func (q *Queue) Remove(id request.ID) bool {
	for i, item := range q.items {
		if item.id == id {
			q.counts[item.class]--
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// Each calls take for each request in order and removes those for which it
// returns true.
func (q *Queue) Each(take func(request.ID) bool) {
	items := append([]waiting(nil), q.items...)
	for _, item := range items {
		if take(item.id) {
			q.Remove(item.id)
		}
	}
}
