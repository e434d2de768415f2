package config

import (
	"sort"
	"time"
)

// FenceTime is the age of the last confirmation at which a node fences
// itself.
const FenceTime = 10 * time.Second

// SessionTTL is the lifetime of a session entry that is not renewed.
const SessionTTL = 30 * time.Second

// RestartWait is the time after which no acknowledgement of a process that
// was replaced by a newer one is counted: the session entry that carries it
// lapses within the lease time, and a peer relays it for one fence time.
const RestartWait = SessionTTL + FenceTime

// Majority returns the smallest number of members that is more than half.
func Majority(members int) int {
	return members/2 + 1
}

// AcceptanceStatus is what may be said about a committed version.
type AcceptanceStatus struct {
	// Accepted is true when no member can serve with an older version.
	Accepted bool
	// Missing lists the members that have not acknowledged, sorted.
	Missing []string
}

// Acceptance collects acknowledgements of one version.
type Acceptance struct {
	version      Version
	acknowledged map[string]bool
	majorityAt   time.Time
}

// NewAcceptance returns the acceptance of a version that was committed.
func NewAcceptance(version Version) *Acceptance {
	return &Acceptance{version: version, acknowledged: map[string]bool{}}
}

// Reset drops all acknowledgements before they are read again. An
// acknowledgement counts while its session entry exists, since a node that
// was restarted may hold an older version than before.
func (a *Acceptance) Reset() {
	clear(a.acknowledged)
}

// Acknowledge notes the version that a node has in force.
func (a *Acceptance) Acknowledge(node string, inForce Version) {
	if inForce >= a.version {
		a.acknowledged[node] = true
	}
}

// Status returns the verdict for the member list.
//
// The fence time is counted from the moment at which the acknowledgements
// became a majority. Until then a node may have seen an acknowledging member
// shortly before that member took the version over, and such a sighting keeps
// the node from fencing itself for one fence time.
func (a *Acceptance) Status(members []string, now time.Time) AcceptanceStatus {
	status := AcceptanceStatus{}
	for _, member := range members {
		if !a.acknowledged[member] {
			status.Missing = append(status.Missing, member)
		}
	}
	sort.Strings(status.Missing)
	if len(members)-len(status.Missing) < Majority(len(members)) {
		a.majorityAt = time.Time{}
		return status
	}
	if a.majorityAt.IsZero() {
		a.majorityAt = now
	}
	status.Accepted = len(status.Missing) == 0 || now.Sub(a.majorityAt) > FenceTime
	return status
}
