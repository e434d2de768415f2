package placement

import (
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
)

const (
	// maxRecentPrefixes limits the remembered prefixes.
	maxRecentPrefixes = 4096
	// maxRecentServers limits the remembered servers of one prefix.
	maxRecentServers = 3
	// maxRecentAge is how long a server is expected to keep a prefix cached.
	maxRecentAge = 5 * time.Minute
)

// recentServer records that a prefix was sent to a server. It has the number of the
// prefix's blocks and the key of the last one.
type recentServer struct {
	server fleet.ServerID
	last   cachekey.Key
	blocks int
	at     time.Time
}

// RecentPrefixes is a bounded record of the servers to which this node recently sent
// prefixes. It is a hint: a server may have evicted the blocks.
type RecentPrefixes struct {
	byRoutingKey map[cachekey.Key]*[maxRecentServers]recentServer
	// ring lists the keys of byRoutingKey; a new one replaces the oldest.
	ring []cachekey.Key
	next int
}

// NewRecentPrefixes returns an empty record.
func NewRecentPrefixes() *RecentPrefixes {
	return &RecentPrefixes{byRoutingKey: map[cachekey.Key]*[maxRecentServers]recentServer{}}
}

// Record records that a prompt with the prefix was sent to a server.
func (r *RecentPrefixes) Record(now time.Time, prefix []cachekey.Key, server fleet.ServerID) {
	if len(prefix) == 0 {
		return
	}
	servers := r.entry(RoutingKey(prefix))
	slot := 0
	for i := range servers {
		if servers[i].server == server {
			slot = i
			break
		}
		if servers[i].at.Before(servers[slot].at) {
			slot = i
		}
	}
	servers[slot] = recentServer{server: server, last: prefix[len(prefix)-1], blocks: len(prefix), at: now}
}

// entry returns the servers of a routing key. It adds the key if it is new.
func (r *RecentPrefixes) entry(routingKey cachekey.Key) *[maxRecentServers]recentServer {
	if servers, ok := r.byRoutingKey[routingKey]; ok {
		return servers
	}
	if len(r.ring) < maxRecentPrefixes {
		r.ring = append(r.ring, routingKey)
	} else {
		delete(r.byRoutingKey, r.ring[r.next])
		r.ring[r.next] = routingKey
		r.next = (r.next + 1) % maxRecentPrefixes
	}
	servers := &[maxRecentServers]recentServer{}
	r.byRoutingKey[routingKey] = servers
	return servers
}

// DropServer removes all records of a server, for example after a restart emptied
// its cache.
func (r *RecentPrefixes) DropServer(server fleet.ServerID) {
	for _, servers := range r.byRoutingKey {
		for i := range servers {
			if servers[i].server == server {
				servers[i] = recentServer{}
			}
		}
	}
}

// ExpectedBlocks returns the number of leading blocks of the prefix that the server
// is expected to have cached: all blocks of the last prompt with the same routing key
// that was sent there if that prompt is the beginning of this one, else the blocks up
// to the one of the routing key. It is 0 when none was sent there within maxRecentAge.
func (r *RecentPrefixes) ExpectedBlocks(now time.Time, prefix []cachekey.Key, server fleet.ServerID) int {
	if r == nil || len(prefix) == 0 {
		return 0
	}
	servers, ok := r.byRoutingKey[RoutingKey(prefix)]
	if !ok {
		return 0
	}
	for i := range servers {
		sent := &servers[i]
		if sent.server != server || now.Sub(sent.at) > maxRecentAge {
			continue
		}
		if sent.blocks <= len(prefix) && prefix[sent.blocks-1] == sent.last {
			return sent.blocks
		}
		return routingKeyIndex(prefix) + 1
	}
	return 0
}

// Age returns how long ago a prompt with the routing key of the prefix was sent to the
// server, or maxRecentAge when none is recorded. The prefix must not be empty.
func (r *RecentPrefixes) Age(now time.Time, prefix []cachekey.Key, server fleet.ServerID) time.Duration {
	servers, ok := r.byRoutingKey[RoutingKey(prefix)]
	if !ok {
		return maxRecentAge
	}
	for i := range servers {
		if servers[i].server == server {
			return now.Sub(servers[i].at)
		}
	}
	return maxRecentAge
}
