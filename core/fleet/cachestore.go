package fleet

import (
	"time"

	"tanagerspread/chart"
)

const (
	// TagFetchable marks stores of KV cache from which parts may be fetched.
	TagFetchable chart.Tag = "fetchable"
	// TagSavable marks stores of KV cache to which parts may be saved.
	TagSavable chart.Tag = "savable"
)

const (
	// MaxFetchTime bounds a fetch from a store on the clock of the servers.
	MaxFetchTime = 2500 * time.Millisecond
	// SaveDelayAfterStart is how long after a start of a store no part is saved there:
	// the time for which a node may believe in the parts of before, and the
	// longest fetch.
	SaveDelayAfterStart = 2200*time.Millisecond + MaxFetchTime
)

// CacheStore is a store of KV cache as this node sees it.
type CacheStore struct {
	// ID is the key of the store in records of what servers hold.
	ID       ServerID
	Name     string
	Address  string
	Domain   Domain
	Capacity int
	// Managed is true when the store drops nothing on its own.
	Managed bool
	// MaxFollowers bounds the nodes that may follow the events of the store.
	MaxFollowers int
	// Epoch changes when the store starts again and holds nothing.
	Epoch uint64
	// SavableAt is when parts may be saved after a start.
	SavableAt time.Time
	// ClockMS is the servers' clock in milliseconds at ClockAt.
	ClockMS         int64
	ClockReceivedAt time.Time
	Chart           chart.Instance
}

// Fetchable reports whether parts may be fetched.
func (c *CacheStore) Fetchable() bool {
	return c.Chart.Is(TagFetchable)
}

// Savable reports whether parts may be saved.
func (c *CacheStore) Savable() bool {
	return c.Chart.Is(TagSavable)
}

// FetchUntil returns when a fetch that begins now must have ended, on the
// servers' clock in milliseconds. It is early rather than late, because the
// clock was read before it was received.
func (c *CacheStore) FetchUntil(now time.Time) int64 {
	return c.ClockMS + now.Sub(c.ClockReceivedAt).Milliseconds() + MaxFetchTime.Milliseconds()
}
