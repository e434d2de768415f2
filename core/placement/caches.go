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

// supply lists the places from which a part can be fetched.
type supply struct {
	now time.Time
	// used are the engines that used the part just now, whose links are fast;
	// told are all that told of it.
	used   []*fleet.Server
	told   []*fleet.Server
	stores []*fleet.CacheStore
}

func supplyOf(now time.Time, view View, key PartKey) *supply {
	s := &supply{now: now}
	for _, engine := range view.Engines {
		if !view.Holdings.HeldSince(engine.ID, key, time.Time{}) || !engine.ReceivesWork() {
			continue
		}
		s.told = append(s.told, engine)
		if view.Holdings.HeldSince(engine.ID, key, now.Add(-freshPart)) {
			s.used = append(s.used, engine)
		}
	}
	for _, store := range view.Caches {
		if view.Holdings.Holds(store.ID, key) && store.Fetchable() {
			s.stores = append(s.stores, store)
		}
	}
	return s
}

// nearest returns where a server can fetch the part: from an engine that used it
// just now, or from a store, or from any engine that may still have it.
func (s *supply) nearest(server *fleet.Server) (source, bool) {
	if from, found := nearestEngine(s.used, server); found {
		return from, true
	}
	if from, found := s.stored(server); found {
		return from, true
	}
	return nearestEngine(s.told, server)
}

func nearestEngine(engines []*fleet.Server, server *fleet.Server) (source, bool) {
	var best *fleet.Server
	for _, other := range engines {
		if other == server {
			continue
		}
		if best == nil || best.Domain != server.Domain && other.Domain == server.Domain {
			best = other
		}
	}
	if best == nil {
		return source{}, false
	}
	return source{address: best.Address, domain: best.Domain}, true
}

// stored returns the nearest store that holds the part.
func (s *supply) stored(server *fleet.Server) (source, bool) {
	var best *fleet.CacheStore
	for _, store := range s.stores {
		if best == nil || best.Domain != server.Domain && store.Domain == server.Domain {
			best = store
		}
	}
	if best == nil {
		return source{}, false
	}
	return source{address: best.Address, domain: best.Domain, until: best.FetchUntil(s.now)}, true
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
