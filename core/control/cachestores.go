package control

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/placement"
)

// PartEvent tells that a store has a part, or has it no more.
type PartEvent struct {
	Added  bool
	Salt   string
	ID     string
	Tokens int
}

// CacheEvents reports what a store of KV cache, or an engine, said.
type CacheEvents struct {
	// Target names the store or the engine.
	Target string
	// Epoch changes when it starts again.
	Epoch uint64
	// Whole is true when the events are all parts that it keeps.
	Whole  bool
	Events []PartEvent
	// Clock is the servers' clock in milliseconds when the store answered.
	Clock int64
	// Asked and Received are when the call began and ended.
	Asked    time.Time
	Received time.Time
}

// CacheTarget names a store or an engine whose events are followed.
type CacheTarget struct {
	Name    string
	Address string
	// Wait is how long a call waits for events, Pause the time between two calls.
	Wait  time.Duration
	Pause time.Duration
	// Source is the peer whose copy is followed; empty means the target itself.
	Source PeerTarget
}

// FollowCaches tells whose events are followed from now on.
type FollowCaches struct {
	Targets []CacheTarget
}

const (
	// engineWait is how long a call waits for the events of an engine, and
	// enginePause the time between two calls. Their bytes between failure domains
	// are priced, and a late event costs little.
	engineWait  = time.Second
	enginePause = 700 * time.Millisecond
	// storeWait and storePause are the same for a store, whose word lapses after
	// 2.2 s. It must reach the nodes that copy it in time when nothing happens at
	// the store. A pause joins the events of many saves.
	storeWait  = 500 * time.Millisecond
	storePause = 100 * time.Millisecond
	// engineCopyPause and storeCopyPause are the times between two calls for a
	// peer's copy. In a large failure domain most nodes copy, and each call wakes
	// two processes.
	engineCopyPause = 1200 * time.Millisecond
	storeCopyPause  = 400 * time.Millisecond
)

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
		Capacity: store.CapacityTokens,
		Managed:  store.Managed,

		Followers: store.MaxFollowers,
		Chart:     s.charts.cacheStore.Start(now),
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
	for _, store := range s.caches {
		s.cacheList = append(s.cacheList, store)
	}
	sort.Slice(s.cacheList, func(i, j int) bool { return s.cacheList[i].Name < s.cacheList[j].Name })
	s.followCaches()
}

// followCaches has the events of the stores and engines followed.
func (s *State) followCaches() {
	if !s.options.Forwarding || s.rules == nil {
		return
	}
	var targets []CacheTarget
	near := s.nearPeers()
	for _, store := range s.cacheList {
		source := s.followSource(store.Name, max(allowed(store.Followers)/s.domains(), 1), near)
		targets = append(targets, CacheTarget{
			Name: store.Name, Address: store.Address, Wait: storeWait, Pause: pauseOf(source, storePause, storeCopyPause), Source: source,
		})
	}
	for _, server := range s.ordered {
		if server.Role != fleet.RoleEngine {
			continue
		}
		limit := allowed(s.rules.Pools[server.Serves].MaxFollowers)
		if !s.followsEngine(server, limit) {
			continue
		}
		target := CacheTarget{Name: string(server.ID), Address: server.Address, Wait: engineWait}
		if server.Domain == s.options.Domain {
			target.Source = s.followSource(target.Name, limit, near)
		}
		target.Pause = pauseOf(target.Source, enginePause, engineCopyPause)
		targets = append(targets, target)
	}
	if !slices.Equal(targets, s.followed) {
		s.followed = targets
		s.command(FollowCaches{Targets: targets})
	}
}

// pauseOf returns the pause between two calls for events, which go to the target
// itself or to a peer.
func pauseOf(source PeerTarget, direct, copied time.Duration) time.Duration {
	if source.Node != "" {
		return copied
	}
	return direct
}

// followsEngine reports whether the events of an engine are worth their bytes.
// Short prompts change the parts of an engine often, and are not fetched from
// another failure domain. A large fleet follows only the engines nearby.
func (s *State) followsEngine(server *fleet.Server, limit int) bool {
	if server.Domain == s.options.Domain {
		return true
	}
	return !s.lanes.Short(server) && len(s.members.Members()) <= limit
}

// nearPeers lists the present peers of the own failure domain.
func (s *State) nearPeers() []*membership.Peer {
	var near []*membership.Peer
	for _, peer := range s.members.Peers() {
		if peer.Domain == string(s.options.Domain) && peer.Chart.Is(tagPresent) {
			near = append(near, peer)
		}
	}
	return near
}

