package placement

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerspread/core/fleet"
)

// FreeMemory describes the free memory of an engine that several nodes see at the same
// time, in tokens.
type FreeMemory struct {
	// Free is what is left, OwnInTurn what this node has taken since its turn began.
	Free      int
	OwnInTurn int
	// Needed is what the next call of the node takes.
	Needed int
	// Contenders is the number of nodes that have calls waiting, this one included, and
	// Rank the position of this node among them, from 0.
	Contenders int
	Rank       int
}

// TakesTurn reports whether a node may send a call to an engine. Each node uses its
// share of the free memory. Shares of less than one call go to some of the nodes, which
// change with each turn, and are used in its first half, so that the peers know of these
// calls before the next turn begins. So nodes that all have calls waiting and see the
// same free memory together send about what the engine has room for.
func TakesTurn(now time.Time, engine fleet.ServerID, memory FreeMemory) bool {
	if memory.Needed > memory.Free {
		return false
	}
	needed := max(memory.Needed, 1)
	// Memory that is left beside whole calls is not shared out.
	whole := (memory.Free + memory.OwnInTurn) / needed
	calls := float64(whole)/float64(memory.Contenders) - float64(memory.OwnInTurn)/float64(needed)
	if calls >= 1 {
		return true
	}
	late := now.UnixNano()%int64(fleet.TurnLength) > int64(fleet.TurnLength)/2
	return !late && turnOffset(now, engine, memory) < calls
}

// turnOffset returns a number from 0 to 1 for a node in the present turn at an engine.
// The numbers of the contenders are evenly spaced, so that the number of nodes with an
// offset below a share is that share of the contenders.
func turnOffset(now time.Time, engine fleet.ServerID, memory FreeMemory) float64 {
	var buffer [hashInputCapacity]byte
	input := append(buffer[:0], engine...)
	input = strconv.AppendInt(input, fleet.TurnNumber(now), 16)
	start := float64(xxhash.Sum64(input)) / math.MaxUint64
	_, offset := math.Modf(start + float64(memory.Rank)/float64(memory.Contenders))
	return offset
}
