// Package kv is a small stand-in for the platform's key-value service. It
// implements the service in-process and as an HTTP handler.
package kv

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
)

// Operation names a kind of call.
type Operation string

// The operations of the service.
const (
	OpGet    Operation = "get"
	OpList   Operation = "list"
	OpPut    Operation = "put"
	OpDelete Operation = "delete"
	OpGrant  Operation = "grant"
	OpRenew  Operation = "renew"
	OpWatch  Operation = "watch"
)

// Options limits the service.
type Options struct {
	// ReadRate and WriteRate are in calls per second; 0 means no limit.
	ReadRate  float64
	WriteRate float64
}

// lease is a lease that exists. Its timer ends it.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Store is the service. The mutex guards all fields below it.
type Store struct {
	reads  *rate.Limiter
	writes *rate.Limiter

	mu       sync.Mutex
	revision kv.Revision
	entries  map[string]kv.Entry
	// deleted holds the revision at which a key was deleted.
	deleted   map[string]kv.Revision
	leases    map[kv.LeaseID]*lease
	nextLease int
	// changed is closed at each change and replaced.
	changed   chan struct{}
	calls     map[Operation]int
	outage    bool
	delay     time.Duration
	loseNext  int
	loseEvery int
	written   int
}

var _ kv.Service = (*Store)(nil)

// NewStore returns an empty service.
func NewStore(options Options) *Store {
	return &Store{
		reads:   limiter(options.ReadRate),
		writes:  limiter(options.WriteRate),
		entries: make(map[string]kv.Entry),
		deleted: make(map[string]kv.Revision),
		leases:  make(map[kv.LeaseID]*lease),
		changed: make(chan struct{}),
		calls:   make(map[Operation]int),
	}
}

// limiter allows a burst of one second.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Get returns an entry, or code.KeyMissing.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, *code.Error) {
	if err := s.begin(ctx, OpGet, s.reads); err != nil {
		return kv.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return kv.Entry{}, code.Newf(code.KeyMissing, "no key %q", key)
	}
	return entry, nil
}

// List returns the entries under a prefix in the order of their keys.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, *code.Error) {
	if err := s.begin(ctx, OpList, s.reads); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []kv.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, s.revision, nil
}

// Put writes one key by compare-and-swap.
func (s *Store) Put(ctx context.Context, write kv.Write) (kv.Revision, *code.Error) {
	if len(write.Value) > kv.MaxValueBytes {
		return 0, code.Newf(code.BodyTooLarge, "the value is larger than %d bytes", kv.MaxValueBytes)
	}
	if err := s.begin(ctx, OpPut, s.writes); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.entries[write.Key].Revision; current != write.Expected {
		return 0, code.Newf(code.CompareFailed, "the key has revision %d instead of %d", current, write.Expected)
	}
	if write.Lease != "" && s.leases[write.Lease] == nil {
		return 0, code.New(code.LeaseLapsed, "the lease does not exist")
	}
	s.revision++
	value := append([]byte(nil), write.Value...)
	s.entries[write.Key] = kv.Entry{Key: write.Key, Value: value, Revision: s.revision, Lease: write.Lease}
	delete(s.deleted, write.Key)
	s.notify()
	return s.revision, s.lost()
}

// Delete removes a key with the expected revision, or returns
// code.CompareFailed.
func (s *Store) Delete(ctx context.Context, key string, expected kv.Revision) *code.Error {
	if err := s.begin(ctx, OpDelete, s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.entries[key]
	if !exists || current.Revision != expected {
		return code.Newf(code.CompareFailed, "the key has revision %d instead of %d", current.Revision, expected)
	}
	s.remove(key)
	s.notify()
	return s.lost()
}

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, *code.Error) {
	if ttl <= 0 {
		return "", code.New(code.MalformedBody, "the time to live is not positive")
	}
	if err := s.begin(ctx, OpGrant, s.writes); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := kv.LeaseID("lease-" + strconv.Itoa(s.nextLease))
	s.startLease(id, ttl)
	return id, s.lost()
}

// Renew extends a lease by its ttl, or returns code.LeaseLapsed.
func (s *Store) Renew(ctx context.Context, id kv.LeaseID) *code.Error {
	if err := s.begin(ctx, OpRenew, s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil {
		return code.New(code.LeaseLapsed, "the lease does not exist")
	}
	held.timer.Stop()
	s.startLease(id, held.ttl)
	return s.lost()
}

// begin counts a call and applies the delay, the outage and the rate limit.
func (s *Store) begin(ctx context.Context, operation Operation, limit *rate.Limiter) *code.Error {
	s.mu.Lock()
	s.calls[operation]++
	delay := s.delay
	s.mu.Unlock()
	if err := wait(ctx, delay); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return away()
	}
	if !limit.Allow() {
		return code.New(code.RateLimited, "the call is over the rate limit")
	}
	return nil
}

func away() *code.Error {
	return code.New(code.KeyValueAway, "the key-value service is away")
}

func wait(ctx context.Context, d time.Duration) *code.Error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return code.Wrap(code.KeyValueAway, "the call was given up", ctx.Err())
	case <-timer.C:
		return nil
	}
}

// lost counts a write that took effect and returns an error when its
// response is lost.
func (s *Store) lost() *code.Error {
	s.written++
	if s.loseNext > 0 {
		s.loseNext--
		return away()
	}
	if s.loseEvery > 0 && s.written%s.loseEvery == 0 {
		return away()
	}
	return nil
}

// startLease makes a lease exist for its ttl.
func (s *Store) startLease(id kv.LeaseID, ttl time.Duration) {
	held := &lease{ttl: ttl}
	held.timer = time.AfterFunc(ttl, func() { s.lapse(id, held) })
	s.leases[id] = held
}

// lapse ends a lease and deletes its keys. A non-nil lease must still be the
// current one, because a timer may fire while the lease is renewed.
func (s *Store) lapse(id kv.LeaseID, expected *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil || (expected != nil && held != expected) {
		return
	}
	held.timer.Stop()
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.entries, key)
	s.deleted[key] = s.revision
}

// notify wakes the waiting watches.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
