package kv

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"tanagerspread/client/wire"
	"tanagerspread/core/code"
)

// Client is the HTTP client of the key-value service.
type Client struct {
	wire *wire.Client
	// last is the last large entry that was read. It saves the transfer of a
	// configuration that has not changed.
	last atomic.Pointer[cachedEntry]
}

// minCachedBytes is the minimum size of a value that the client caches for its
// next read. Transferring a smaller value again costs less than the entity tag.
const minCachedBytes = 16 << 10

// cachedEntry is the last entry that was read under a key.
type cachedEntry struct {
	key   string
	value *wire.CachedValue[Entry]
}

var _ Service = (*Client)(nil)

// NewClient returns a client of the key-value service. It replaces
// options.UnreachableCode with code.KeyValueAway.
func NewClient(options wire.Options) *Client {
	options.UnreachableCode = code.KeyValueAway
	return &Client{wire: wire.NewClient(options)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.wire.Close()
}

// Get returns an entry, or code.KeyMissing.
func (c *Client) Get(ctx context.Context, key string) (Entry, *code.Error) {
	var last *wire.CachedValue[Entry]
	if cached := c.last.Load(); cached != nil && cached.key == key {
		last = cached.value
	}
	fresh, err := wire.Refresh(ctx, c.wire, keyPath(key), last)
	if err != nil {
		return Entry{}, err
	}
	entry := fresh.Value
	if len(entry.Value) >= minCachedBytes {
		c.last.Store(&cachedEntry{key: key, value: fresh})
		entry.Value = bytes.Clone(entry.Value)
	}
	return entry, nil
}

// List returns the entries under a prefix and the revision of the list.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Revision, *code.Error) {
	var reply ListReply
	query := url.Values{QueryPrefix: {prefix}}
	err := c.wire.Call(ctx, http.MethodGet, PathKeys+"?"+query.Encode(), nil, &reply)
	return reply.Entries, reply.Revision, err
}

// Put writes one key. See Service for its errors.
func (c *Client) Put(ctx context.Context, write Write) (Revision, *code.Error) {
	var reply PutReply
	body := PutRequest{Value: write.Value, Expected: write.Expected, Lease: write.Lease}
	err := c.wire.Call(ctx, http.MethodPut, keyPath(write.Key), body, &reply)
	return reply.Revision, err
}

// Delete removes a key with the expected revision, or returns
// code.CompareFailed.
func (c *Client) Delete(ctx context.Context, key string, expected Revision) *code.Error {
	query := url.Values{QueryExpected: {formatRevision(expected)}}
	return c.wire.Call(ctx, http.MethodDelete, keyPath(key)+"?"+query.Encode(), nil, nil)
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, *code.Error) {
	var reply GrantReply
	err := c.wire.Call(ctx, http.MethodPost, PathLease, GrantRequest{TTLMS: ttl.Milliseconds()}, &reply)
	return reply.Lease, err
}

// Renew extends a lease by its ttl, or returns code.LeaseLapsed.
func (c *Client) Renew(ctx context.Context, lease LeaseID) *code.Error {
	return c.wire.Call(ctx, http.MethodPost, PathLease+"/"+url.PathEscape(string(lease))+"/renew", nil, nil)
}

// Watch waits up to WatchWait for changes. See Service.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision) ([]Change, Revision, *code.Error) {
	var reply WatchReply
	query := url.Values{QueryPrefix: {prefix}, QueryAfter: {formatRevision(after)}}
	err := c.wire.CallWithin(ctx, WatchWait+c.wire.Timeout(), http.MethodGet, PathWatch+"?"+query.Encode(), nil, &reply)
	return reply.Changes, reply.Revision, err
}

func keyPath(key string) string {
	return PathKeys + "/" + url.PathEscape(key)
}

func formatRevision(revision Revision) string {
	return strconv.FormatUint(uint64(revision), 10)
}
