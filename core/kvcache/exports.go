package kvcache

import (
	"container/list"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/limits"
)

const (
	// memoryLength is the number of exported blocks that a node remembers, so
	// that it does not export the same block again.
	memoryLength = 16384
	// memoryTime is how long an export is trusted to be still at its store.
	memoryTime = time.Hour
	// maxRunning bounds the exports of one node at a time.
	maxRunning = 2
	// budgetBurst is the time over which an unused link budget is saved up.
	budgetBurst = 30 * time.Second
)

// Exports decides what is exported within the link budget of a node.
type Exports struct {
	running int
	// known lists exported blocks, the latest first.
	known   *list.List
	byKey   map[cachekey.Key]*list.Element
	budgets *limits.Buckets[string]
}

type exported struct {
	key cachekey.Key
	at  time.Time
}

// NewExports returns a decision maker without any export.
func NewExports() *Exports {
	return &Exports{
		known:   list.New(),
		byKey:   map[cachekey.Key]*list.Element{},
		budgets: limits.NewBuckets[string](),
	}
}

// Missing returns the keys up to the last one that is not known to be at a
// store, or none when all are. Leading known keys are kept, because a
// manifest lists the whole prefix.
func (e *Exports) Missing(now time.Time, keys []cachekey.Key) []cachekey.Key {
	for i := len(keys) - 1; i >= 0; i-- {
		if !e.isKnown(now, keys[i]) {
			return keys[:i+1]
		}
	}
	return nil
}

// Begin reports whether an export of the expected bytes to a store may start.
// The budget is in bytes per second; exports that the budget refuses are
// dropped, because a prompt that returns is offered again.
func (e *Exports) Begin(now time.Time, store string, budget float64, bytes int) bool {
	if e.running >= maxRunning {
		return false
	}
	burst := int(budget * budgetBurst.Seconds())
	if !e.budgets.Take(store, bytes, budget, burst, now) {
		return false
	}
	e.running++
	return true
}

// End notes that an export has ended.
func (e *Exports) End() {
	e.running--
}

// Running returns the number of exports in progress.
func (e *Exports) Running() int {
	return e.running
}

// Remember notes that blocks are at their store.
func (e *Exports) Remember(now time.Time, keys []cachekey.Key) {
	for _, key := range keys {
		e.forget(key)
		e.byKey[key] = e.known.PushFront(exported{key: key, at: now})
	}
	for e.known.Len() > memoryLength {
		e.forget(e.known.Back().Value.(exported).key)
	}
}

// Forget notes that a store did not have the blocks.
func (e *Exports) Forget(keys []cachekey.Key) {
	for _, key := range keys {
		e.forget(key)
	}
}

func (e *Exports) forget(key cachekey.Key) {
	if element, known := e.byKey[key]; known {
		e.known.Remove(element)
		delete(e.byKey, key)
	}
}

func (e *Exports) isKnown(now time.Time, key cachekey.Key) bool {
	element, known := e.byKey[key]
	return known && now.Sub(element.Value.(exported).at) < memoryTime
}
