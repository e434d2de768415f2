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

// PartEvent reports that a cache store or an engine has added or evicted a
// prompt part.
type PartEvent struct {
	Added  bool
	Salt   string
	ID     string
	Tokens int
}

// CacheEvents reports events from the event feed of a cache store or an engine.
type CacheEvents struct {
	// Target is the name of the store or the engine.
	Target string
	// Epoch changes when the target restarts.
	Epoch uint64
	// Snapshot is true when the events list all parts of the target.
	Snapshot bool
	Events   []PartEvent
	// ClockMS is the servers' clock in milliseconds when the target responded.
	ClockMS int64
	// AskedAt and ReceivedAt are when the call started and finished.
	AskedAt    time.Time
	ReceivedAt time.Time
	// Notice is what the target said about itself in the response.
	Notice Notice
}

// CacheTarget is a cache store or an engine whose event feed is followed.
type CacheTarget struct {
	Name    string
	Address string
	// Wait is how long a call waits for events, Pause the time between two
	// calls.
	Wait  time.Duration
	Pause time.Duration
	// Source is the peer whose copy of the events is followed; empty means that
	// the target itself is followed.
	Source PeerTarget
}

// FollowCaches replaces the targets whose event feeds are followed.
type FollowCaches struct {
	Targets []CacheTarget
}

// HoldCacheCalls lets no call for the events of a target begin until a time.
type HoldCacheCalls struct {
	Target  string
	Address string
	Until   time.Time
}

const (
	// engineEventWait is how long a call waits for the events of an engine, and
	// engineEventPause the time between two calls. Bytes between failure domains
	// have a price, and a late event costs little.
	engineEventWait  = time.Second
	engineEventPause = 700 * time.Millisecond
	// storeEventWait and storeEventPause are the same for a cache store, whose
	// report expires after 2.2 s. It must reach the nodes that copy it before
	// that, also when the store has no new events. The pause batches the events
	// of many saves.
	storeEventWait  = 500 * time.Millisecond
	storeEventPause = 100 * time.Millisecond
	// engineCopyPause and storeCopyPause are the times between two calls for a
	// peer's copy. They are longer because most nodes of a large failure domain
	// copy, and each call wakes two processes.
	engineCopyPause = 1200 * time.Millisecond
	storeCopyPause  = 400 * time.Millisecond
)

func (CacheEvents) message()    {}
func (FollowCaches) command()   {}
func (HoldCacheCalls) command() {}

func (s *State) cacheStoreBindings() chart.Bindings[*fleet.CacheStore] {
	return chart.Bindings[*fleet.CacheStore]{
		Tags: []chart.Tag{fleet.TagFetchable, fleet.TagSavable},
		Guards: map[string]func(*fleet.CacheStore, time.Time) bool{
			"settled": func(c *fleet.CacheStore, now time.Time) bool { return !now.Before(c.SavableAt) },
		},
	}
}

// updateCacheStores replaces the cache stores by those of the configuration.
func (s *State) updateCacheStores(now time.Time) {
	listed := map[string]bool{}
	for _, store := range s.rules.CacheStores {
		listed[store.Name] = true
		s.updateCacheStore(now, store)
	}
	for name, store := range s.cacheStores {
		if !listed[name] {
			s.removeCacheStore(now, store)
		}
	}
	s.rebuildCacheStoreList()
}

// updateCacheStore adds a cache store of the configuration. A store with another
// address is a new one.
func (s *State) updateCacheStore(now time.Time, store config.CacheStore) {
	current := s.cacheStores[store.Name]
	if current != nil && current.Address == store.Address {
		return
	}
	if current != nil {
		s.removeCacheStore(now, current)
	}
	s.cacheStores[store.Name] = &fleet.CacheStore{
		ID:       fleet.ServerID("store " + store.Name),
		Name:     store.Name,
		Address:  store.Address,
		Domain:   store.Domain,
		Capacity: store.CapacityTokens,
		Managed:  store.Managed,

		MaxFollowers: store.MaxFollowers,
		Chart:        s.charts.cacheStore.Start(now),
	}
}

