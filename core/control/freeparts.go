package control

import (
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
)

const (
	// freeWait is how long all engines must have had their weights before parts
	// of older ones are freed. No fetch of such a part is under way then: a call
	// on old weights began before, and its fetches end after fleet.FetchTime.
	freeWait = 6 * time.Second
	// freeBatch bounds the parts of one call.
	freeBatch = 64
)

// FreeParts frees parts of a store that no call can use any more.
type FreeParts struct {
	Store   string
	Address string
	// Epoch is the start of the store that the parts belong to.
	Epoch uint64
	// Until is when the call must have arrived, on the servers' clock in
	// milliseconds.
	Until int64
	Parts []placement.PartKey
}

func (FreeParts) command() {}

// noteBehind remembers that an engine has, or had when it left, older weights
// than named.
func (s *State) noteBehind(now time.Time, server *fleet.Server) {
	if server.WeightsOutdated {
		s.lastBehind = now
	}
}

// freeParts frees the parts of old weights. Stores drop nothing on their own,
// and parts under an old salt are of no use to any call. Nodes do this in their
// turns to read; a part that is freed twice does no harm.
func (s *State) freeParts(now time.Time) {
	for _, server := range s.ordered {
		s.noteBehind(now, server)
	}
	if s.rules == nil || now.Sub(s.lastBehind) < freeWait {
		return
	}
	current := s.currentWeights()
	for _, store := range s.cacheList {
		if !store.Managed || !store.Savable() {
			continue
		}
		old := s.holdings.LeastRecent(store.ID, freeBatch, func(key placement.PartKey) bool {
			model, weights := placement.WeightsOf(key.Salt)
			lowest, known := current[model]
			return known && weights < lowest
		})
		if len(old) > 0 {
			s.command(FreeParts{
				Store: store.Name, Address: store.Address, Epoch: store.Epoch, Until: store.FetchUntil(now), Parts: old,
			})
		}
	}
}

// currentWeights returns the lowest weight version of each model's engines,
// those that leave included.
func (s *State) currentWeights() map[string]int {
	lowest := map[string]int{}
	for _, server := range s.ordered {
		if server.Role != fleet.RoleEngine {
			continue
		}
		model := modelOf(server)
		if weights, known := lowest[model]; !known || server.Weights < weights {
			lowest[model] = server.Weights
		}
	}
	return lowest
}
