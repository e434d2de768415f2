package placement

import (
	"container/list"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// maxHeldParts bounds the parts that are remembered for one server.
const maxHeldParts = 4096

// PartKey names a cached part. Servers find a part only under the salt under
// which it was made.
type PartKey struct {
	Salt string
	ID   string
}

// Holdings is what a node knows of the parts that servers and stores keep. It
// is a hint: a part that is gone costs its prompt work again.
type Holdings struct {
	places map[fleet.ServerID]*holding
}

// holding lists the parts of one server, the least recently used one last.
type holding struct {
	parts  map[PartKey]*list.Element
	recent *list.List
	tokens int
}

type heldPart struct {
	key    PartKey
	tokens int
	// confirmed is when the server last told that it has the part, or when this
	// node last used it after that; zero while it is only expected.
	confirmed time.Time
}

// NewHoldings returns an empty record.
func NewHoldings() *Holdings {
	return &Holdings{places: map[fleet.ServerID]*holding{}}
}

// Confirm records that a server told that it keeps a part.
func (h *Holdings) Confirm(now time.Time, id fleet.ServerID, key PartKey, tokens, capacity int) {
	h.Expect(now, id, key, tokens, capacity)
	if element := h.places[id].parts[key]; element != nil {
		part := element.Value.(heldPart)
		part.confirmed = now
		element.Value = part
	}
}

// Expect records that a server is about to make a part or to use it. The least recently
// used parts are forgotten when the server's parts exceed the capacity in
// tokens; 0 means no limit.
func (h *Holdings) Expect(now time.Time, id fleet.ServerID, key PartKey, tokens, capacity int) {
	at := h.places[id]
	if at == nil {
		at = &holding{parts: map[PartKey]*list.Element{}, recent: list.New()}
		h.places[id] = at
	}
	if element := at.parts[key]; element != nil {
		at.recent.MoveToFront(element)
		part := element.Value.(heldPart)
		if !part.confirmed.IsZero() {
			part.confirmed = now
			element.Value = part
		}
		return
	}
	at.parts[key] = at.recent.PushFront(heldPart{key: key, tokens: tokens})
	at.tokens += tokens
	for capacity > 0 && at.tokens > capacity || len(at.parts) > maxHeldParts {
		at.drop(at.recent.Back())
	}
}

// Drop records that a server no longer keeps a part.
func (h *Holdings) Drop(id fleet.ServerID, key PartKey) {
	at := h.places[id]
	if at == nil {
		return
	}
	if element := at.parts[key]; element != nil {
		at.drop(element)
	}
}

// Forget records that a server keeps nothing.
func (h *Holdings) Forget(id fleet.ServerID) {
	delete(h.places, id)
}

// Holds reports whether a server is believed to keep a part.
func (h *Holdings) Holds(id fleet.ServerID, key PartKey) bool {
	at := h.places[id]
	return at != nil && at.parts[key] != nil
}

// HeldSince reports whether a server told that it keeps a part, and the part was
// made or used at the given time or later.
func (h *Holdings) HeldSince(id fleet.ServerID, key PartKey, since time.Time) bool {
	at := h.places[id]
	if at == nil || at.parts[key] == nil {
		return false
	}
	confirmed := at.parts[key].Value.(heldPart).confirmed
	return !confirmed.IsZero() && !confirmed.Before(since)
}

// Tokens returns the tokens that a server is believed to keep.
func (h *Holdings) Tokens(id fleet.ServerID) int {
	if at := h.places[id]; at != nil {
		return at.tokens
	}
	return 0
}

// Leading returns the number of leading parts that a server is believed to
// keep and their tokens. A part is of use only when all parts before it are
// there.
func (h *Holdings) Leading(id fleet.ServerID, salt string, parts []request.Part) (count, tokens int) {
	for _, part := range parts {
		if !h.Holds(id, PartKey{Salt: salt, ID: part.ID}) {
			break
		}
		count++
		tokens += part.Tokens
	}
	return count, tokens
}

// Select returns up to limit parts that a server is believed to keep and that
// fit, the least recently used ones first.
func (h *Holdings) Select(id fleet.ServerID, limit int, fits func(PartKey) bool) []PartKey {
	at := h.places[id]
	if at == nil {
		return nil
	}
	var keys []PartKey
	for element := at.recent.Back(); element != nil && len(keys) < limit; element = element.Prev() {
		if key := element.Value.(heldPart).key; fits(key) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (at *holding) drop(element *list.Element) {
	part := element.Value.(heldPart)
	at.recent.Remove(element)
	delete(at.parts, part.key)
	at.tokens -= part.tokens
}
