package placement

import (
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
)

const (
	// maxRecentPrefixes bounds the remembered prefixes.
	maxRecentPrefixes = 4096
	// maxRecentServers bounds the remembered servers of one prefix.
	maxRecentServers = 3
	// maxRecentAge is how long a server is expected to keep a prefix in memory.
	maxRecentAge = 5 * time.Minute
)

// recentServer remembers that a server computed a prefix up to one block.
type recentServer struct {
	server fleet.ServerID
	last   cachekey.Key
	blocks int
	at     time.Time
}

// RecentPrefixes is a bounded memory of where this node lately sent prefixes. It is a
// hint: a server may have dropped the blocks.
type RecentPrefixes struct {
	byCheckpoint map[cachekey.Key]*[maxRecentServers]recentServer
	// ring lists the remembered anchors; the oldest one is replaced.
	ring []cachekey.Key
	next int
}

// NewRecentPrefixes returns an empty memory.
func NewRecentPrefixes() *RecentPrefixes {
	return &RecentPrefixes{byCheckpoint: map[cachekey.Key]*[maxRecentServers]recentServer{}}
}

// Record remembers that a prompt with the prefix was sent to a server.
func (r *RecentPrefixes) Record(now time.Time, prefix []cachekey.Key, server fleet.ServerID) {
	if len(prefix) == 0 {
		return
	}
	servers := r.entry(Checkpoint(prefix))
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

func (r *RecentPrefixes) entry(checkpoint cachekey.Key) *[maxRecentServers]recentServer {
	if servers, known := r.byCheckpoint[checkpoint]; known {
		return servers
	}
	if len(r.ring) < maxRecentPrefixes {
		r.ring = append(r.ring, checkpoint)
	} else {
		delete(r.byCheckpoint, r.ring[r.next])
		r.ring[r.next] = checkpoint
		r.next = (r.next + 1) % maxRecentPrefixes
	}
	servers := &[maxRecentServers]recentServer{}
	r.byCheckpoint[checkpoint] = servers
	return servers
}

// DropServer removes a server, for example because it lost its memory.
func (r *RecentPrefixes) DropServer(server fleet.ServerID) {
	for _, servers := range r.byCheckpoint {
		for i := range servers {
			if servers[i].server == server {
				servers[i] = recentServer{}
			}
		}
	}
}

// ExpectedBlocks returns how many leading blocks of the prefix the server is expected
// to hold. Prompts that share only the blocks up to their anchor count as that
// many blocks.
func (r *RecentPrefixes) ExpectedBlocks(now time.Time, prefix []cachekey.Key, server fleet.ServerID) int {
	if r == nil || len(prefix) == 0 {
		return 0
	}
	servers, known := r.byCheckpoint[Checkpoint(prefix)]
	if !known {
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
		return checkpointIndex(prefix) + 1
	}
	return 0
}

// Age returns how long ago the prefix was sent to the server, or recentAge
// when it is not remembered.
func (r *RecentPrefixes) Age(now time.Time, prefix []cachekey.Key, server fleet.ServerID) time.Duration {
	servers, known := r.byCheckpoint[Checkpoint(prefix)]
	if !known {
		return maxRecentAge
	}
	for i := range servers {
		if servers[i].server == server {
			return now.Sub(servers[i].at)
		}
	}
	return maxRecentAge
}