// domains counts the failure domains with members.
func (s *State) domains() int {
	seen := map[string]bool{string(s.options.Domain): true}
	for _, peer := range s.members.Peers() {
		if peer.Domain != "" {
			seen[peer.Domain] = true
		}
	}
	return len(seen)
}

const (
	// spareCalls is the part of the allowed event calls of a target that stays
	// free, because nodes know the members at different times.
	spareCalls = 0.25
	// unlimitedCalls stands for a target without a limit.
	unlimitedCalls = 1 << 20
)

// allowed returns the number of nodes that follow a target.
func allowed(limit int) int {
	if limit == 0 {
		return unlimitedCalls
	}
	return max(int(float64(limit)*(1-spareCalls)), 1)
}

// followSource returns the peer to copy a target's events from, or nothing when
// this node is among those of its domain that follow the target itself. All
// nodes of a domain rank each other for a target in the same way.
func (s *State) followSource(target string, limit int, near []*membership.Peer) PeerTarget {
	own := placement.FollowWeight(target, s.options.Node)
	var ahead []PeerTarget
	for _, peer := range near {
		if placement.FollowWeight(target, peer.ID) > own {
			ahead = append(ahead, PeerTarget{Node: peer.ID, Address: peer.Address})
		}
	}
	if len(ahead) < limit {
		return PeerTarget{}
	}
	slices.SortFunc(ahead, func(a, b PeerTarget) int {
		return cmp.Compare(placement.FollowWeight(target, b.Node), placement.FollowWeight(target, a.Node))
	})
	return ahead[own%uint64(limit)]
}

// cacheEvents takes over what a store or an engine said.
func (s *State) cacheEvents(now time.Time, m CacheEvents) {
	if store := s.caches[m.Target]; store != nil {
		s.storeEvents(now, store, m)
		return
	}
	server := s.servers[fleet.ServerID(m.Target)]
	if server == nil {
		return
	}
	if m.Epoch != server.CacheEpoch || m.Whole {
		s.holdings.Forget(server.ID)
		server.CacheEpoch = m.Epoch
	}
	s.applyParts(now, server.ID, m.Events, s.rules.Pools[server.Serves].CacheTokens)
}

// storeEvents takes over what a store said. A message that is older than a
// store's word may be trusted changes nothing.
func (s *State) storeEvents(now time.Time, store *fleet.CacheStore, m CacheEvents) {
	trusted := s.charts.cacheStore.Timeout(fleet.TagFetchable)
	if now.Sub(m.Asked) >= trusted {
		return
	}
	if m.Epoch != store.Epoch || m.Whole {
		s.holdings.Forget(store.ID)
	}
	if m.Epoch != store.Epoch {
		store.Epoch = m.Epoch
		store.SettlesAt = now.Add(fleet.SettleTime)
	}
	s.applyParts(now, store.ID, m.Events, 0)
	store.Clock = m.Clock
	store.ClockAt = m.Received
	s.fireCache(store, "hear", now)
	// The word of the store counts from the call, since it may have been long
	// under way.
	store.Chart.Deadline = m.Asked.Add(trusted)
}

func (s *State) applyParts(now time.Time, id fleet.ServerID, events []PartEvent, capacity int) {
	for _, e := range events {
		key := placement.PartKey{Salt: e.Salt, ID: e.ID}
		if e.Added {
			s.holdings.Confirm(now, id, key, e.Tokens, capacity)
			continue
		}
		s.holdings.Drop(id, key)
	}
}

func (s *State) expireCaches(now time.Time) {
	for _, store := range s.cacheList {
		before := store.Chart.State
		if expired, _ := s.charts.cacheStore.Expire(&store.Chart, store, now); expired {
			s.noteCacheState(store, before)
		}
	}
}

// noteCacheState logs a new state of a store.
func (s *State) noteCacheState(store *fleet.CacheStore, before chart.State) {
	if store.Chart.State == before {
		return
	}
	s.command(LogEvent{Event: event.CacheStoreChanged, Fields: []any{
		"store", store.Name, "from", string(before), "to", string(store.Chart.State), "epoch", store.Epoch,
		"tokens", s.holdings.Tokens(store.ID),
	}})
}

func (s *State) fireCache(store *fleet.CacheStore, fired chart.Event, now time.Time) {
	before := store.Chart.State
	// An event that the chart refuses changes nothing.
	_ = s.charts.cacheStore.Fire(&store.Chart, store, fired, now)
	s.noteCacheState(store, before)
}
