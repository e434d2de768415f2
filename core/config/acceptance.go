package config

import (
	"sort"
	"time"
)

// FenceTime is the time since the last confirmation of its configuration after
// which a node fences itself.
const FenceTime = 10 * time.Second

// SessionTTL is the time to live of a session entry that is not renewed.
const SessionTTL = 30 * time.Second

// RestartWait is the time after which no acknowledgement of a process that
// was replaced by a newer one is counted: the session entry that carries it
// expires within SessionTTL, and a peer relays it for at most FenceTime.
const RestartWait = SessionTTL + FenceTime

// Majority returns the smallest number that is more than half of the members.
func Majority(members int) int {
	return members/2 + 1
}

// AcceptanceStatus reports whether the nodes have accepted a committed version.
type AcceptanceStatus struct {
	// Accepted is true when no member can still serve with an older version.
	Accepted bool
	// Missing lists the members that have not acknowledged the version, sorted.
	Missing []string
}

// Acceptance collects the acknowledgements of one version.
type Acceptance struct {
	version      Version
	acknowledged map[string]bool
	majorityAt   time.Time
}

// NewAcceptance returns the acceptance of a committed version, without
// acknowledgements.
func NewAcceptance(version Version) *Acceptance {
	return &Acceptance{version: version, acknowledged: map[string]bool{}}
}

// Reset removes all acknowledgements before they are read again. An
// acknowledgement counts only while its session entry exists, because a
// restarted node may have an older version in force than before.
func (a *Acceptance) Reset() {
	clear(a.acknowledged)
}

// Acknowledge records the version that a node has in force. An older one does
// not count as an acknowledgement.
func (a *Acceptance) Acknowledge(node string, inForce Version) {
	if inForce >= a.version {
		a.acknowledged[node] = true
	}
}

// Status returns the status for the member list. The version is accepted when
// all members have acknowledged it, or when FenceTime has passed since a
// majority has.
//
// FenceTime is counted from the moment at which the acknowledgements became a
// majority. Until then a node may have seen an acknowledging member shortly
// before that member put the version in force, and having seen it keeps the node
// from fencing itself for FenceTime.
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
