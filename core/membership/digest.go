// Package membership keeps what one node knows about the other entry VMs.
package membership

import (
	"hash/fnv"
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/quarantine"
)

const (
	// UnknownAge is the age of a member that was not seen within MaxAge.
	UnknownAge uint8 = 15
	// MaxAgeSeconds is the oldest sighting that a digest carries, in seconds.
	MaxAgeSeconds = 14
	// MaxPeriodicItems bounds the quarantine and leaving lists of periodic digests.
	// With two items in each list of a question and none in an answer, digests
	// fit the allowance of 3 KB/s at 340 nodes. A digest that announces a change
	// of the quarantine, and the answer to a starting node, may carry up to
	// quarantine.MaxShared fingerprints.
	MaxPeriodicItems = 2
	// UnknownConfirmation is the confirmation age of a node that knows of no
	// confirmation.
	UnknownConfirmation = time.Duration(-1)
)

// The states of a node that its peers act on, whatever its chart calls them.
const (
	StateStarting = "starting"
	StateLeaving  = "leaving"
)

// Digest is what a node tells a peer about itself and the fleet.
type Digest struct {
	Node        string
	Incarnation uint64
	// State is the state of the node's own chart, StateStarting or
	// StateLeaving.
	State string
	// Version is the configuration in force; 0 means none.
	Version config.Version
	// NewestVersion is the newest version that the node knows of.
	NewestVersion config.Version
	// KeyValueUnreachable is true when the node does not reach the key-value service.
	KeyValueUnreachable bool
	// ConfirmationAge is the age of the last confirmation of Version, or
	// UnknownConfirmation.
	ConfirmationAge time.Duration
	// MemberListID identifies the member list that Ages refers to.
	MemberListID uint32
	// LastSeenAges holds the age of the last sighting of each member in whole
	// seconds, rounded up, in the order of the member list.
	LastSeenAges []uint8
	// Quarantine lists what the node knows of fingerprints.
	Quarantine []FingerprintStatus
	// LeavingReports lists backend servers that said that they are leaving.
	LeavingReports []LeavingReport
}

// FingerprintStatus is what a node knows of one request fingerprint.
type FingerprintStatus struct {
	ID   quarantine.Fingerprint
	Kind quarantine.Kind
	// Server is the backend server that the request may have crashed.
	Server fleet.ServerID
	// ExpiresIn is the time until the entry expires.
	ExpiresIn time.Duration
}

// LeavingReport is the word of a backend server that is leaving.
type LeavingReport struct {
	Server  string
	Address string
	// Age is the time since the server said so.
	Age time.Duration
}

// MemberListID identifies a sorted list of members.
func MemberListID(members []string) uint32 {
	hash := fnv.New32a()
	for _, member := range members {
		_, _ = hash.Write([]byte(member))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum32()
}

// lastSeenAge rounds up, so that a relayed sighting never looks newer than it is.
func lastSeenAge(now, lastSeen time.Time) uint8 {
	if lastSeen.IsZero() {
		return UnknownAge
	}
	seconds := (now.Sub(lastSeen) + time.Second - 1) / time.Second
	if seconds > MaxAgeSeconds {
		return UnknownAge
	}
	return uint8(max(seconds, 0))
}