func (s *State) removeCacheStore(now time.Time, store *fleet.CacheStore) {
	s.fireCacheStoreEvent(store, "remove", now)
	s.partIndex.DropServer(store.ID)
	delete(s.cacheStores, store.Name)
}

// rebuildCacheStoreList sorts the cache stores by name and updates the followed
// targets.
func (s *State) rebuildCacheStoreList() {
	s.cacheStoreList = s.cacheStoreList[:0]
	for _, store := range s.cacheStores {
		s.cacheStoreList = append(s.cacheStoreList, store)
	}
	sort.Slice(s.cacheStoreList, func(i, j int) bool { return s.cacheStoreList[i].Name < s.cacheStoreList[j].Name })
	s.followCaches()
}

// followCaches sends the command to follow the event feeds of the cache stores and
// engines when the targets have changed.
func (s *State) followCaches() {
	if !s.options.Forwarding || s.rules == nil {
		return
	}
	var targets []CacheTarget
	peers := s.peersInDomain()
	for _, store := range s.cacheStoreList {
		source := s.followSource(store.Name, max(allowedFollowers(store.MaxFollowers)/s.domainCount(), 1), peers)
		targets = append(targets, CacheTarget{
			Name: store.Name, Address: store.Address, Wait: storeEventWait, Pause: pauseOf(source, storeEventPause, storeCopyPause), Source: source,
		})
	}
	for _, server := range s.serverList {
		if server.Role != fleet.RoleEngine {
			continue
		}
		limit := allowedFollowers(s.rules.Pools[server.Serves].MaxFollowers)
		if !s.followsEngine(server, limit) {
			continue
		}
		target := CacheTarget{Name: string(server.ID), Address: server.Address, Wait: engineEventWait}
		if server.Domain == s.options.Domain {
			target.Source = s.followSource(target.Name, limit, peers)
		}
		target.Pause = pauseOf(target.Source, engineEventPause, engineCopyPause)
		targets = append(targets, target)
	}
	if !slices.Equal(targets, s.followedTargets) {
		s.followedTargets = targets
		s.command(FollowCaches{Targets: targets})
	}
}

// pauseOf returns the pause between two calls for events: direct when the target
// itself is called, copied when a peer is called for its copy.
func pauseOf(source PeerTarget, direct, copied time.Duration) time.Duration {
	if source.Node != "" {
		return copied
	}
	return direct
}

// followsEngine reports whether the events of an engine are worth their bytes. An
// engine of another failure domain is not followed when it is reserved for short
// prompts, whose parts change often and are not fetched from another failure
// domain, nor when there are more nodes than limit.
func (s *State) followsEngine(server *fleet.Server, limit int) bool {
	if server.Domain == s.options.Domain {
		return true
	}
	return !s.reservation.ReservedForShort(server) && len(s.members.Members()) <= limit
}

