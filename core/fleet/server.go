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
	// SaidWeights is the weight version that the engine named in a response, or 0.
	// It may be newer than the listed one.
	SaidWeights int
	Load        Load
	// Speed is shared by all servers of the model, or nil.
	Speed *Speed
	// InFlight counts this node's own attempts on the server.
	InFlight int
	// PrefillTokens counts the uncached prompt tokens of this node's attempts
	// that have not produced a first token.
	PrefillTokens int
	// OwnAtReport is the value of PrefillTokens when Load was reported.
	OwnAtReport int
	// Suspects counts this node's attempts whose fingerprint is suspect.
	Suspects int
	// Failures counts failed attempts since the last good one.
	Failures int
	// LastFailure is when the last attempt failed.
	LastFailure time.Time
	// Evidence is when the attempt began whose success is being reported.
	Evidence time.Time
	// Places is the number of requests that the server runs at once, or 0 when
	// it did not say.
	Places int
	// Born is the start of the server's process in Unix milliseconds, or 0.
	Born int64
	// Slots bounds the attempts in flight while the server recovers.
	Slots int
	// ListedLeaving is true while the VM list says that the VM is leaving.
	ListedLeaving bool
	// RuledLeaving is true while an operator's rule says that it is leaving.
	RuledLeaving bool
	// SaidAt is when the server last said that it is leaving, to this node or
	// to a peer.
	SaidAt time.Time
	// ReturnedAt is when the VM list last showed the server live again.
	ReturnedAt time.Time
	// CacheEpoch changes when the server starts again and keeps no part.
	CacheEpoch uint64
	// Behind is true while the operator wants other weights on the server.
	Behind bool
	// BusyUntil is when the server may get work again after it refused some.
	BusyUntil time.Time
	// MissingUntil is when a server that the list lacks counts as gone, or zero.
	MissingUntil time.Time
	Chart        chart.Instance
	// peers holds what peers told of their prompt work, told what this node
	// told.
	peers map[string]peerWork
	told  toldWork
	delay delay
}
