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

// hashInputCapacity is the capacity for a key and an identifier on the stack.
const hashInputCapacity = 128

// checkpointDepth is the index of the block by which prompts are told apart. The
// first block is often the same in all prompts of an organisation, and would
// send them all to one store. A later one would move a prompt that has grown
// past it to another store.
const checkpointDepth = 1

// Checkpoint returns the key that stands for a prompt in rendezvous hashes. The
// prefix must not be empty.
func Checkpoint(prefix []cachekey.Key) cachekey.Key {
	return prefix[checkpointIndex(prefix)]
}

func checkpointIndex(prefix []cachekey.Key) int {
	return min(checkpointDepth, len(prefix)-1)
}

// PreferredServers returns the preferred servers of the query's prefix, best first.
// The result has nil entries when there are fewer servers. The prefix must
// not be empty.
func PreferredServers(query Query, servers []*fleet.Server) [preferredServers]*fleet.Server {
	var best [preferredServers]*fleet.Server
	var weights [preferredServers]uint64
	for _, server := range servers {
		if isAvoided(query, server) {
			continue
		}
		inserted, weight := server, PrefixWeight(Checkpoint(query.Prefix), server.ID)
		for i := range best {
			if best[i] == nil || weight > weights[i] {
				best[i], inserted = inserted, best[i]
				weights[i], weight = weight, weights[i]
			}
			if inserted == nil {
				break
			}
		}
	}
	return best
}

// ImportStore returns the store from which the blocks of a prefix are
// imported, or nil when all stores are down.
func ImportStore(checkpoint cachekey.Key, stores []*fleet.Store) *fleet.Store {
	return chooseStore(checkpoint, stores, (*fleet.Store).Readable)
}

// ExportStore returns the store to which the blocks of a prefix are exported,
// or nil when all stores are down or full.
func ExportStore(checkpoint cachekey.Key, stores []*fleet.Store) *fleet.Store {
	return chooseStore(checkpoint, stores, (*fleet.Store).Writable)
}

func chooseStore(checkpoint cachekey.Key, stores []*fleet.Store, usable func(*fleet.Store) bool) *fleet.Store {
	var best *fleet.Store
	var highest uint64
	for _, store := range stores {
		if !usable(store) {
			continue
		}
		weight := PrefixWeight(checkpoint, store.ID)
		if best == nil || weight > highest {
			best = store
			highest = weight
		}
	}
	return best
}

// PrefixWeight is the rendezvous hash of a prefix and a server or store.
func PrefixWeight(checkpoint cachekey.Key, id fleet.ServerID) uint64 {
	var buffer [hashInputCapacity]byte
	input := append(buffer[:0], checkpoint[:]...)
	input = append(input, id...)
	return xxhash.Sum64(input)
}

// MemberWeight is the rendezvous hash of a turn and a member.
func MemberWeight(turn int, member string) uint64 {
	var buffer [hashInputCapacity]byte
	input := strconv.AppendInt(buffer[:0], int64(turn), 10)
	input = append(input, member...)
	return xxhash.Sum64(input)
}

// FollowWeight is the rendezvous hash of a followed target and a member.
func FollowWeight(target, member string) uint64 {
	var buffer [hashInputCapacity]byte
	input := append(buffer[:0], target...)
	input = append(input, 0)
	input = append(input, member...)
	return xxhash.Sum64(input)
}
