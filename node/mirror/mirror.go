// Package mirror keeps a copy of the entries of the key-value service in the
// memory of a node. A few nodes of each failure domain watch the service; the
// others copy the mirror of one of them, so that the calls of the service do not
// grow with the fleet. It decides nothing: the control thread names the node to
// copy from.
package mirror

import (
	"context"
	"strings"
	"sync"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
)

// maxTombstones bounds the deleted keys that are remembered.
const maxTombstones = 4096

// entry is the newest known state of one key.
type entry struct {
	kv.Entry
	deleted bool
}

// Mirror is the copy. It may be used by any goroutine.
type Mirror struct {
	mu      sync.Mutex
	entries map[string]entry
	// at is the revision up to which the copy is complete.
	at kv.Revision
	// filled is true once all entries have been read.
	filled  bool
	changed chan struct{}
	// away is true after a failed read, and regained is when one succeeded after
	// that.
	away     bool
	regained time.Time
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{entries: map[string]entry{}, changed: make(chan struct{})}
}

// Replace takes over all entries as they were at a revision. Newer changes that
// are known already stay.
func (m *Mirror) Replace(entries []kv.Entry, at kv.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Key] = true
		m.put(e, false)
	}
	for key, known := range m.entries {
		if !known.deleted && !listed[key] && known.Revision <= at {
			m.put(kv.Entry{Key: key, Revision: at}, true)
		}
	}
	m.advance(at)
	if !m.filled {
		m.filled = true
		m.wake()
	}
}

// Apply takes over changes after which the copy is complete up to a revision.
func (m *Mirror) Apply(changes []kv.Change, at kv.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, change := range changes {
		m.put(change.Entry, change.Deleted)
	}
	m.advance(at)
}

// NoteCall records whether the source of the copy is away. The end of an outage
// is noted before what the first good call returned is taken over.
func (m *Mirror) NoteCall(err *code.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil:
		m.away = true
	case m.away:
		m.away = false
		m.regained = time.Now()
	}
}

// Regained returns when the source was reached again after an outage, or zero.
func (m *Mirror) Regained() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.regained
}

// put stores the state of a key unless a newer one is known.
func (m *Mirror) put(e kv.Entry, deleted bool) {
	known, exists := m.entries[e.Key]
	if exists && (e.Revision < known.Revision || e.Revision == known.Revision && deleted == known.deleted) || !exists && deleted {
		return
	}
	if len(m.entries) >= maxTombstones {
		m.forgetDeleted()
	}
	m.entries[e.Key] = entry{Entry: e, deleted: deleted}
	m.wake()
}

func (m *Mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Mirror) forgetDeleted() {
	for key, known := range m.entries {
		if known.deleted {
			delete(m.entries, key)
		}
	}
}

func (m *Mirror) advance(at kv.Revision) {
	m.at = max(m.at, at)
}

// List returns the entries under a prefix. It waits until all entries have been
// read once, and returns code.KeyValueAway when the context ends before.
func (m *Mirror) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, *code.Error) {
	if err := m.awaitFilled(ctx); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []kv.Entry
	for key, known := range m.entries {
		if !known.deleted && strings.HasPrefix(key, prefix) {
			out = append(out, known.Entry)
		}
	}
	return out, m.at, nil
}

// Get returns an entry, or code.KeyMissing. It waits like List.
func (m *Mirror) Get(ctx context.Context, key string) (kv.Entry, *code.Error) {
	if err := m.awaitFilled(ctx); err != nil {
		return kv.Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known, exists := m.entries[key]
	if !exists || known.deleted {
		return kv.Entry{}, code.New(code.KeyMissing, "the key-value service has no such key")
	}
	found := known.Entry
	found.ServiceRevision = m.at
	return found, nil
}

func (m *Mirror) awaitFilled(ctx context.Context) *code.Error {
	for {
		m.mu.Lock()
		filled, changed := m.filled, m.changed
		m.mu.Unlock()
		if filled {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return code.Wrap(code.KeyValueAway, "the entries of the key-value service are not known yet", ctx.Err())
		}
	}
}

// Copy returns what a copy of this mirror lacks after a revision: its changes,
// or all entries when whole is true. It returns code.KeyValueAway while the
// mirror itself is not up to date.
func (m *Mirror) Copy(ctx context.Context, after kv.Revision, wait time.Duration) (changes []kv.Change, at kv.Revision, whole bool, _ *code.Error) {
	if after > 0 {
		changes, at, err := m.Watch(ctx, "", after, wait)
		if err == nil {
			err = m.current()
		}
		return changes, at, false, err
	}
	entries, at, err := m.List(ctx, "")
	if err == nil {
		err = m.current()
	}
	for _, e := range entries {
		changes = append(changes, kv.Change{Entry: e})
	}
	return changes, at, true, err
}

// current returns code.KeyValueAway when the last read has failed.
func (m *Mirror) current() *code.Error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return code.New(code.KeyValueAway, "the entries of the key-value service are not up to date")
	}
	return nil
}

// Watch waits for changes under a prefix after a revision. It returns none when
// none came within the wait.
func (m *Mirror) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Change, kv.Revision, *code.Error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, at, changed := m.since(prefix, after)
		if len(changes) > 0 {
			return changes, at, nil
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

// since returns the changes after a revision, the revision to continue from,
// and a channel that is closed at the next change.
func (m *Mirror) since(prefix string, after kv.Revision) ([]kv.Change, kv.Revision, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changes []kv.Change
	highest := m.at
	for key, known := range m.entries {
		if known.Revision > after && strings.HasPrefix(key, prefix) {
			changes = append(changes, kv.Change{Entry: known.Entry, Deleted: known.deleted})
			highest = max(highest, known.Revision)
		}
	}
	return changes, highest, m.changed
}
