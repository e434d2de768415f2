// Package weights holds what a node knows of the weight versions that the operator
// named: the versions of a model, and when each was named.
package weights

import (
	"slices"
	"time"
)

// Named is a weight version that the operator named.
type Named struct {
	Version int
	// At is when the first node that followed the operator's changes without a gap
	// learned of the version, as far as this node knows. It is zero when no such node is
	// known: the version may then be of any age.
	At time.Time
}

// AgeKnown reports whether the age of the version is known.
func (n Named) AgeKnown() bool {
	return !n.At.IsZero()
}

// maxVersions bounds the versions of a history.
const maxVersions = 64

// History holds the named versions of one model in ascending order. The zero value is
// an empty history.
type History struct {
	named []Named
}

// Newest returns the newest version, or 0 when none was named.
func (h *History) Newest() int {
	if len(h.named) == 0 {
		return 0
	}
	return h.named[len(h.named)-1].Version
}

// Add adds what this node or a peer knows of a version. A known age replaces an unknown
// one, and the earliest of two times counts, because no node learns of a version before
// it is named.
func (h *History) Add(n Named) {
	at, found := slices.BinarySearchFunc(h.named, n.Version, compareVersion)
	if !found {
		h.named = slices.Insert(h.named, at, n)
		h.dropOldest()
		return
	}
	if known := &h.named[at]; n.AgeKnown() && (!known.AgeKnown() || n.At.Before(known.At)) {
		known.At = n.At
	}
}

// dropOldest removes the oldest version of a history that has too many. The next one
// takes over its time, so that no limit that counts from it is extended.
func (h *History) dropOldest() {
	if len(h.named) <= maxVersions {
		return
	}
	h.named[1].At = h.named[0].At
	h.named = slices.Delete(h.named, 0, 1)
}

// AgeKnown reports whether the history has the version and knows its age.
func (h *History) AgeKnown(version int) bool {
	at, found := slices.BinarySearchFunc(h.named, version, compareVersion)
	return found && h.named[at].AgeKnown()
}

// compareVersion orders named versions for binary searches.
func compareVersion(n Named, version int) int {
	return n.Version - version
}

// FirstNewer returns the first version that is newer than the given one, and false
// when there is none.
func (h *History) FirstNewer(version int) (Named, bool) {
	newer := h.NewerThan(version)
	if len(newer) == 0 {
		return Named{}, false
	}
	return newer[0], true
}

// NewerThan returns the versions that are newer than the given one in ascending order.
// The caller must not change them.
func (h *History) NewerThan(version int) []Named {
	first, _ := slices.BinarySearchFunc(h.named, version+1, compareVersion)
	return h.named[first:]
}

// Shift moves the known times into the past by the time for which the clock of this
// node stood still.
func (h *History) Shift(stopped time.Duration) {
	for i := range h.named {
		if h.named[i].AgeKnown() {
			h.named[i].At = h.named[i].At.Add(-stopped)
		}
	}
}

// ForgetSince makes the age of the versions unknown that this node learned of after a
// time.
func (h *History) ForgetSince(at time.Time) {
	for i := range h.named {
		if h.named[i].At.After(at) {
			h.named[i].At = time.Time{}
		}
	}
}
