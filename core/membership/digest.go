// Package membership holds what a node knows of the other nodes: who they are,
// when each was last seen and which configuration it has in force.
//
// A member is an entry VM with the node that runs on it; the member list has all
// of them, the own one included. A peer is another member.
package membership

import (
	"hash/fnv"
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/quarantine"
)

const (
	// UnknownAge is the last-seen age of a member that was not seen within
	// MaxAgeSeconds.
	UnknownAge uint8 = 15
	// MaxAgeSeconds is the largest last-seen age that a digest carries.
	MaxAgeSeconds = 14
	// MaxPeriodicItems bounds the quarantined fingerprints and prompt parts together,
	// and the list of leaving reports, in periodic digests. With two items in each list of a request and
	// none in a response, digests stay within 3 KB/s at 340 nodes. A digest that
	// announces a change of the quarantine, and the response to a starting node,
	// may carry up to quarantine.MaxDigestEntries fingerprints.
	MaxPeriodicItems = 2
	// MaxNamedWeights bounds the named weight versions in a digest.
	MaxNamedWeights = 4
	// UnknownConfirmation is the ConfirmationAge of a node whose configuration
	// was never confirmed.
	UnknownConfirmation = time.Duration(-1)
)

// The states in digests that peers act on. They do not depend on the names of
// the states in the node's chart.
const (
	StateStarting = "starting"
	StateLeaving  = "leaving"
)

// Digest is the message in which a node gossips its own state and its view of
// the other members to a peer.
type Digest struct {
	Node        string
	Incarnation uint64
	// State is StateStarting, StateLeaving, or the state of the node's chart.
	State string
	// Version is the version of the configuration in force; 0 means none.
	Version config.Version
	// NewestVersion is the newest configuration version that the node has learned
	// of.
	NewestVersion config.Version
	// KeyValueUnreachable is true when the node cannot reach the key-value
	// service.
	KeyValueUnreachable bool
	// StoreEra is the latest era of the key-value service that the node knows, or 0.
	StoreEra uint64
	// ConfirmationAge is the time since Version was last confirmed as the newest
	// version, or UnknownConfirmation.
	ConfirmationAge time.Duration
	// MemberListID identifies the member list that LastSeenAges refers to.
	MemberListID uint32
	// LastSeenAges holds the last-seen age of each member in whole seconds,
	// rounded up, in the order of the member list.
	LastSeenAges []uint8
	// Quarantine lists suspect, quarantined and cleared fingerprints.
	Quarantine []QuarantineStatus
	// Parts is what the node reports about prompt parts that may crash servers.
	Parts PartReports
	// LeavingReports lists backend servers that reported that they are leaving or
	// that the VM list shows as leaving.
	LeavingReports []LeavingReport
	// WantsNamedWeights is true when the node asks for NamedWeights, because it does not
	// know how old a version is that an engine lacks.
	WantsNamedWeights bool
	// NamedWeights lists weight versions with their ages: those that an engine lacks in
	// the reply to a node that asks for them, and in an urgent digest a version that was
	// just named. Other digests have none, so that they stay within 3 KB/s.
	NamedWeights []NamedWeights
}

// NamedWeights is a weight version that the operator named.
type NamedWeights struct {
	Model   string
	Version int
	// Age is the time since the first node learned of the version.
	Age time.Duration
}

// QuarantineStatus is the quarantine state of one request fingerprint.
type QuarantineStatus struct {
	Fingerprint quarantine.Fingerprint
	Kind        quarantine.Kind
	// Server is the backend server that the request may have crashed.
	Server fleet.ServerID
	// ExpiresIn is the time until the entry expires, since the clocks of two
	// nodes may differ.
	ExpiresIn time.Duration
}

// PartReports is what a node reports about prompt parts that may crash servers. All times are
// ages, since the clocks of two nodes may differ.
type PartReports struct {
	Crashes []PartCrash
	// Proofs lists parts to whose calls a server responded, Quarantined those whose calls
	// are refused.
	Proofs      []PartAge
	Quarantined []PartAge
}

// PartCrash is one crash that may be due to a prompt part.
type PartCrash struct {
	Part   quarantine.PartID
	Server fleet.ServerID
	// Age is the time since the connection of a call with the part broke.
	Age time.Duration
	// Depth is the number of parts before this one in the prompt.
	Depth int
}

// PartAge is a prompt part with the time since it was proven or quarantined.
type PartAge struct {
	Part quarantine.PartID
	Age  time.Duration
}

// LeavingReport is the notice that a backend server is leaving. It comes from the
// server itself or from the VM list.
type LeavingReport struct {
	Server  string
	Address string
	// StartedAtMS is when the server's process started in Unix milliseconds, or 0
	// when unknown.
	StartedAtMS int64
	// Revision is the revision of the entry of the VM list that shows the server as
	// leaving, or 0 when only the server itself reported it.
	Revision uint64
	// Age is the time since the server reported it or a node first saw it in the
	// VM list.
	Age time.Duration
}

// MemberListID returns the hash that identifies a sorted list of members.
func MemberListID(members []string) uint32 {
	hash := fnv.New32a()
	for _, member := range members {
		_, _ = hash.Write([]byte(member))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum32()
}

// lastSeenAge returns the age of lastSeen in whole seconds, or UnknownAge. It
// rounds up, so that a relayed last-seen time never looks newer than it is.
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
