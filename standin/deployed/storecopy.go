package deployed

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// headerEra is the header that tells how often the store has come back from a copy.
const headerEra = "Store-Era"

// StoreCopy is the state of a store at one moment.
type StoreCopy struct {
	revision          uint64
	items             map[string]Item
	history           []Item
	compactedRevision uint64
	// leases has the TTL of each lease.
	leases map[uint64]time.Duration
}

// SetEra sets the header Store-Era of all responses; with 0 there is none.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Era returns the value of the header Store-Era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Copy returns a copy of the store, to which Revert can return.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	c := StoreCopy{
		revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history),
		compactedRevision: s.compactedRevision, leases: map[uint64]time.Duration{},
	}
	for id, granted := range s.leases {
		c.leases[id] = granted.ttl
	}
	return c
}

// Revert returns to a copy and begins the next era. What was written and granted since the
// copy is gone, and its revisions are assigned again. The leases of the copy start
// again with their whole TTL. Waiting watches are closed.
func (s *Store) Revert(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compactedRevision = c.revision, c.compactedRevision
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.leases = map[uint64]*lease{}
	for id, ttl := range c.leases {
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	}
	s.notifyWatches()
}

// setEraHeader sets the header Store-Era of a response. The caller holds mu.
func (s *Store) setEraHeader(w http.ResponseWriter) {
	if s.era != 0 {
		w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
	}
}
