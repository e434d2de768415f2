package kvcache

import (
	"container/list"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/limits"
)

const (
	// maxExportedBlocks is the largest number of exported blocks that a node
	// remembers in order not to export them again.
	maxExportedBlocks = 16384
	// exportedBlockTTL is how long an exported block is assumed to remain at its
	// store.
	exportedBlockTTL = time.Hour
	// maxRunningExports limits the exports that a node runs at once.
	maxRunningExports = 2
	// budgetBurstTime is the time for which unused link budget accumulates.
	budgetBurstTime = 30 * time.Second
)

// Exports decides which blocks a node exports within its link budget.
type Exports struct {
	running int
	// exported lists the blocks that were exported, the latest first.
	exported *list.List
	byKey    map[cachekey.Key]*list.Element
	budgets  *limits.Buckets[string]
}

type exportedBlock struct {
	key cachekey.Key
	at  time.Time
}

// NewExports returns an Exports without running or remembered exports.
func NewExports() *Exports {
	return &Exports{
		exported: list.New(),
		byKey:    map[cachekey.Key]*list.Element{},
		budgets:  limits.NewBuckets[string](),
	}
}

// Unexported returns the keys up to the last one that is not recorded as exported,
// or nil when all are. Exported keys before it are included, because a manifest
// lists the complete prefix.
func (e *Exports) Unexported(now time.Time, keys []cachekey.Key) []cachekey.Key {
	for i := len(keys) - 1; i >= 0; i-- {
		if !e.isExported(now, keys[i]) {
			return keys[:i+1]
		}
	}
	return nil
}

// Start reports whether an export of the expected bytes to a store may start, and
// counts it as running if so. The budget is in bytes per second. An export that
// exceeds it is dropped, because a prompt that returns is offered again.
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

// Finish records that an export has finished.
func (e *Exports) Finish() {
	e.running--
}

// Running returns the number of exports in progress.
func (e *Exports) Running() int {
	return e.running
}

// RecordExported records that blocks are at their store. Beyond
// maxExportedBlocks the oldest records are removed.
func (e *Exports) RecordExported(now time.Time, keys []cachekey.Key) {
	for _, key := range keys {
		e.removeExported(key)
		e.byKey[key] = e.exported.PushFront(exportedBlock{key: key, at: now})
	}
	for e.exported.Len() > maxExportedBlocks {
		e.removeExported(e.exported.Back().Value.(exportedBlock).key)
	}
}

// RecordMissing records that a store did not have the blocks.
func (e *Exports) RecordMissing(keys []cachekey.Key) {
	for _, key := range keys {
		e.removeExported(key)
	}
}

func (e *Exports) removeExported(key cachekey.Key) {
	if element, ok := e.byKey[key]; ok {
		e.exported.Remove(element)
		delete(e.byKey, key)
	}
}

func (e *Exports) isExported(now time.Time, key cachekey.Key) bool {
	element, ok := e.byKey[key]
	return ok && now.Sub(element.Value.(exportedBlock).at) < exportedBlockTTL
}
