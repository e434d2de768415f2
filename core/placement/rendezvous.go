package placement

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
)

// preferredServers is the number of preferred servers of a prefix. More than
// one lets a popular prefix use several servers.
const preferredServers = 3

// hashInputBytes is the capacity for a key and an identifier on the stack.
const hashInputBytes = 128

// anchorDepth is the index of the block by which prompts are told apart. The
// first block is often the same in all prompts of an organisation, and would
// send them all to one store. A later one would move a prompt that has grown
// past it to another store.
const anchorDepth = 1

// Anchor returns the key that stands for a prompt in rendezvous hashes. The
// prefix must not be empty.
func Anchor(prefix []cachekey.Key) cachekey.Key {
	return prefix[anchorIndex(prefix)]
}

func anchorIndex(prefix []cachekey.Key) int {
	return min(anchorDepth, len(prefix)-1)
}

// Preferred returns the preferred servers of the query's prefix, best first.
// The result has nil entries when there are fewer servers. The prefix must
// not be empty.
func Preferred(query Query, servers []*fleet.Server) [preferredServers]*fleet.Server {
	var best [preferredServers]*fleet.Server
	var weights [preferredServers]uint64
	for _, server := range servers {
		if avoided(query, server) {
			continue
		}
		candidate, weight := server, Weight(Anchor(query.Prefix), server.ID)
		for i := range best {
			if best[i] == nil || weight > weights[i] {
				best[i], candidate = candidate, best[i]
				weights[i], weight = weight, weights[i]
			}
			if candidate == nil {
				break
			}
		}
	}
	return best
}

// ImportStore returns the store from which the blocks of a prefix are
// imported, or nil when all stores are down.
func ImportStore(anchor cachekey.Key, stores []*fleet.Store) *fleet.Store {
	return firstStore(anchor, stores, (*fleet.Store).Readable)
}

// ExportStore returns the store to which the blocks of a prefix are exported,
// or nil when all stores are down or full.
func ExportStore(anchor cachekey.Key, stores []*fleet.Store) *fleet.Store {
	return firstStore(anchor, stores, (*fleet.Store).Writable)
}

func firstStore(anchor cachekey.Key, stores []*fleet.Store, usable func(*fleet.Store) bool) *fleet.Store {
	var best *fleet.Store
	var highest uint64
	for _, store := range stores {
		if !usable(store) {
			continue
		}
		weight := Weight(anchor, store.ID)
		if best == nil || weight > highest {
			best = store
			highest = weight
		}
	}
	return best
}

// Weight is the rendezvous hash of a prefix and a server or store.
func Weight(anchor cachekey.Key, id fleet.ServerID) uint64 {
	var space [hashInputBytes]byte
	input := append(space[:0], anchor[:]...)
	input = append(input, id...)
	return xxhash.Sum64(input)
}

// MemberWeight is the rendezvous hash of a turn and a member.
func MemberWeight(turn int, member string) uint64 {
	var space [hashInputBytes]byte
	input := strconv.AppendInt(space[:0], int64(turn), 10)
	input = append(input, member...)
	return xxhash.Sum64(input)
}

// FollowWeight is the rendezvous hash of a followed target and a member.
func FollowWeight(target, member string) uint64 {
	var space [hashInputBytes]byte
	input := append(space[:0], target...)
	input = append(input, 0)
	input = append(input, member...)
	return xxhash.Sum64(input)
}