// peersInDomain returns the present peers of the node's failure domain.
func (s *State) peersInDomain() []*membership.Peer {
	var peers []*membership.Peer
	for _, peer := range s.members.Peers() {
		if peer.Domain == string(s.options.Domain) && peer.Chart.Is(tagPresent) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// domainCount returns the number of failure domains with members.
func (s *State) domainCount() int {
	seen := map[string]bool{string(s.options.Domain): true}
	for _, peer := range s.members.Peers() {
		if peer.Domain != "" {
			seen[peer.Domain] = true
		}
	}
	return len(seen)
}

const (
	// spareFollowerShare is the share of a target's allowed followers that stays
	// unused, because the nodes learn of member changes at different times.
	spareFollowerShare = 0.25
	// unlimitedFollowers is the limit of a target that has none.
	unlimitedFollowers = 1 << 20
)

// allowedFollowers returns the number of nodes that may follow a target itself,
// given its configured limit; 0 means no limit.
func allowedFollowers(limit int) int {
	if limit == 0 {
		return unlimitedFollowers
	}
	return max(int(float64(limit)*(1-spareFollowerShare)), 1)
}

// followSource returns the peer to copy a target's events from, or an empty
// target when this node is among the limit nodes of its failure domain that
// follow the target itself. All nodes of a domain rank each other for a target
// in the same way.
func (s *State) followSource(target string, limit int, peers []*membership.Peer) PeerTarget {
	own := placement.FollowWeight(target, s.options.Node)
	var higherRanked []PeerTarget
	for _, peer := range peers {
		if placement.FollowWeight(target, peer.ID) > own {
			higherRanked = append(higherRanked, PeerTarget{Node: peer.ID, Address: peer.Address})
		}
	}
	if len(higherRanked) < limit {
		return PeerTarget{}
	}
	slices.SortFunc(higherRanked, func(a, b PeerTarget) int {
		return cmp.Compare(placement.FollowWeight(target, b.Node), placement.FollowWeight(target, a.Node))
	})
	return higherRanked[own%uint64(limit)]
}

// cacheEvents applies the events of a cache store or an engine.
func (s *State) cacheEvents(now time.Time, m CacheEvents) {
	if store := s.cacheStores[m.Target]; store != nil {
		s.cacheStoreEvents(now, store, m)
		return
	}
	server := s.servers[fleet.ServerID(m.Target)]
	if server == nil {
		return
	}
	if m.Epoch != server.CacheEpoch || m.Snapshot {
		s.partIndex.DropServer(server.ID)
		server.CacheEpoch = m.Epoch
	}
	s.applyPartEvents(now, server.ID, m.Events, s.rules.Pools[server.Serves].CacheTokens)
}

// cacheStoreEvents applies the events of a cache store. A report that has already
// expired changes nothing.
func (s *State) cacheStoreEvents(now time.Time, store *fleet.CacheStore, m CacheEvents) {
	validFor := s.charts.cacheStore.Timeout(fleet.TagFetchable)
	if now.Sub(m.AskedAt) >= validFor {
		return
	}
	if m.Epoch != store.Epoch || m.Snapshot {
		s.partIndex.DropServer(store.ID)
	}
	if m.Epoch != store.Epoch {
		store.Epoch = m.Epoch
		store.SavableAt = now.Add(fleet.SaveDelayAfterStart)
	}
	s.applyPartEvents(now, store.ID, m.Events, 0)
	store.ClockMS = m.ClockMS
	store.ClockReceivedAt = m.ReceivedAt
	s.fireCacheStoreEvent(store, "hear", now)
	// The report expires relative to the start of the call, since the response may
	// have been delayed.
	store.Chart.TimeoutAt = m.AskedAt.Add(validFor)
}

func (s *State) applyPartEvents(now time.Time, id fleet.ServerID, events []PartEvent, capacity int) {
	for _, e := range events {
		key := placement.PartKey{Salt: e.Salt, ID: e.ID}
		if e.Added {
			s.partIndex.Confirm(now, id, key, e.Tokens, capacity)
			continue
		}
		s.partIndex.Drop(id, key)
	}
}

func (s *State) expireCacheStores(now time.Time) {
	for _, store := range s.cacheStoreList {
		before := store.Chart.State
		if expired, _ := s.charts.cacheStore.Expire(&store.Chart, store, now); expired {
			s.logCacheStoreState(store, before)
		}
	}
}

// logCacheStoreState logs a change of a cache store's state.
func (s *State) logCacheStoreState(store *fleet.CacheStore, before chart.State) {
	if store.Chart.State == before {
		return
	}
	s.command(LogEvent{Event: event.CacheStoreChanged, Fields: []any{
		"store", store.Name, "from", string(before), "to", string(store.Chart.State), "epoch", store.Epoch,
		"tokens", s.partIndex.Tokens(store.ID),
	}})
}

func (s *State) fireCacheStoreEvent(store *fleet.CacheStore, fired chart.Event, now time.Time) {
	before := store.Chart.State
	// An event that the chart refuses changes nothing.
	_ = s.charts.cacheStore.Fire(&store.Chart, store, fired, now)
	s.logCacheStoreState(store, before)
}
