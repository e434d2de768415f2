// Package fleet describes the fleet as one node sees it: the backend servers, the
// block stores and the cache stores, with their load, speed and availability.
// Nodes do not belong to it; package membership describes them.
package fleet

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/pace"
)

// ServerID identifies a backend server; it is the VM's name in the VM list.
type ServerID string

// Domain is the name of a failure domain.
type Domain string

// Role is the kind of server that a VM runs.
type Role string

// The roles of VMs in the VM list.
const (
	RoleEntryVM Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
	RoleStore   Role = "store"
)

// Load is the load that a backend server reported.
type Load struct {
	Running       int
	Waiting       int
	PrefillTokens int
	ReportedAt    time.Time
}

// Server is one backend server as this node sees it.
type Server struct {
	ID      ServerID
	Address string
	Domain  Domain
	Role    Role
	// Serves is the model or service that the server offers.
	Serves string
	// Model is the model of an engine that is found by its service, or empty.
	Model string
	// Weights is the weight version that the engine has loaded.
	Weights int
	// ReportedWeights is the weight version that the engine reported in a response,
	// or 0. It may be newer than the one in the VM list.
	ReportedWeights int
	Load            Load
	// Speed is the prefill speed, shared by all servers of a group, or nil.
	Speed *Speed
	// InFlight counts this node's own attempts in progress on the server.
	InFlight int
	// PrefillTokens counts the uncached prompt tokens of this node's attempts
	// that have not produced a first token.
	PrefillTokens int
	// OwnPrefillAtReport is the value of PrefillTokens when Load was reported.
	OwnPrefillAtReport int
	// SuspectAttempts counts this node's attempts of requests whose fingerprint is
	// suspect.
	SuspectAttempts int
	// Failures counts the failed attempts since the last successful one.
	Failures int
	// LastFailure is when the last attempt failed.
	LastFailure time.Time
	// LastSuccessStart is when the attempt that succeeded last was started. Its
	// success proves the server healthy at that time or later.
	LastSuccessStart time.Time
	// LastResponseAt is when this node last received a response from the server.
	LastResponseAt time.Time
	// MaxConcurrency is the number of requests that the server runs at once, or 0
	// when unknown.
	MaxConcurrency int
	// StartedAtMS is when the server's process started in Unix milliseconds, or 0
	// when unknown.
	StartedAtMS int64
	// SlowStartSlots limits the attempts in flight while the server recovers.
	SlowStartSlots int
	// LeavingByList is true while the VM list shows the VM as leaving.
	LeavingByList bool
	// LeavingByRule is true while an operator's rule marks the server as leaving.
	LeavingByRule bool
	// LeavingByResponse is true once a response of the server to this node said that it
	// leaves, which holds until its process ends.
	LeavingByResponse bool
	// LeavingReportedAt is when the server last reported to this node or to a peer
	// that it is leaving, or when one of them saw it listed as leaving before any
	// report. It is zero when there was neither.
	LeavingReportedAt time.Time
	// EntryRevision is the revision of the server's entry in the VM list, or 0 when
	// the list has no revisions.
	EntryRevision uint64
	// LeavingRevision is the revision of the entry that this node or a peer saw as
	// leaving, or 0 when there is none.
	LeavingRevision uint64
	// ReturnedAt is when the VM list last changed the server from leaving to live.
	ReturnedAt time.Time
	// CacheEpoch changes when the server restarts, which empties its cache.
	CacheEpoch uint64
	// WeightsOutdated is true while the operator wants other weights on the engine.
	WeightsOutdated bool
	// BackoffUntil is when the server may get work again after it refused an
	// attempt.
	BackoffUntil time.Time
	// RemoveAfter is when a server that is missing from the VM list is removed, or
	// zero while it is listed.
	RemoveAfter time.Time
	Chart       chart.Instance
	// ColdUntil is until when the entry of the server states that it is cold.
	ColdUntil time.Time
	// LinkFreeAt is when the fetches of this node's calls at the server are expected to
	// have ended.
	LinkFreeAt time.Time
	// Pace limits the calls to the server while it is cold or warms up.
	Pace pace.Pace
	// workByPeer is the work that each peer reported, peerPrefillTokens the sum of
	// its prefill work, advertisedWork the work of this node as last advertised.
	workByPeer        map[string]reportedWork
	peerPrefillTokens int
	advertisedWork    advertisedWork
	// ownMemory is the memory that requests of this node occupy, memory that of all
	// nodes.
	ownMemory   memoryLedger
	memory      memoryLedger
	turn        turn
	turnStart   turnStart
	excessDelay decayingDelay
}
