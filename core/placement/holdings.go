package placement

import (
	"container/list"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// maxPartsPerServer limits the parts that are indexed for one server.
const maxPartsPerServer = 4096

// PartKey identifies a cached prompt part. Servers find a part only under the salt
// under which it was computed.
type PartKey struct {
	Salt string
	ID   string
}

// IndexedPartBytes is the memory of an indexed part with the longest id.
const IndexedPartBytes = 300

// PartIndex records which parts servers and cache stores are expected to have. It is
// a hint: a part that has been evicted is computed again.
type PartIndex struct {
	byServer map[fleet.ServerID]*serverParts
	// limit bounds count, the number of parts of all servers; 0 means no limit.
	limit, count int
}

// serverParts lists the resident parts of one server, the least recently used one
// last in byUse. The total size of the parts is tokens.
type serverParts struct {
	parts  map[PartKey]*list.Element
	byUse  *list.List
	tokens int
}

type residentPart struct {
	key    PartKey
	tokens int
	// confirmed is when the server last reported the part, or when this node last
	// used it after that; zero while the part is only expected.
	confirmed time.Time
}

// NewPartIndex returns an empty index that holds up to limit parts of all servers
// together, or any number if limit is 0.
func NewPartIndex(limit int) *PartIndex {
	return &PartIndex{byServer: map[fleet.ServerID]*serverParts{}, limit: limit}
}

// Confirm records that a server reported that it has a part. The capacity is that of
// Expect.
func (x *PartIndex) Confirm(now time.Time, id fleet.ServerID, key PartKey, tokens, capacity int) {
	x.Expect(now, id, key, tokens, capacity)
	if element := x.byServer[id].parts[key]; element != nil {
		part := element.Value.(residentPart)
		part.confirmed = now
		element.Value = part
	}
}

// Expect records that a server is about to compute a part or to use it. The least
// recently used parts are removed from the index when the server's parts exceed the
// capacity in tokens; 0 means no limit. A part that is larger than the capacity is not
// indexed, because the server cannot keep it.
func (x *PartIndex) Expect(now time.Time, id fleet.ServerID, key PartKey, tokens, capacity int) {
	entry := x.byServer[id]
	if entry == nil {
		entry = &serverParts{parts: map[PartKey]*list.Element{}, byUse: list.New()}
		x.byServer[id] = entry
	}
	if element := entry.parts[key]; element != nil {
		entry.byUse.MoveToFront(element)
		part := element.Value.(residentPart)
		if !part.confirmed.IsZero() {
			part.confirmed = now
			element.Value = part
		}
		return
	}
	if capacity > 0 && tokens > capacity {
		return
	}
	entry.parts[key] = entry.byUse.PushFront(residentPart{key: key, tokens: tokens})
	entry.tokens += tokens
	x.count++
	for capacity > 0 && entry.tokens > capacity || len(entry.parts) > maxPartsPerServer {
		x.drop(entry, entry.byUse.Back())
	}
	if x.limit > 0 && x.count > x.limit {
		largest := x.largest()
		x.drop(largest, largest.byUse.Back())
	}
}

// largest returns the parts of the server that has most of them. Parts that many calls
// invent thus take no room from servers with few parts.
func (x *PartIndex) largest() *serverParts {
	var largest *serverParts
	for _, entry := range x.byServer {
		if largest == nil || len(entry.parts) > len(largest.parts) {
			largest = entry
		}
	}
	return largest
}

// Drop records that a server no longer has a part.
func (x *PartIndex) Drop(id fleet.ServerID, key PartKey) {
	entry := x.byServer[id]
	if entry == nil {
		return
	}
	if element := entry.parts[key]; element != nil {
		x.drop(entry, element)
	}
}

// DropServer records that a server no longer has any part.
func (x *PartIndex) DropServer(id fleet.ServerID) {
	if entry := x.byServer[id]; entry != nil {
		x.count -= len(entry.parts)
		delete(x.byServer, id)
	}
}

// Len returns the number of indexed parts of all servers.
func (x *PartIndex) Len() int {
	return x.count
}

// Contains reports whether a server is expected to have a part.
func (x *PartIndex) Contains(id fleet.ServerID, key PartKey) bool {
	entry := x.byServer[id]
	return entry != nil && entry.parts[key] != nil
}

// ConfirmedSince reports whether a server has reported a part and last reported it,
// or was last sent a request that uses it, at the given time or later.
func (x *PartIndex) ConfirmedSince(id fleet.ServerID, key PartKey, since time.Time) bool {
	entry := x.byServer[id]
	if entry == nil || entry.parts[key] == nil {
		return false
	}
	confirmed := entry.parts[key].Value.(residentPart).confirmed
	return !confirmed.IsZero() && !confirmed.Before(since)
}

// Tokens returns the total size in tokens of the parts that a server is expected to
// have.
func (x *PartIndex) Tokens(id fleet.ServerID) int {
	if entry := x.byServer[id]; entry != nil {
		return entry.tokens
	}
	return 0
}

// Leading returns the number of leading parts that a server is expected to have, and
// their tokens. A part can be used only together with all parts before it.
func (x *PartIndex) Leading(id fleet.ServerID, salt string, parts []request.Part) (count, tokens int) {
	for _, part := range parts {
		if !x.Contains(id, PartKey{Salt: salt, ID: part.ID}) {
			break
		}
		count++
		tokens += part.Tokens
	}
	return count, tokens
}

// LeastRecent returns up to limit matching parts that a server is expected to have,
// the least recently used ones first.
func (x *PartIndex) LeastRecent(id fleet.ServerID, limit int, match func(PartKey) bool) []PartKey {
	entry := x.byServer[id]
	if entry == nil {
		return nil
	}
	var keys []PartKey
	for element := entry.byUse.Back(); element != nil && len(keys) < limit; element = element.Prev() {
		if key := element.Value.(residentPart).key; match(key) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (x *PartIndex) drop(entry *serverParts, element *list.Element) {
	x.count--
	part := element.Value.(residentPart)
	entry.byUse.Remove(element)
	delete(entry.parts, part.key)
	entry.tokens -= part.tokens
}
