// Package mirror keeps a copy of the entries of the key-value service in the
// memory of a node. A few nodes of each failure domain watch the service; the
// others copy the mirror of one of them, so that the number of calls to the
// service does not grow with the fleet. The package makes no decisions: the
// control thread selects the node to copy from.
package mirror

import (
	"context"
	"strings"
	"sync"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
)

// maxTombstones is the number of tombstones from which on a deletion first removes the
// earlier ones.
const maxTombstones = 4096

// lossGrace is how long after a failed call to the source the copies of the mirror wait
// for a successful one. A call that fails once is repeated at once, and copies that all
// turned to the service for it would add to its load.
const lossGrace = 150 * time.Millisecond

// entry is the latest state of one key. A deleted entry is a tombstone.
type entry struct {
	kv.Entry
	deleted bool
}

// Mirror is the copy of the entries. It is safe for concurrent use.
type Mirror struct {
	mu      sync.Mutex
	entries map[string]entry
	// revision is the revision up to which the copy is complete. No entry is newer:
	// a reader that continues from it would miss the changes before that entry.
	revision kv.Revision
	// copyEnd is the revision of the first full read of the present era, or zero when
	// the era has not risen since the first read.
	copyEnd kv.Revision
	// tombstones is the number of deleted entries, forgotten the newest revision of
	// those that were removed.
	tombstones int
	forgotten  kv.Revision
	// loaded is true once all entries have been read.
	loaded bool
	// changed is closed and replaced at each change.
	changed chan struct{}
	// unreachable is true after a failed call to the source. recoveredAt is when
	// a call last succeeded after a failed one.
	unreachable bool
	recoveredAt time.Time
	// lost is true while the source has been unreachable for lossGrace, which lossTimer
	// measures.
	lost      bool
	lossTimer *time.Timer
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{entries: map[string]entry{}, changed: make(chan struct{})}
}

// Replace replaces all entries by a list that was read at a revision. Entries and
// deletions of the mirror that are newer than the list stay. Entries of the list that
// are newer than its revision, from pages that were read later, are left to the watch.
// Replace returns code.KeyValueAway for a list of an earlier era than that of the mirror.
func (m *Mirror) Replace(entries []kv.Entry, at kv.Revision) *code.Error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginEra(at); err != nil {
		return err
	}
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Key] = true
		if e.Revision <= at {
			m.put(e, false)
		}
	}
	for key, stored := range m.entries {
		if !stored.deleted && !listed[key] && stored.Revision <= at {
			m.put(kv.Entry{Key: key, Revision: at}, true)
		}
	}
	m.advanceTo(at)
	if !m.loaded {
		m.loaded = true
		m.notifyWatchers()
	}
	return nil
}

// Apply applies changes, after which the copy is complete up to a revision. It returns
// code.HistoryGone for changes of another era, which do not continue the entries of the
// mirror.
func (m *Mirror) Apply(changes []kv.Change, at kv.Revision) *code.Error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Era() != m.revision.Era() {
		return code.New(code.HistoryGone, "the changes are of another era of the key-value service")
	}
	for _, change := range changes {
		m.put(change.Entry, change.Deleted)
	}
	m.advanceTo(at)
	return nil
}

// EntryRevision returns the revision of a key, or kv.Absent.
func (m *Mirror) EntryRevision(key string) kv.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries[key].Revision
}

// Revision returns the revision up to which the copy is complete.
func (m *Mirror) Revision() kv.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// RecordCall records whether a call to the source of the copy failed. The first
// successful call after a failed one is recorded before its result is applied,
// so that readers of the result see the new RecoveredAt.
func (m *Mirror) RecordCall(err *code.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil && !m.unreachable:
		m.unreachable = true
		m.lossTimer = time.AfterFunc(lossGrace, m.recordLoss)
	case err == nil && m.unreachable:
		m.unreachable = false
		m.lost = false
		m.lossTimer.Stop()
		m.recoveredAt = time.Now()
	}
}

// recordLoss ends the waits of the copies, which need another source.
func (m *Mirror) recordLoss() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost = m.unreachable
	m.notifyWatchers()
}

// isLost reports whether the source has been unreachable for lossGrace.
func (m *Mirror) isLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

// RecoveredAt returns when the source was last reached again after it had been
// unreachable, or zero.
func (m *Mirror) RecoveredAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recoveredAt
}

// put stores the state of a key unless the stored state is the same or newer. It
// ignores the deletion of a key that is not stored.
func (m *Mirror) put(e kv.Entry, deleted bool) {
	stored, exists := m.entries[e.Key]
	if exists && (e.Revision < stored.Revision || e.Revision == stored.Revision && deleted == stored.deleted) || !exists && deleted {
		return
	}
	if stored.deleted {
		m.tombstones--
	}
	if deleted {
		if m.tombstones >= maxTombstones {
			m.removeTombstones()
		}
		m.tombstones++
	}
	m.entries[e.Key] = entry{Entry: e, deleted: deleted}
	m.notifyWatchers()
}

// notifyWatchers wakes the calls that wait for a change.
func (m *Mirror) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// removeTombstones removes the entries of deleted keys.
func (m *Mirror) removeTombstones() {
	for key, stored := range m.entries {
		if stored.deleted {
			m.forgotten = max(m.forgotten, stored.Revision)
			delete(m.entries, key)
		}
	}
	m.tombstones = 0
}

