package quarantine

import (
	"slices"
	"sort"
	"time"

	"tanagerspread/core/fleet"
)

// PartID is the id of a prompt part that calls may share.
type PartID string

// PartCrash is one crash that may be due to a prompt part: a call with the part was in
// progress at a server when its connection broke.
type PartCrash struct {
	Part   PartID
	Server fleet.ServerID
	// BrokeAt is when the connection broke.
	BrokeAt time.Time
	// Depth is the number of parts before this one in the prompt.
	Depth int
	// Own is true when the call was one of this node.
	Own bool
	// Proven is true when the server ended: it is no longer listed, or came back under
	// another id.
	Proven bool
}

// PartProof shows that a part crashes no server: a server began a response to a call with
// the part at a time, and did not end.
type PartProof struct {
	Part PartID
	At   time.Time
}

// PartQuarantine is the time at which a node quarantined a part.
type PartQuarantine struct {
	Part PartID
	At   time.Time
}

const (
	// SameCrashTime is the longest time between two broken connections of one crash. A
	// server that comes back under its id takes longer.
	SameCrashTime = 1500 * time.Millisecond
	// simultaneousTime is the longest time between crashes that may have one cause.
	simultaneousTime = 60 * time.Millisecond
	// maxCrashAge is how long after a crash a report of it counts. Proofs are remembered
	// at least as long, so that a late report cannot outlive the proof against it.
	maxCrashAge = 30 * time.Second
	// maxPartCrashes bounds the crashes that are remembered of one part.
	maxPartCrashes = 16
)

// isSameCrash reports whether two calls belong to one crash of a server. Calls whose server
// fell silent have no common time, but a server ends only once under its id.
func (c PartCrash) isSameCrash(other PartCrash) bool {
	if c.Server != other.Server {
		return false
	}
	return c.Proven && other.Proven || c.BrokeAt.Sub(other.BrokeAt).Abs() < SameCrashTime
}

// isRecent reports whether a crash is not too old to count.
func (c PartCrash) isRecent(now time.Time) bool {
	return now.Sub(c.BrokeAt) < maxCrashAge
}

// partCrashes are the crashes that may be due to one part, sorted by BrokeAt.
type partCrashes []PartCrash

// add returns the crashes with another one, and whether it was not among them.
func (cs partCrashes) add(c PartCrash) (partCrashes, bool) {
	if cs.contain(c) {
		return cs, false
	}
	cs = append(cs, c)
	sort.SliceStable(cs, func(i, j int) bool { return cs[i].BrokeAt.Before(cs[j].BrokeAt) })
	if len(cs) > maxPartCrashes {
		cs = slices.Delete(cs, 0, len(cs)-maxPartCrashes)
	}
	return cs, true
}

// hasServer reports whether one of the crashes is that of a server.
func (cs partCrashes) hasServer(server fleet.ServerID) bool {
	return slices.ContainsFunc(cs, func(c PartCrash) bool { return c.Server == server })
}

func (cs partCrashes) contain(c PartCrash) bool {
	return slices.ContainsFunc(cs, c.isSameCrash)
}

// covers reports whether all other crashes are among these.
func (cs partCrashes) covers(others partCrashes) bool {
	for _, other := range others {
		if !cs.contain(other) {
			return false
		}
	}
	return true
}

// after returns the crashes after a time.
func (cs partCrashes) after(at time.Time) partCrashes {
	return slices.DeleteFunc(cs, func(c PartCrash) bool { return c.BrokeAt.Before(at) })
}

// without returns the crashes that are not among others.
func (cs partCrashes) without(others partCrashes) partCrashes {
	return slices.DeleteFunc(cs, others.contain)
}

// hasOwn reports whether a call of this node was in progress in one of the crashes.
func (cs partCrashes) hasOwn() bool {
	return slices.ContainsFunc(cs, func(c PartCrash) bool { return c.Own })
}

// events returns the number of crashes until a time, counting those that follow each other
// within simultaneousTime once: they may have one cause outside, and then all calls that
// are in progress share them, whatever their parts. Those that are separate count anyway.
func (cs partCrashes) events(until time.Time, isSeparate func(PartCrash) bool) int {
	count := 0
	var last time.Time
	for _, c := range cs {
		if c.BrokeAt.After(until) {
			break
		}
		if count == 0 || c.BrokeAt.Sub(last) > simultaneousTime || isSeparate(c) {
			count++
			last = c.BrokeAt
		}
	}
	return count
}
