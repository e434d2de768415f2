package control

import (
	"slices"
	"sort"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
)

// PartEvent tells that a store has a part, or has it no more.
type PartEvent struct {
	Added  bool
	Salt   string
	ID     string
	Tokens int
}

// CacheEvents reports what a store of KV cache said.
type CacheEvents struct {
	Store string
	// Epoch changes when the store starts again.
	Epoch uint64
	// Whole is true when the events are all parts of the store.
	Whole  bool
	Events []PartEvent
	// Clock is the servers' clock in milliseconds when the store answered.
	Clock int64
	// Asked and Received are when the call began and ended.
	Asked    time.Time
	Received time.Time
}

// CacheTarget names a store whose events are followed.
type CacheTarget struct {
	Name    string
	Address string
}

// FollowCaches tells which stores are followed from now on.
type FollowCaches struct {
	Stores []CacheTarget
}

func (CacheEvents) message()  {}
func (FollowCaches) command() {}

func (s *State) cacheBindings() chart.Bindings[*fleet.CacheStore] {
	return chart.Bindings[*fleet.CacheStore]{
		Tags: []chart.Tag{fleet.TagFetchable, fleet.TagSavable},
		Guards: map[string]func(*fleet.CacheStore, time.Time) bool{
			"settled": func(c *fleet.CacheStore, now time.Time) bool { return !now.Before(c.SettlesAt) },
		},
	}
}

// syncCaches takes over the stores of the configuration.
func (s *State) syncCaches(now time.Time) {
	listed := map[string]bool{}
	for _, store := range s.rules.CacheStores {
		listed[store.Name] = true
		s.noteCache(now, store)
	}
	for name, store := range s.caches {
		if !listed[name] {
			s.removeCache(now, store)
		}
	}
	s.listCaches()
}

func (s *State) noteCache(now time.Time, store config.CacheStore) {
	known := s.caches[store.Name]
	if known != nil && known.Address == store.Address {
		return
	}
	if known != nil {
		s.removeCache(now, known)
	}
	s.caches[store.Name] = &fleet.CacheStore{
		ID:       fleet.ServerID("store " + store.Name),
		Name:     store.Name,
		Address:  store.Address,
		Domain:   store.Domain,
		Capacity: store.Capacity,
		Chart:    s.charts.cacheStore.Start(now),
	}
}

func (s *State) removeCache(now time.Time, store *fleet.CacheStore) {
	s.fireCache(store, "remove", now)
	s.holdings.Forget(store.ID)
	delete(s.caches, store.Name)
}

// listCaches orders the stores and has their events followed.
func (s *State) listCaches() {
	s.cacheList = s.cacheList[:0]
	var targets []CacheTarget
	for _, store := range s.caches {
		s.cacheList = append(s.cacheList, store)
		targets = append(targets, CacheTarget{Name: store.Name, Address: store.Address})
	}
	sort.Slice(s.cacheList, func(i, j int) bool { return s.cacheList[i].Name < s.cacheList[j].Name })
	sort.Slice(targets, func(i, j int) bool { return targets[i].Name < targets[j].Name })
	if !slices.Equal(targets, s.followed) {
		s.followed = targets
		s.command(FollowCaches{Stores: targets})
	}
}

// cacheEvents takes over what a store said. A message that is older than a
// store's word may be trusted changes nothing.
func (s *State) cacheEvents(now time.Time, m CacheEvents) {
	store := s.caches[m.Store]
	if store == nil || now.Sub(m.Asked) >= s.charts.cacheStore.Timeout(fleet.TagFetchable) {
		return
	}
	if m.Epoch != store.Epoch || m.Whole {
		s.holdings.Forget(store.ID)
	}
	if m.Epoch != store.Epoch {
		store.Epoch = m.Epoch
		store.SettlesAt = now.Add(fleet.SettleTime)
	}
	for _, e := range m.Events {
		key := placement.PartKey{Salt: e.Salt, ID: e.ID}
		if e.Added {
			s.holdings.Note(store.ID, key, e.Tokens, 0)
			continue
		}
		s.holdings.Drop(store.ID, key)
	}
	store.Clock = m.Clock
	store.ClockAt = m.Received
	s.fireCache(store, "hear", now)
	// The word of the store counts from the call, since it may have been long
	// under way.
	store.Chart.Deadline = m.Asked.Add(s.charts.cacheStore.Timeout(fleet.TagFetchable))
}

func (s *State) expireCaches(now time.Time) {
	for _, store := range s.cacheList {
		_, _ = s.charts.cacheStore.Expire(&store.Chart, store, now)
	}
}

func (s *State) fireCache(store *fleet.CacheStore, event chart.Event, now time.Time) {
	// An event that the chart refuses changes nothing.
	_ = s.charts.cacheStore.Fire(&store.Chart, store, event, now)
}
