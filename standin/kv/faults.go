package kv

import (
	"time"

	"tanagerspread/client/kv"
)

// SetUnreachable sets whether the service is unreachable. Calls to an unreachable
// service have no effect and return code.KeyValueAway. Waiting watches return it
// immediately.
func (s *Store) SetUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
	s.notify()
}

// SetDelay sets the time by which each later call is delayed before it takes
// effect.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// LoseNextResponses loses the responses of the next n writes, which take effect.
func (s *Store) LoseNextResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNextResponses = n
}

// LoseResponseEvery loses the response of every n-th write, which takes effect.
// Zero stops the fault.
func (s *Store) LoseResponseEvery(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseResponseEvery = n
}

// ExpireLease expires a lease immediately, as if it had not been renewed.
func (s *Store) ExpireLease(lease kv.LeaseID) {
	s.expireLease(lease, nil)
}

// Leases returns the identifiers of the unexpired leases.
func (s *Store) Leases() []kv.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]kv.LeaseID, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	return ids
}

// Calls returns the number of calls of each operation. A waiting watch is one
// call.
func (s *Store) Calls() map[Operation]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[Operation]int, len(s.calls))
	for operation, count := range s.calls {
		calls[operation] = count
	}
	return calls
}

// Snapshot is the content of the service at one point in time.
type Snapshot struct {
	revision kv.Revision
	entries  map[string]kv.Entry
	deleted  map[string]kv.Revision
	ttls     map[kv.LeaseID]time.Duration
}

// Snapshot returns a copy of the content, to be passed to Restore.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := Snapshot{
		revision: s.revision,
		entries:  make(map[string]kv.Entry, len(s.entries)),
		deleted:  make(map[string]kv.Revision, len(s.deleted)),
		ttls:     make(map[kv.LeaseID]time.Duration, len(s.leases)),
	}
	for key, entry := range s.entries {
		snapshot.entries[key] = entry
	}
	for key, revision := range s.deleted {
		snapshot.deleted[key] = revision
	}
	for id, current := range s.leases {
		snapshot.ttls[id] = current.ttl
	}
	return snapshot
}

// Restore replaces the content with a snapshot, as when the service is restored
// from a backup. The revision is reset to that of the snapshot. Leases that were
// granted after the snapshot cease to exist, and the leases of the snapshot are
// valid for their whole time to live again.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = snapshot.revision
	s.entries = make(map[string]kv.Entry, len(snapshot.entries))
	for key, entry := range snapshot.entries {
		s.entries[key] = entry
	}
	s.deleted = make(map[string]kv.Revision, len(snapshot.deleted))
	for key, revision := range snapshot.deleted {
		s.deleted[key] = revision
	}
	for _, current := range s.leases {
		current.timer.Stop()
	}
	s.leases = make(map[kv.LeaseID]*lease, len(snapshot.ttls))
	for id, ttl := range snapshot.ttls {
		s.startLease(id, ttl)
	}
	s.notify()
}
