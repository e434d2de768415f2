package kv

import (
	"time"

	"tanagerspread/client/kv"
)

// SetOutage starts or ends an outage. Calls during an outage have no effect
// and return code.KeyValueAway; waiting watches end at once.
func (s *Store) SetOutage(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = out
	s.notify()
}

// SetDelay makes each later call wait before it takes effect.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// LoseNext loses the responses of the next n writes after they took effect.
func (s *Store) LoseNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// LoseEvery loses the response of every n-th write after it took effect; 0
// ends the fault.
func (s *Store) LoseEvery(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseEvery = n
}

// Lapse ends a lease now, as if it had not been renewed.
func (s *Store) Lapse(lease kv.LeaseID) {
	s.lapse(lease, nil)
}

// Leases returns the identifiers of the leases that exist.
func (s *Store) Leases() []kv.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]kv.LeaseID, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	return ids
}

// Calls returns how often each operation was called. A waiting watch is one
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

// Copy is the content of the service at one time.
type Copy struct {
	revision kv.Revision
	entries  map[string]kv.Entry
	deleted  map[string]kv.Revision
	ttls     map[kv.LeaseID]time.Duration
}

// Copy returns a copy of the content for Restore.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{
		revision: s.revision,
		entries:  make(map[string]kv.Entry, len(s.entries)),
		deleted:  make(map[string]kv.Revision, len(s.deleted)),
		ttls:     make(map[kv.LeaseID]time.Duration, len(s.leases)),
	}
	for key, entry := range s.entries {
		c.entries[key] = entry
	}
	for key, revision := range s.deleted {
		c.deleted[key] = revision
	}
	for id, held := range s.leases {
		c.ttls[id] = held.ttl
	}
	return c
}

// Restore replaces the content with an older copy. Revisions go back to those
// of the copy, later leases are gone, and the leases of the copy start anew.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = c.revision
	s.entries = make(map[string]kv.Entry, len(c.entries))
	for key, entry := range c.entries {
		s.entries[key] = entry
	}
	s.deleted = make(map[string]kv.Revision, len(c.deleted))
	for key, revision := range c.deleted {
		s.deleted[key] = revision
	}
	for _, held := range s.leases {
		held.timer.Stop()
	}
	s.leases = make(map[kv.LeaseID]*lease, len(c.ttls))
	for id, ttl := range c.ttls {
		s.startLease(id, ttl)
	}
	s.notify()
}
