// Package deployed has small stand-ins for the services of the users' machines:
// the metadata store, a server of a plain service, and a model server. They
// speak the published protocol and can be told to fail.
package deployed

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items in one page of a range.
const pageItems = 50

// Item is one key of the store.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the metadata store. Its methods may be called by any goroutine.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	// dropped is the newest revision whose history is gone.
	dropped uint64
	leases  map[uint64]*lease
	changed chan struct{}
	// status is what every call gets, or 0.
	status int
	deaf   bool
	// lost is the number of writes that are done and not answered.
	lost  int
	calls map[string]int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1, items: map[string]Item{}, leases: map[uint64]*lease{},
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// Put writes a key as the operator or a server does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutBytes(key, data)
}

// PutBytes writes a key with any bytes.
func (s *Store) PutBytes(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(Item{Key: key, Value: value})
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Fail makes every call end with a status; 0 ends the failure. Waiting watches
// are cut.
func (s *Store) Fail(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
	s.wake()
}

// SetDeaf makes watches say nothing while changes are made.
func (s *Store) SetDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

// LoseWrites makes the next writes take effect without an answer.
func (s *Store) LoseWrites(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = count
}

// DropHistory forgets the changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.dropped = s.revision
	s.wake()
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Value returns the value of a key, or nil.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.items[key].Value
}

// Handler returns the routes of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		status := s.status
		s.mu.Unlock()
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) write(item Item) {
	item.Revision = s.revision
	item.Created = s.revision
	if before, exists := s.items[item.Key]; exists {
		item.Created = before.Created
	}
	s.items[item.Key] = item
	s.history = append(s.history, item)
	s.wake()
}

func (s *Store) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases whose time has passed and removes their keys.
func (s *Store) expire() {
	for id, held := range s.leases {
		if time.Now().Before(held.expires) {
			continue
		}
		s.endLease(id)
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, exists := s.items[r.URL.Query().Get("key")]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		Item
		At uint64 `json:"at"`
	}{item, s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	query := r.URL.Query()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("path_prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	reply := struct {
		Items   []Item `json:"items"`
		HasMore bool   `json:"has_more"`
		At      uint64 `json:"at"`
	}{Items: []Item{}, HasMore: len(keys) > pageItems, At: s.revision}
	for _, key := range keys[:min(len(keys), pageItems)] {
		reply.Items = append(reply.Items, s.items[key])
	}
	answer(w, reply)
}

// watch answers as soon as there is a change, or after the wait.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after := number(query, "after")
	timeout := time.NewTimer(time.Duration(number(query, "wait_ms")) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		s.expire()
		if s.status != 0 {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // net/http closes the connection.
		}
		if after < s.dropped && !s.deaf {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, at, changed := s.since(query.Get("path_prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			answer(w, map[string]any{"events": []Item{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, after uint64) []Item {
	if s.deaf {
		return nil
	}
	var events []Item
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []Item   `json:"expected"`
		Writes   []Item   `json:"writes"`
		Remove   []string `json:"remove"`
	}
	if !decode(w, r, &call) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, expected := range call.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, item := range call.Writes {
		if item.Lease != 0 && s.leases[item.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, item := range call.Writes {
		s.write(item)
	}
	for _, key := range call.Remove {
		s.remove(key)
	}
	if s.lost > 0 {
		s.lost--
		panic(http.ErrAbortHandler) // net/http closes the connection.
	}
	answer(w, map[string]uint64{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if !decode(w, r, &call) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(call.TTLMS) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	answer(w, map[string]any{"lease": s.revision, "ttl_ms": call.TTLMS})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	held := s.leases[id]
	if held == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	held.expires = time.Now().Add(held.ttl)
	answer(w, map[string]int64{"ttl_ms": held.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.endLease(id)
	answer(w, struct{}{})
}

func number(query url.Values, name string) uint64 {
	value, err := strconv.ParseUint(query.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// decode reads the body of a call, or refuses it.
func decode(w http.ResponseWriter, r *http.Request, call any) bool {
	if json.NewDecoder(r.Body).Decode(call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has left.
	_ = json.NewEncoder(w).Encode(value)
}
