// Package kv defines the interface, the protocol and the client of the platform's
// key-value service.
package kv

import (
	"context"
	"time"

	"tanagerspread/core/code"
)

// MaxValueBytes bounds one value.
const MaxValueBytes = 1 << 20

// Revision is the number of a write to the service, with the era of the service. It
// increases with each write.
type Revision uint64

// Absent is the expected revision of a key that must not exist.
const Absent Revision = 0

// LeaseID identifies a lease; empty means none.
type LeaseID string

// Entry is one key with its value.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
	// ServiceRevision is the revision of the whole service when the entry was
	// read, or 0 when the service does not report it. A watch may continue from
	// it.
	ServiceRevision Revision `json:"-"`
}

// Change is one entry that was written or deleted.
type Change struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// Write is a compare-and-swap of one key.
type Write struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Expected Revision `json:"expected"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// Service is the key-value service. Each call may return code.KeyValueAway or
// code.RateLimited. A write may have taken effect after code.KeyValueAway, but
// not after code.RateLimited.
type Service interface {
	// Get returns an entry, or code.KeyMissing.
	Get(ctx context.Context, key string) (Entry, *code.Error)
	// List returns the entries under a prefix and the revision of the list.
	List(ctx context.Context, prefix string) ([]Entry, Revision, *code.Error)
	// Put writes one key and returns its new revision. It returns
	// code.CompareFailed when the key has another revision than expected, and
	// code.LeaseLapsed when the lease no longer exists.
	Put(ctx context.Context, write Write) (Revision, *code.Error)
	// Delete removes a key with the expected revision, or returns
	// code.CompareFailed.
	Delete(ctx context.Context, key string, expected Revision) *code.Error
	// Grant creates a lease. Its keys are deleted when it is not renewed within
	// ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, *code.Error)
	// Renew extends a lease by its ttl, or returns code.LeaseLapsed.
	Renew(ctx context.Context, lease LeaseID) *code.Error
	// Watch waits up to WatchWait for changes under a prefix after a revision. It
	// returns the changes, if any, and the revision from which to continue. Of
	// several changes of one key it returns only the last. When the service was
	// restored from a backup, the returned revision may be lower than the given
	// one; the caller must then list again.
	Watch(ctx context.Context, prefix string, after Revision) ([]Change, Revision, *code.Error)
}

// WatchWait is the maximum time that a watch waits for a change.
const WatchWait = 30 * time.Second
