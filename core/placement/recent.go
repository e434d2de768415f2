package placement

import (
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
)

const (
	// recentPrefixes bounds the remembered prefixes.
	recentPrefixes = 4096
	// recentPlaces bounds the remembered servers of one prefix.
	recentPlaces = 3
	// recentAge is how long a server is expected to keep a prefix in memory.
	recentAge = 5 * time.Minute
)

// place remembers that a server computed a prefix up to one block.
type place struct {
	server fleet.ServerID
	last   cachekey.Key
	blocks int
	at     time.Time
}

// Recent is a bounded memory of where this node lately sent prefixes. It is a
// hint: a server may have dropped the blocks.
type Recent struct {
	places map[cachekey.Key]*[recentPlaces]place
	// ring lists the remembered anchors; the oldest one is replaced.
	ring []cachekey.Key
	next int
}

// NewRecent returns an empty memory.
func NewRecent() *Recent {
	return &Recent{places: map[cachekey.Key]*[recentPlaces]place{}}
}

// Note remembers that a prompt with the prefix was sent to a server.
func (r *Recent) Note(now time.Time, prefix []cachekey.Key, server fleet.ServerID) {
	if len(prefix) == 0 {
		return
	}
	places := r.entry(Anchor(prefix))
	slot := 0
	for i := range places {
		if places[i].server == server {
			slot = i
			break
		}
		if places[i].at.Before(places[slot].at) {
			slot = i
		}
	}
	places[slot] = place{server: server, last: prefix[len(prefix)-1], blocks: len(prefix), at: now}
}

func (r *Recent) entry(anchor cachekey.Key) *[recentPlaces]place {
	if places, known := r.places[anchor]; known {
		return places
	}
	if len(r.ring) < recentPrefixes {
		r.ring = append(r.ring, anchor)
	} else {
		delete(r.places, r.ring[r.next])
		r.ring[r.next] = anchor
		r.next = (r.next + 1) % recentPrefixes
	}
	places := &[recentPlaces]place{}
	r.places[anchor] = places
	return places
}

// Forget removes a server, for example because it lost its memory.
func (r *Recent) Forget(server fleet.ServerID) {
	for _, places := range r.places {
		for i := range places {
			if places[i].server == server {
				places[i] = place{}
			}
		}
	}
}

// Blocks returns how many leading blocks of the prefix the server is expected
// to hold. Prompts that share only the blocks up to their anchor count as that
// many blocks.
func (r *Recent) Blocks(now time.Time, prefix []cachekey.Key, server fleet.ServerID) int {
	if r == nil || len(prefix) == 0 {
		return 0
	}
	places, known := r.places[Anchor(prefix)]
	if !known {
		return 0
	}
	for i := range places {
		p := &places[i]
		if p.server != server || now.Sub(p.at) > recentAge {
			continue
		}
		if p.blocks <= len(prefix) && prefix[p.blocks-1] == p.last {
			return p.blocks
		}
		return anchorIndex(prefix) + 1
	}
	return 0
}

// Age returns how long ago the prefix was sent to the server, or recentAge
// when it is not remembered.
func (r *Recent) Age(now time.Time, prefix []cachekey.Key, server fleet.ServerID) time.Duration {
	places, known := r.places[Anchor(prefix)]
	if !known {
		return recentAge
	}
	for i := range places {
		if places[i].server == server {
			return now.Sub(places[i].at)
		}
	}
	return recentAge
}
