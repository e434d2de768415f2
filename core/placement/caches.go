package placement

import (
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// storeShare is the part of a store's capacity up to which parts are saved. A
// save that finds no room is lost, and others may be under way.
const storeShare = 0.95

// preferredStore is the factor by which a store of the right size outweighs all
// others.
const preferredStore = 1e6

// source is where a server can fetch a part.
type source struct {
	address string
	domain  fleet.Domain
	// until is when the fetch must have ended, on the servers' clock in
	// milliseconds, or 0.
	until int64
}

// storeOf returns the nearest store that holds a part.
func storeOf(now time.Time, view View, key PartKey, server *fleet.Server) (source, bool) {
	var best *fleet.CacheStore
	for _, store := range view.Caches {
		if !store.Fetchable() || !view.Holdings.Holds(store.ID, key) {
			continue
		}
		if best == nil || best.Domain != server.Domain && store.Domain == server.Domain {
			best = store
		}
	}
	if best == nil {
		return source{}, false
	}
	return source{address: best.Address, domain: best.Domain, until: best.FetchUntil(now)}, true
}

// savePlace returns the store to which a part is saved, or nil when none has
// room. All nodes choose the same store. Short parts go to the small stores as
// long as these have room, so that they do not wait behind long ones.
func savePlace(view View, part request.Part) *fleet.CacheStore {
	largest := 0
	for _, store := range view.Caches {
		largest = max(largest, store.Capacity)
	}
	short := part.Tokens < longPrompt
	var best *fleet.CacheStore
	highest := 0.0
	for _, store := range view.Caches {
		room := storeShare*float64(store.Capacity) - float64(view.Holdings.Tokens(store.ID))
		if !store.Savable() || float64(part.Tokens) > room {
			continue
		}
		weight := float64(partWeight(part.ID, store.ID)>>1) * float64(store.Capacity)
		if short == (2*store.Capacity <= largest) {
			weight *= preferredStore
		}
		if best == nil || weight > highest {
			best = store
			highest = weight
		}
	}
	return best
}
