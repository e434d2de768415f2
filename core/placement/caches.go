package placement

import (
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// maxStoreFill is the share of a store's capacity up to which parts are saved. The
// rest is for saves in flight, because a save that finds no room is lost.
const maxStoreFill = 0.95

// preferredSizeFactor multiplies the weight of a store of the preferred size, so
// that it outweighs all others.
const preferredSizeFactor = 1e6

// partSource is where a server can fetch a part.
type partSource struct {
	address string
	domain  fleet.Domain
	// untilMS is the time by which the fetch must have finished, in milliseconds
	// on the servers' clock, or 0 for no limit.
	untilMS int64
}

// partSources lists the engines and stores from which a part can be fetched.
type partSources struct {
	now time.Time
	// recentEngines used the part within recentUse and have fast links; engines
	// are all that reported it.
	recentEngines []*fleet.Server
	engines       []*fleet.Server
	stores        []*fleet.CacheStore
}

func newPartSources(now time.Time, view View, key PartKey) *partSources {
	s := &partSources{now: now}
	for _, engine := range view.Engines {
		if !view.PartIndex.ConfirmedSince(engine.ID, key, time.Time{}) || !engine.ReceivesWork() {
			continue
		}
		s.engines = append(s.engines, engine)
		if view.PartIndex.ConfirmedSince(engine.ID, key, now.Add(-recentUse)) {
			s.recentEngines = append(s.recentEngines, engine)
		}
	}
	for _, store := range view.CacheStores {
		if view.PartIndex.Contains(store.ID, key) && store.Fetchable() {
			s.stores = append(s.stores, store)
		}
	}
	return s
}

// nearest returns where a server fetches the part: from an engine that used it
// recently, else from a store, else from any engine that may still have it.
func (s *partSources) nearest(server *fleet.Server) (partSource, bool) {
	if from, ok := nearestEngine(s.recentEngines, server); ok {
		return from, true
	}
	if from, ok := s.nearestStore(server); ok {
		return from, true
	}
	return nearestEngine(s.engines, server)
}

func nearestEngine(engines []*fleet.Server, server *fleet.Server) (partSource, bool) {
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
		return partSource{}, false
	}
	return partSource{address: best.Address, domain: best.Domain}, true
}

// nearestStore returns the store that has the part, preferably one of the server's
// failure domain.
func (s *partSources) nearestStore(server *fleet.Server) (partSource, bool) {
	var best *fleet.CacheStore
	for _, store := range s.stores {
		if best == nil || best.Domain != server.Domain && store.Domain == server.Domain {
			best = store
		}
	}
	if best == nil {
		return partSource{}, false
	}
	return partSource{address: best.Address, domain: best.Domain, untilMS: best.FetchUntilMS(s.now)}, true
}

// saveStore returns the store to which a part is saved, or nil when no store has
// room. All nodes choose the same store. Short parts go to the small stores as long
// as these have room, so that they do not wait behind long ones.
func saveStore(view View, part request.Part) *fleet.CacheStore {
	largest := 0
	for _, store := range view.CacheStores {
		largest = max(largest, store.Capacity)
	}
	short := part.Tokens < longPromptTokens
	var best *fleet.CacheStore
	highest := 0.0
	for _, store := range view.CacheStores {
		room := maxStoreFill*float64(store.Capacity) - float64(view.PartIndex.Tokens(store.ID))
		if !store.Savable() || float64(part.Tokens) > room {
			continue
		}
		weight := float64(partWeight(part.ID, store.ID)>>1) * float64(store.Capacity)
		if short == (2*store.Capacity <= largest) {
			weight *= preferredSizeFactor
		}
		if best == nil || weight > highest {
			best = store
			highest = weight
		}
	}
	return best
}
