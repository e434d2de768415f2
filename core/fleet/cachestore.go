package fleet

import (
	"time"

	"tanagerspread/chart"
)

const (
	// TagFetchable marks states in which parts may be fetched from a cache store.
	TagFetchable chart.Tag = "fetchable"
	// TagSavable marks states in which parts may be saved to a cache store.
	TagSavable chart.Tag = "savable"
)

const (
	// MaxFetchTime bounds a fetch from a cache store, on the clock of the servers.
	MaxFetchTime = 2500 * time.Millisecond
	// SaveDelayAfterStart is how long no part is saved to a store that has
	// started: the time for which a node may still rely on the parts from before
	// the start, plus the longest fetch.
	SaveDelayAfterStart = 2200*time.Millisecond + MaxFetchTime
)

// CacheStore is a cache store as this node sees it: it keeps the KV cache of
// prompt parts for forwarded calls.
type CacheStore struct {
	// ID is the key of the store in the part index.
	ID      ServerID
	Name    string
	Address string
	Domain  Domain
	// Capacity is in tokens.
	Capacity int
	// Managed is true when the store evicts nothing on its own.
	Managed bool
	// MaxFollowers is the largest number of nodes that may follow the event feed
	// of the store.
	MaxFollowers int
	// Epoch changes when the store restarts, which empties it.
	Epoch uint64
	// SavableAt is the time from which parts may be saved after a start.
	SavableAt time.Time
	// ClockMS is the servers' clock in milliseconds, as received at
	// ClockReceivedAt.
	ClockMS         int64
	ClockReceivedAt time.Time
	Chart           chart.Instance
}

// Fetchable reports whether parts may be fetched from the store.
func (c *CacheStore) Fetchable() bool {
	return c.Chart.Is(TagFetchable)
}

// Savable reports whether parts may be saved to the store.
func (c *CacheStore) Savable() bool {
	return c.Chart.Is(TagSavable)
}

// FetchUntilMS returns the time by which a fetch that starts now must have
// finished, in milliseconds on the servers' clock. The result is early rather
// than late, because the server read the clock before this node received it.
func (c *CacheStore) FetchUntilMS(now time.Time) int64 {
	return c.ClockMS + now.Sub(c.ClockReceivedAt).Milliseconds() + MaxFetchTime.Milliseconds()
}
