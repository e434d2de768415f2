// Package kv is a stand-in for the platform's key-value service with fault
// injection. It implements the service in-process and as an HTTP handler.
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

// Operation is a kind of call.
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

// Options configures the rate limits of the service.
type Options struct {
	// ReadRate and WriteRate are in calls per second; 0 means no limit.
	ReadRate  float64
	WriteRate float64
}

// lease is an unexpired lease. Its timer expires it.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Store is the key-value service; the stand-in for a store VM is package
// standin/store. The mutex guards all fields below it.
type Store struct {
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	mu       sync.Mutex
	revision kv.Revision
	entries  map[string]kv.Entry
	// deleted maps each deleted key to the revision of the deletion.
	deleted   map[string]kv.Revision
	leases    map[kv.LeaseID]*lease
	nextLease int
	// changed is closed and replaced on each change of the content or of the
	// field unreachable.
	changed           chan struct{}
	calls             map[Operation]int
	unreachable       bool
	delay             time.Duration
	loseNextResponses int
	loseResponseEvery int
	writeCount        int
}

var _ kv.Service = (*Store)(nil)

// NewStore returns a key-value service without keys.
func NewStore(options Options) *Store {
	return &Store{
		readLimiter:  newLimiter(options.ReadRate),
		writeLimiter: newLimiter(options.WriteRate),
		entries:      make(map[string]kv.Entry),
		deleted:      make(map[string]kv.Revision),
		leases:       make(map[kv.LeaseID]*lease),
		changed:      make(chan struct{}),
		calls:        make(map[Operation]int),
	}
}

// newLimiter returns a limiter with a burst of one second's calls. A rate of 0
// means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Get returns the entry of a key, or code.KeyMissing.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, *code.Error) {
	if err := s.startCall(ctx, OpGet, s.readLimiter); err != nil {
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

// List returns the entries under a prefix, sorted by key, and the current
// revision.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, *code.Error) {
	if err := s.startCall(ctx, OpList, s.readLimiter); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []kv.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries, s.revision, nil
}

// Put writes one key by compare-and-swap and returns its new revision. It returns
// code.CompareFailed when the key does not have the expected revision and
// code.LeaseLapsed when the lease does not exist.
func (s *Store) Put(ctx context.Context, write kv.Write) (kv.Revision, *code.Error) {
	if len(write.Value) > kv.MaxValueBytes {
		return 0, code.Newf(code.BodyTooLarge, "the value is larger than %d bytes", kv.MaxValueBytes)
	}
	if err := s.startCall(ctx, OpPut, s.writeLimiter); err != nil {
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
	return s.revision, s.finishWrite()
}

// Delete removes a key by compare-and-swap. It returns code.CompareFailed when
// the key does not have the expected revision.
func (s *Store) Delete(ctx context.Context, key string, expected kv.Revision) *code.Error {
	if err := s.startCall(ctx, OpDelete, s.writeLimiter); err != nil {
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
	return s.finishWrite()
}

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, *code.Error) {
	if ttl <= 0 {
		return "", code.New(code.MalformedBody, "the time to live is not positive")
	}
	if err := s.startCall(ctx, OpGrant, s.writeLimiter); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := kv.LeaseID("lease-" + strconv.Itoa(s.nextLease))
	s.startLease(id, ttl)
	return id, s.finishWrite()
}

// Renew restarts the time to live of a lease. It returns code.LeaseLapsed when the
// lease does not exist.
func (s *Store) Renew(ctx context.Context, id kv.LeaseID) *code.Error {
	if err := s.startCall(ctx, OpRenew, s.writeLimiter); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.leases[id]
	if current == nil {
		return code.New(code.LeaseLapsed, "the lease does not exist")
	}
	current.timer.Stop()
	s.startLease(id, current.ttl)
	return s.finishWrite()
}

// startCall counts a call and applies the delay. It returns an error when the
// service is unreachable or the call exceeds the rate limit.
func (s *Store) startCall(ctx context.Context, operation Operation, limiter *rate.Limiter) *code.Error {
	s.mu.Lock()
	s.calls[operation]++
	delay := s.delay
	s.mu.Unlock()
	if err := wait(ctx, delay); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return unreachableError()
	}
	if !limiter.Allow() {
		return code.New(code.RateLimited, "the call is over the rate limit")
	}
	return nil
}

func unreachableError() *code.Error {
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

// finishWrite counts a write that took effect. It returns an error when an
// injected fault loses the response.
func (s *Store) finishWrite() *code.Error {
	s.writeCount++
	if s.loseNextResponses > 0 {
		s.loseNextResponses--
		return unreachableError()
	}
	if s.loseResponseEvery > 0 && s.writeCount%s.loseResponseEvery == 0 {
		return unreachableError()
	}
	return nil
}

// startLease starts or restarts a lease that expires after ttl.
func (s *Store) startLease(id kv.LeaseID, ttl time.Duration) {
	newLease := &lease{ttl: ttl}
	newLease.timer = time.AfterFunc(ttl, func() { s.expireLease(id, newLease) })
	s.leases[id] = newLease
}

// expireLease expires a lease and deletes its keys. It has no effect when expected
// is not nil and not the current lease, because a timer may fire while the lease
// is renewed.
func (s *Store) expireLease(id kv.LeaseID, expected *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.leases[id]
	if current == nil || (expected != nil && current != expected) {
		return
	}
	current.timer.Stop()
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
