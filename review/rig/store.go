package rig

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform's store.
const (
	pageItems = 500
	pageBytes = 1 << 20
	minTTL    = time.Second
	maxTTL    = 10 * time.Minute
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type grant struct {
	ttl time.Duration
	end time.Time
}

// Store is the platform's metadata store. It is sound and loses nothing.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	grants   map[uint64]*grant
	changed  chan struct{}
}

func newStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, grants: map[uint64]*grant{}, changed: make(chan struct{})}
}

// Put writes a value, as the operator or a server does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, data, 0)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Keys returns the keys under a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys(prefix, "")
}

func (s *Store) keys(prefix, after string) []string {
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) write(key string, value []byte, lease uint64) {
	written := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if before, exists := s.items[key]; exists {
		written.Created = before.Created
	}
	s.items[key] = written
	s.record(written)
}

func (s *Store) remove(key string) {
	if _, exists := s.items[key]; exists {
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *Store) record(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	for id, g := range s.grants {
		if time.Now().After(g.end) {
			s.end(id)
		}
	}
}

func (s *Store) end(id uint64) {
	delete(s.grants, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

// Handler returns the calls of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.handleKey)
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	mux.HandleFunc("POST /kv-txn", s.handleTxn)
	mux.HandleFunc("POST /kv-lease", s.handleLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.handleEnd)
	return mux
}

func (s *Store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	found, exists := s.items[r.URL.Query().Get("key")]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		At uint64 `json:"at"`
	}{found, s.revision})
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	items, more, size := []item{}, false, 0
	for _, key := range s.keys(query.Get("path_prefix"), query.Get("after")) {
		size += len(s.items[key].Value)
		if more = len(items) == pageItems || len(items) > 0 && size > pageBytes; more {
			break
		}
		items = append(items, s.items[key])
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "at": s.revision})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events, at, changed := []item{}, s.revision, s.changed
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("path_prefix")) {
				events = append(events, change)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, differs := []item{}, false
	for _, expected := range call.Expected {
		current = append(current, s.items[expected.Key])
		differs = differs || s.items[expected.Key].Revision != expected.Revision
	}
	if differs {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	for _, written := range call.Writes {
		switch {
		case strings.HasPrefix(written.Key, "op/") || strings.HasPrefix(written.Key, "servers/"):
			w.WriteHeader(http.StatusForbidden)
			return
		case written.Lease != 0 && s.grants[written.Lease] == nil:
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, written := range call.Writes {
		s.write(written.Key, written.Value, written.Lease)
	}
	for _, key := range call.Remove {
		s.remove(key)
	}
	writeJSON(w, map[string]uint64{"revision": s.revision})
}

// handleLease grants a lease with the time that applies: from a second to ten minutes.
func (s *Store) handleLease(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(call.TTLMS)*time.Millisecond, minTTL), maxTTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.grants[s.revision] = &grant{ttl: ttl, end: time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
}

func (s *Store) handleKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	g := s.grants[id]
	if g == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	g.end = time.Now().Add(g.ttl)
	writeJSON(w, map[string]int64{"ttl_ms": g.ttl.Milliseconds()})
}

func (s *Store) handleEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.end(id)
	writeJSON(w, struct{}{})
}
