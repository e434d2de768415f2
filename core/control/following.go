package control

import "time"

// catchUpTime is how long after its start a node may still learn of changes that were
// made long before.
const catchUpTime = 5 * time.Second

// changeFollowing is since when this node has followed the changes of the operator
// without a gap. What it learns at the start may be old.
type changeFollowing struct {
	since time.Time
}

// mayBeOld reports whether a change that this node learns of now may have been made
// long before.
func (f *changeFollowing) mayBeOld(now time.Time) bool {
	return now.Sub(f.since) < catchUpTime
}
