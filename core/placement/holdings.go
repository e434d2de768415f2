package placement

import (
	"container/list"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// maxPartsPerServer bounds the parts that are remembered for one server.
const maxPartsPerServer = 4096

// PartKey names a cached part. Servers find a part only under the salt under
// which it was made.
type PartKey struct {
	Salt string
	ID   string
}

// PartIndex is what a node knows of the parts that servers and stores keep. It
// is a hint: a part that is gone costs its prompt work again.
type PartIndex struct {
	byServer map[fleet.ServerID]*serverParts
}

// serverParts lists the parts of one server, the least recently used one last.
type serverParts struct {
	parts  map[PartKey]*list.Element
	byUse  *list.List
	tokens int
}

type residentPart struct {
	key    PartKey
	tokens int
	// confirmed is when the server last told that it has the part, or when this
	// node last used it after that; zero while it is only expected.
	confirmed time.Time
}

// NewPartIndex returns an empty record.
func NewPartIndex() *PartIndex {
	return &PartIndex{byServer: map[fleet.ServerID]*serverParts{}}
}

// Confirm records that a server told that it keeps a part.
func (x *PartIndex) Confirm(now time.Time, id fleet.ServerID, key PartKey, tokens, capacity int) {
	x.Expect(now, id, key, tokens, capacity)
	if element := x.byServer[id].parts[key]; element != nil {
		part := element.Value.(residentPart)
		part.confirmed = now
		element.Value = part
	}
}

// Expect records that a server is about to make a part or to use it. The least recently
// used parts are forgotten when the server's parts exceed the capacity in
// tokens; 0 means no limit.
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
	entry.parts[key] = entry.byUse.PushFront(residentPart{key: key, tokens: tokens})
	entry.tokens += tokens
	for capacity > 0 && entry.tokens > capacity || len(entry.parts) > maxPartsPerServer {
		entry.drop(entry.byUse.Back())
	}
}

// Drop records that a server no longer keeps a part.
func (x *PartIndex) Drop(id fleet.ServerID, key PartKey) {
	entry := x.byServer[id]
	if entry == nil {
		return
	}
	if element := entry.parts[key]; element != nil {
		entry.drop(element)
	}
}

// DropServer records that a server keeps nothing.
func (x *PartIndex) DropServer(id fleet.ServerID) {
	delete(x.byServer, id)
}

// Contains reports whether a server is believed to keep a part.
func (x *PartIndex) Contains(id fleet.ServerID, key PartKey) bool {
	entry := x.byServer[id]
	return entry != nil && entry.parts[key] != nil
}

// ConfirmedSince reports whether a server told that it keeps a part, and the part was
// made or used at the given time or later.
func (x *PartIndex) ConfirmedSince(id fleet.ServerID, key PartKey, since time.Time) bool {
	entry := x.byServer[id]
	if entry == nil || entry.parts[key] == nil {
		return false
	}
	confirmed := entry.parts[key].Value.(residentPart).confirmed
	return !confirmed.IsZero() && !confirmed.Before(since)
}

// Tokens returns the tokens that a server is believed to keep.
func (x *PartIndex) Tokens(id fleet.ServerID) int {
	if entry := x.byServer[id]; entry != nil {
		return entry.tokens
	}
	return 0
}

// Leading returns the number of leading parts that a server is believed to
// keep and their tokens. A part is of use only when all parts before it are
// there.
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

// LeastRecent returns up to limit parts that a server is believed to keep and that
// fit, the least recently used ones first.
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

func (entry *serverParts) drop(element *list.Element) {
	part := element.Value.(residentPart)
	entry.byUse.Remove(element)
	delete(entry.parts, part.key)
	entry.tokens -= part.tokens
}
