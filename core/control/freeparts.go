package control

import (
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
)

const (
	// freeDelay is how long all engines must have had the named weights before
	// parts of older ones are freed. No fetch of such a part is in progress then:
	// a call on old weights started before, and its fetches finish within
	// fleet.MaxFetchTime.
	freeDelay = 6 * time.Second
	// freeBatch is the maximum number of parts in one call.
	freeBatch = 64
)

// FreeParts commands that a cache store frees parts that no call can use any more.
type FreeParts struct {
	Store   string
	Address string
	// Epoch is the epoch of the store in which the parts were added.
	Epoch uint64
	// UntilMS is the time by which the call must have arrived, in milliseconds on
	// the servers' clock.
	UntilMS int64
	Parts   []placement.PartKey
}

func (FreeParts) command() {}

// recordOutdated records the time when an engine has outdated weights, gets other ones
// or is removed.
func (s *State) recordOutdated(now time.Time, server *fleet.Server) {
	if server.WeightsOutdated {
		s.lastOutdated = now
	}
}

// freeParts frees the parts of outdated weights and of earlier scopes in managed stores. These stores
// evict nothing on their own, and no call can use parts under an old salt. The
// node whose turn it is to read all entries does this; freeing a part twice is
// harmless.
func (s *State) freeParts(now time.Time) {
	for _, server := range s.serverList {
		s.recordOutdated(now, server)
	}
	if s.rules == nil || now.Sub(s.lastOutdated) < freeDelay || now.Sub(s.following.since) < freeDelay {
		return
	}
	lowestByModel, scopes := s.lowestWeights(), s.usableScopes(now)
	for _, store := range s.cacheStoreList {
		if !store.Managed || !store.Savable() {
			continue
		}
		outdated := s.partIndex.LeastRecent(store.ID, freeBatch, func(key placement.PartKey) bool {
			model, weights := placement.WeightsOf(key.Salt)
			lowest, ok := lowestByModel[model]
			return ok && (weights < lowest || s.isEarlierScope(placement.ScopeOf(key.Salt), scopes))
		})
		if len(outdated) > 0 {
			s.command(FreeParts{
				Store: store.Name, Address: store.Address, Epoch: store.Epoch, UntilMS: store.FetchUntilMS(now), Parts: outdated,
			})
		}
	}
}

// isEarlierScope reports whether no call can use a scope any more, given those in use. A
// node that has a newer configuration already may use one with a later version.
func (s *State) isEarlierScope(scope string, usable map[string]bool) bool {
	return usable != nil && !usable[scope] && config.ScopeVersion(scope) <= s.isolation.current.Changed
}

// lowestWeights returns the lowest weight version among the engines of each
// model, including leaving ones.
func (s *State) lowestWeights() map[string]int {
	lowest := map[string]int{}
	for _, server := range s.serverList {
		if server.Role != fleet.RoleEngine {
			continue
		}
		model := modelOf(server)
		if weights, ok := lowest[model]; !ok || server.Weights < weights {
			lowest[model] = server.Weights
		}
	}
	return lowest
}
