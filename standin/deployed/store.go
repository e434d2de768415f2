// Package deployed provides small stand-ins for the services of the users'
// machines: the metadata store, a server of a plain service, and a model server.
// They implement the published protocol, and tests can inject faults.
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

const (
	// pageSize is the number of items in one page of a range.
	pageSize = 50
	// pageBytes bounds the values in one page of a range, except for its first item.
	pageBytes = 1 << 20
)

// Item is one version of a key in the store.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	// Created is the revision at which the key was created.
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the metadata store. Its methods may be called by any goroutine; the
// mutex guards all fields.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	// compactedRevision is the newest revision that is no longer in history.
	compactedRevision uint64
	leases            map[uint64]*lease
	// changed is closed and replaced by notifyWatches.
	changed chan struct{}
	// errorStatus is the HTTP status of every response; 0 means no failure.
	errorStatus    int
	watchesStalled bool
	// loseNextResponses is the number of next transactions that take effect
	// without a response.
	loseNextResponses int
	callCounts        map[string]int
	// era is the value of the header Store-Era; without one, the header is not sent.
	era uint64
}

// NewStore returns an empty store at revision 1.
func NewStore() *Store {
	return &Store{
		revision: 1, items: map[string]Item{}, leases: map[uint64]*lease{},
		changed: make(chan struct{}), callCounts: map[string]int{},
	}
}

// Put writes a value as JSON, as the operator or a server does. It panics when the
// value cannot be encoded.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutBytes(key, data)
}

// PutBytes writes a value that need not be valid JSON.
func (s *Store) PutBytes(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(Item{Key: key, Value: value})
}

// Remove deletes a key. It uses up a revision even when the key does not exist.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// SetErrorStatus makes every call fail with an HTTP status; 0 ends the failure.
// Connections of waiting watches are closed when the status is not 0.
func (s *Store) SetErrorStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errorStatus = status
	s.notifyWatches()
}

// SetWatchesStalled makes watches deliver no changes while it is set.
func (s *Store) SetWatchesStalled(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesStalled = stalled
}

// LoseNextResponses loses the responses of the next n transactions, which take
// effect. It replaces the number of an earlier call.
func (s *Store) LoseNextResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNextResponses = n
}

// CompactHistory discards the history of all changes so far. Watches that start at
// an older revision get 410 Gone.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRevision = s.revision
	s.notifyWatches()
}

// Calls returns the number of calls of a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[path]
}

// Value returns the value of a key, or nil when the key does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.items[key].Value
}

// Handler returns the routes of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.handleGet)
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	mux.HandleFunc("POST /kv-txn", s.handleTxn)
	mux.HandleFunc("POST /kv-lease", s.handleGrant)
	mux.HandleFunc("POST /kv-keep/{id}", s.handleKeepAlive)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.handleLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.callCounts[r.URL.Path]++
		status := s.errorStatus
		s.setEraHeader(w)
		s.mu.Unlock()
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// lock locks the store for a response: it sets the header Store-Era and ends the leases
// that are due.
func (s *Store) lock(w http.ResponseWriter) {
	s.mu.Lock()
	s.setEraHeader(w)
	s.expire()
}

func (s *Store) write(item Item) {
	item.Revision = s.revision
	item.Created = s.revision
	if previous, exists := s.items[item.Key]; exists {
		item.Created = previous.Created
	}
	s.items[item.Key] = item
	s.history = append(s.history, item)
	s.notifyWatches()
}

func (s *Store) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
	s.notifyWatches()
}

// notifyWatches wakes all waiting watches.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases whose TTL has elapsed and removes their keys.
func (s *Store) expire() {
	for id, granted := range s.leases {
		if time.Now().Before(granted.expires) {
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

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.lock(w)
	defer s.mu.Unlock()
	item, exists := s.items[r.URL.Query().Get("key")]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		Item
		At uint64 `json:"at"`
	}{item, s.revision})
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.lock(w)
	defer s.mu.Unlock()
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
	}{Items: []Item{}, At: s.revision}
	size := 0
	for _, key := range keys {
		size += len(s.items[key].Value)
		if reply.HasMore = len(reply.Items) == pageSize || len(reply.Items) > 0 && size > pageBytes; reply.HasMore {
			break
		}
		reply.Items = append(reply.Items, s.items[key])
	}
	writeJSON(w, reply)
}

// handleWatch responds as soon as there is a change under the prefix, or with an
// empty list when the wait time of the call is over.
func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after := queryUint(query, "after")
	timeout := time.NewTimer(time.Duration(queryUint(query, "wait_ms")) * time.Millisecond)
	defer timeout.Stop()
	startEra := s.Era()
	for {
		s.lock(w)
		if s.errorStatus != 0 || s.era != startEra {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // net/http closes the connection.
		}
		if (after < s.compactedRevision || after > s.revision) && !s.watchesStalled {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, at, changed := s.changesSince(query.Get("path_prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, map[string]any{"events": []Item{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) changesSince(prefix string, after uint64) []Item {
	if s.watchesStalled {
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

func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expected []Item   `json:"expected"`
		Writes   []Item   `json:"writes"`
		Remove   []string `json:"remove"`
	}
	if !decode(w, r, &request) {
		return
	}
	s.lock(w)
	defer s.mu.Unlock()
	for _, expected := range request.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, item := range request.Writes {
		if item.Lease != 0 && s.leases[item.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, item := range request.Writes {
		s.write(item)
	}
	for _, key := range request.Remove {
		s.remove(key)
	}
	if s.loseNextResponses > 0 {
		s.loseNextResponses--
		panic(http.ErrAbortHandler) // net/http closes the connection.
	}
	writeJSON(w, map[string]uint64{"revision": s.revision})
}

func (s *Store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if !decode(w, r, &request) {
		return
	}
	s.lock(w)
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(request.TTLMS) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.revision, "ttl_ms": request.TTLMS})
}

func (s *Store) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	s.lock(w)
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	granted := s.leases[id]
	if granted == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	granted.expires = time.Now().Add(granted.ttl)
	writeJSON(w, map[string]int64{"ttl_ms": granted.ttl.Milliseconds()})
}

func (s *Store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	s.lock(w)
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.endLease(id)
	writeJSON(w, struct{}{})
}

// queryUint returns the value of a query parameter, or 0 when the parameter is
// missing or not a number.
func queryUint(query url.Values, name string) uint64 {
	value, err := strconv.ParseUint(query.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// decode decodes the body of a call. It returns false and responds with 400 when
// the body is not valid.
func decode(w http.ResponseWriter, r *http.Request, request any) bool {
	if json.NewDecoder(r.Body).Decode(request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only when the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}
