package kvcache

import (
	"container/list"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/limits"
)

const (
	// maxKnownBlocks is the number of exported blocks that a node remembers, so
	// that it does not export the same block again.
	maxKnownBlocks = 16384
	// knownBlockTTL is how long an export is trusted to be still at its store.
	knownBlockTTL = time.Hour
	// maxRunningExports bounds the exports of one node at a time.
	maxRunningExports = 2
	// budgetBurstTime is the time over which an unused link budget is saved up.
	budgetBurstTime = 30 * time.Second
)

// Exports decides what is exported within the link budget of a node.
type Exports struct {
	running int
	// known lists exported blocks, the latest first.
	known   *list.List
	byKey   map[cachekey.Key]*list.Element
	budgets *limits.Buckets[string]
}

type exportedBlock struct {
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

// Unexported returns the keys up to the last one that is not known to be at a
// store, or none when all are. Leading known keys are kept, because a
// manifest lists the whole prefix.
func (e *Exports) Unexported(now time.Time, keys []cachekey.Key) []cachekey.Key {
	for i := len(keys) - 1; i >= 0; i-- {
		if !e.isKnown(now, keys[i]) {
			return keys[:i+1]
		}
	}
	return nil
}

// Start reports whether an export of the expected bytes to a store may start.
// The budget is in bytes per second; exports that the budget refuses are
// dropped, because a prompt that returns is offered again.
func (e *Exports) Start(now time.Time, store string, budget float64, bytes int) bool {
	if e.running >= maxRunningExports {
		return false
	}
	burst := int(budget * budgetBurstTime.Seconds())
	if !e.budgets.Take(store, bytes, budget, burst, now) {
		return false
	}
	e.running++
	return true
}

// Finish notes that an export has ended.
func (e *Exports) Finish() {
	e.running--
}

// Running returns the number of exports in progress.
func (e *Exports) Running() int {
	return e.running
}

// RecordExported notes that blocks are at their store.
func (e *Exports) RecordExported(now time.Time, keys []cachekey.Key) {
	for _, key := range keys {
		e.removeKnown(key)
		e.byKey[key] = e.known.PushFront(exportedBlock{key: key, at: now})
	}
	for e.known.Len() > maxKnownBlocks {
		e.removeKnown(e.known.Back().Value.(exportedBlock).key)
	}
}

// RecordMissing notes that a store did not have the blocks.
func (e *Exports) RecordMissing(keys []cachekey.Key) {
	for _, key := range keys {
		e.removeKnown(key)
	}
}

func (e *Exports) removeKnown(key cachekey.Key) {
	if element, known := e.byKey[key]; known {
		e.known.Remove(element)
		delete(e.byKey, key)
	}
}

func (e *Exports) isKnown(now time.Time, key cachekey.Key) bool {
	element, known := e.byKey[key]
	return known && now.Sub(element.Value.(exportedBlock).at) < knownBlockTTL
}
