// Package fleet describes the backend servers as one node sees them.
package fleet

import (
	"time"

	"tanagerspread/chart"
)

// ServerID names a backend server; it is the VM's name in the VM list.
type ServerID string

// Domain is the name of a failure domain.
type Domain string

// Role tells what a VM runs.
type Role string

// The roles of VMs in the VM list.
const (
	RoleEntry   Role = "entry"
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
	// ReportedWeights is the weight version that the engine named in a response, or 0.
	// It may be newer than the listed one.
	ReportedWeights int
	Load            Load
	// Speed is shared by all servers of the model, or nil.
	Speed *Speed
	// InFlight counts this node's own attempts on the server.
	InFlight int
	// PrefillTokens counts the uncached prompt tokens of this node's attempts
	// that have not produced a first token.
	PrefillTokens int
	// OwnPrefillAtReport is the value of PrefillTokens when Load was reported.
	OwnPrefillAtReport int
	// SuspectAttempts counts this node's attempts whose fingerprint is suspect.
	SuspectAttempts int
	// Failures counts failed attempts since the last good one.
	Failures int
	// LastFailure is when the last attempt failed.
	LastFailure time.Time
	// LastSuccessStart is when the attempt began whose success is being reported.
	LastSuccessStart time.Time
	// MaxConcurrency is the number of requests that the server runs at once, or 0 when
	// it did not say.
	MaxConcurrency int
	// StartedAtMS is the start of the server's process in Unix milliseconds, or 0.
	StartedAtMS int64
	// SlowStartSlots bounds the attempts in flight while the server recovers.
	SlowStartSlots int
	// LeavingByList is true while the VM list says that the VM is leaving.
	LeavingByList bool
	// LeavingByRule is true while an operator's rule says that it is leaving.
	LeavingByRule bool
	// LeavingReportedAt is when the server last said that it is leaving, to this node or
	// to a peer.
	LeavingReportedAt time.Time
	// ReturnedAt is when the VM list last showed the server live again.
	ReturnedAt time.Time
	// CacheEpoch changes when the server starts again and keeps no part.
	CacheEpoch uint64
	// WeightsOutdated is true while the operator wants other weights on the server.
	WeightsOutdated bool
	// BackoffUntil is when the server may get work again after it refused some.
	BackoffUntil time.Time
	// RemoveAfter is when a server that the list lacks counts as gone, or zero.
	RemoveAfter time.Time
	Chart       chart.Instance
	// workByPeer holds what workByPeer told of their prompt work, told what this node
	// told.
	workByPeer     map[string]reportedWork
	advertisedWork advertisedWork
	excessDelay    decayingDelay
}
