package placement

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerspread/core/fleet"
	"tanagerspread/core/shares"
)

// FreeMemory describes the free memory of an engine that several nodes see at the same
// time, in tokens.
type FreeMemory struct {
	// Free is what is left, AtTurnStart what was left when the turn began, OwnInTurn what
	// this node has taken since.
	Free        int
	AtTurnStart int
	OwnInTurn   int
	// Needed is what the next call of the node takes.
	Needed int
	// Division is the part of the memory that this node may take.
	Division shares.Division
}

// TakesTurn reports whether a node may send a call to an engine. The memory that was free
// when the turn began is divided into calls. Each node with waiting calls may take an equal
// number of them at any time. Each of the remaining ones, which are fewer than the nodes,
// belongs to one node by its part. They are used in the first half of the turn, so that the peers know of them before the next turn
// begins. So nodes that all have calls waiting and see the same free memory together send
// what the engine has room for.
func TakesTurn(now time.Time, engine fleet.ServerID, memory FreeMemory) bool {
	if memory.Needed > memory.Free {
		return false
	}
	if memory.Division.Share >= 1 {
		return true
	}
	needed := max(memory.Needed, 1)
	calls := memory.AtTurnStart / needed
	nodes := contenders(memory.Division)
	beyondEqual := memory.OwnInTurn/needed - calls/nodes
	if beyondEqual < 0 {
		return true
	}
	if now.UnixNano()%int64(fleet.TurnLength) > int64(fleet.TurnLength)/2 {
		return false
	}
	return beyondEqual < ownCalls(calls%nodes, memory.Division, turnStart(now, engine))
}

// contenders returns the number of nodes with waiting calls, this one included.
func contenders(division shares.Division) int {
	if division.Share == 0 {
		return division.Nodes + 1
	}
	return division.Nodes
}

// goldenRatio spaces the calls of a turn evenly, however many there are.
const goldenRatio = 0.6180339887498949

// ownCalls returns how many of a number of calls fall into the interval of a node. A node
// that sees more free memory than another one agrees with it on the first calls.
func ownCalls(calls int, division shares.Division, start float64) int {
	own := 0
	for i := range calls {
		_, position := math.Modf(start + float64(i)*goldenRatio)
		if position >= division.Offset && position < division.Offset+division.Share {
			own++
		}
	}
	return own
}

// turnStart returns a number from 0 to 1 for the present turn at an engine.
func turnStart(now time.Time, engine fleet.ServerID) float64 {
	var buffer [hashInputCapacity]byte
	input := append(buffer[:0], engine...)
	input = strconv.AppendInt(input, fleet.TurnNumber(now), 16)
	return float64(xxhash.Sum64(input)) / math.MaxUint64
}
