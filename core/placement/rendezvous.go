package placement

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
)

// preferredServers is the number of preferred servers of a prefix. It is greater
// than 1 so that a popular prefix uses several servers.
const preferredServers = 3

// hashInputCapacity is the size in bytes of the stack buffer for the input of a
// hash: a key and an identifier.
const hashInputCapacity = 128

// routingKeyDepth is the index of the block whose key is the routing key. Index 0
// would send all prompts of an organisation to one store, because their first block is
// often the same. With a higher index, a prompt that grows past that block would move
// to another store.
const routingKeyDepth = 1

// RoutingKey returns the key of the one block of a prefix by which a prompt is
// recognised for routing: in rendezvous hashes and in RecentPrefixes. The prefix must
// not be empty.
func RoutingKey(prefix []cachekey.Key) cachekey.Key {
	return prefix[routingKeyIndex(prefix)]
}

// routingKeyIndex returns the index of the block of the routing key: routingKeyDepth,
// or the last block of a shorter prefix.
func routingKeyIndex(prefix []cachekey.Key) int {
	return min(routingKeyDepth, len(prefix)-1)
}

// PreferredServers returns the preferred servers of the query's prefix, the best one
// first. The result has nil entries when there are fewer servers. The prefix must not
// be empty.
func PreferredServers(query Query, servers []*fleet.Server) [preferredServers]*fleet.Server {
	var best [preferredServers]*fleet.Server
	var weights [preferredServers]uint64
	for _, server := range servers {
		if isAvoided(query, server) {
			continue
		}
		inserted, weight := server, PrefixWeight(RoutingKey(query.Prefix), server.ID)
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

// ImportStore returns the block store from which the blocks of prefixes with the
// routing key are imported, or nil when no store is readable.
func ImportStore(routingKey cachekey.Key, stores []*fleet.Store) *fleet.Store {
	return chooseStore(routingKey, stores, (*fleet.Store).Readable)
}

// ExportStore returns the block store to which the blocks of prefixes with the
// routing key are exported, or nil when no store is writable.
func ExportStore(routingKey cachekey.Key, stores []*fleet.Store) *fleet.Store {
	return chooseStore(routingKey, stores, (*fleet.Store).Writable)
}

// chooseStore returns the usable store with the highest rendezvous weight, or nil.
func chooseStore(routingKey cachekey.Key, stores []*fleet.Store, usable func(*fleet.Store) bool) *fleet.Store {
	var best *fleet.Store
	var highest uint64
	for _, store := range stores {
		if !usable(store) {
			continue
		}
		weight := PrefixWeight(routingKey, store.ID)
		if best == nil || weight > highest {
			best = store
			highest = weight
		}
	}
	return best
}

// PrefixWeight returns the rendezvous hash of a routing key and a server or store.
func PrefixWeight(routingKey cachekey.Key, id fleet.ServerID) uint64 {
	var buffer [hashInputCapacity]byte
	input := append(buffer[:0], routingKey[:]...)
	input = append(input, id...)
	return xxhash.Sum64(input)
}

// MemberWeight returns the rendezvous hash of an election round and a member.
func MemberWeight(round int, member string) uint64 {
	var buffer [hashInputCapacity]byte
	input := strconv.AppendInt(buffer[:0], int64(round), 10)
	input = append(input, member...)
	return xxhash.Sum64(input)
}

// FollowWeight returns the rendezvous hash of a followed target and a member.
func FollowWeight(target, member string) uint64 {
	var buffer [hashInputCapacity]byte
	input := append(buffer[:0], target...)
	input = append(input, 0)
	input = append(input, member...)
	return xxhash.Sum64(input)
}