// advanceTo raises the revision up to which the copy is complete. It never lowers
// it.
func (m *Mirror) advanceTo(at kv.Revision) {
	m.revision = max(m.revision, at)
}

// List returns the entries under a prefix and the revision of the copy. It waits
// until all entries have been read once, and returns code.KeyValueAway when the
// context is cancelled before that.
func (m *Mirror) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, *code.Error) {
	if err := m.awaitLoaded(ctx); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []kv.Entry
	for key, stored := range m.entries {
		if !stored.deleted && strings.HasPrefix(key, prefix) {
			entries = append(entries, stored.Entry)
		}
	}
	return entries, m.revision, nil
}

// Get returns an entry, or code.KeyMissing. It waits as List does.
func (m *Mirror) Get(ctx context.Context, key string) (kv.Entry, *code.Error) {
	if err := m.awaitLoaded(ctx); err != nil {
		return kv.Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	stored, exists := m.entries[key]
	if !exists || stored.deleted {
		return kv.Entry{}, code.New(code.KeyMissing, "the key-value service has no such key")
	}
	result := stored.Entry
	result.ServiceRevision = m.revision
	return result, nil
}

// awaitLoaded waits until all entries have been read once.
func (m *Mirror) awaitLoaded(ctx context.Context) *code.Error {
	for {
		m.mu.Lock()
		loaded, changed := m.loaded, m.changed
		m.mu.Unlock()
		if loaded {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return code.Wrap(code.KeyValueAway, "the entries of the key-value service are not known yet", ctx.Err())
		}
	}
}

// Copy returns what a copy of this mirror lacks: the changes after a revision,
// for which it waits up to wait, or all entries and snapshot true when the
// revision is 0 or of an earlier era, or deletions after it were forgotten. It returns
// code.KeyValueAway when the mirror is of an earlier era than the revision, or the last
// call to its source failed, and ends its wait lossGrace after that.
func (m *Mirror) Copy(ctx context.Context, after kv.Revision, wait time.Duration) (changes []kv.Change, at kv.Revision, snapshot bool, _ *code.Error) {
	if after > 0 {
		changes, at, err := m.copyChanges(ctx, after, wait)
		if err == nil || err.Code != code.HistoryGone {
			return changes, at, false, err
		}
	}
	entries, at, err := m.List(ctx, "")
	if err == nil {
		err = m.checkUpToDate()
	}
	for _, e := range entries {
		changes = append(changes, kv.Change{Entry: e})
	}
	return changes, at, true, err
}

// copyChanges returns the changes after a revision, or code.HistoryGone when they do not
// continue it.
func (m *Mirror) copyChanges(ctx context.Context, after kv.Revision, wait time.Duration) ([]kv.Change, kv.Revision, *code.Error) {
	if m.Revision().Era() < after.Era() {
		return nil, 0, code.New(code.KeyValueAway, "the entries are of an earlier era of the key-value service")
	}
	changes, at, err := m.watch(ctx, "", after, wait, m.isLost)
	if err == nil {
		err = m.checkUpToDate()
	}
	if err == nil && at.Era() != after.Era() {
		return nil, 0, code.New(code.HistoryGone, "the key-value service has reverted since the revision")
	}
	return changes, at, err
}

// checkUpToDate returns code.KeyValueAway when the last call to the source
// failed.
func (m *Mirror) checkUpToDate() *code.Error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unreachable {
		return code.New(code.KeyValueAway, "the entries of the key-value service are not up to date")
	}
	return nil
}

// Watch returns the changes under a prefix after a revision, and the revision to
// continue from. It waits up to wait for a change; without one it returns none. It
// returns code.HistoryGone when deletions after the revision were forgotten; the caller
// must then list again.
func (m *Mirror) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Change, kv.Revision, *code.Error) {
	return m.watch(ctx, prefix, after, wait, func() bool { return false })
}

// watch is Watch, whose wait ends without a change when isOver reports true after
// notifyWatchers was called.
func (m *Mirror) watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration, isOver func() bool) ([]kv.Change, kv.Revision, *code.Error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, at, changed, known := m.changesSince(prefix, after)
		if !known {
			return nil, 0, code.New(code.HistoryGone, "the deletions since the revision were forgotten")
		}
		if len(changes) > 0 {
			return changes, at, nil
		}
		if isOver() {
			return nil, max(after, at), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, max(after, at), nil
		case <-ctx.Done():
			return nil, 0, code.Wrap(code.KeyValueAway, "the wait for changes was ended", ctx.Err())
		}
	}
}

// changesSince returns the changes after a revision, the revision to continue from, and
// a channel that is closed at the next change. known is false when deletions after the
// revision were forgotten.
func (m *Mirror) changesSince(prefix string, after kv.Revision) (changes []kv.Change, at kv.Revision, changed <-chan struct{}, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.forgotten {
		return nil, 0, nil, false
	}
	for key, stored := range m.entries {
		if stored.Revision > after && strings.HasPrefix(key, prefix) {
			changes = append(changes, kv.Change{Entry: stored.Entry, Deleted: stored.deleted})
		}
	}
	return changes, m.revision, m.changed, true
}
