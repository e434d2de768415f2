// Package configcheck checks a configuration before the operator sends it and compares
// it with the one in force.
package configcheck

import (
	"time"

	"tanagerspread/core/callerconn"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/request"
)

// Document is a configuration as the operator wrote it. Unlike config.Rules it keeps the
// entries that others hide and the values that the nodes replace.
type Document struct {
	Version       config.Version
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        callerconn.Limits
}

// Route is one route. Its Kind is 0 when the name of the kind is unknown.
type Route struct {
	config.Route
	// GapTarget is the longest pause between two events of a stream that is on time.
	GapTarget time.Duration
}

// Service is one service or cache store.
type Service struct {
	Name string
	// Store is true for a cache store, to which no route leads.
	Store bool
	Pool  config.Pool
	// MaxConcurrency is the concurrency limit of one engine.
	MaxConcurrency int
	// ColdTime is the time for which a started server is cold.
	ColdTime time.Duration
}

// Organisation is one organisation with the digests of its keys.
type Organisation struct {
	Name string
	Keys map[request.Digest]bool
}

// Severity states what a finding means for the operator.
type Severity string

// The severities.
const (
	// Error marks what the nodes refuse or ignore.
	Error Severity = "error"
	// Warning marks an entry without effect or limits that contradict each other.
	Warning Severity = "warning"
	// Difference marks what differs from the version in force.
	Difference Severity = "change"
)

// Section is a part of the document.
type Section int

// The sections.
const (
	Whole Section = iota
	Routes
	Services
	Organisations
	Limits
)

// Field is a field that a finding is about.
type Field int

// The fields. Entry stands for the complete entry.
const (
	Entry Field = iota
	Version
	Name
	Prefix
	Kind
	Timeout
	FirstPartTarget
	GapTarget
	MaxAttempts
	Split
	SplitService
	SplitWeight
	Keys
	MaxConnections
	ColdRate
	ColdTime
	CacheTokens
	HeaderTimeout
	IdleTimeout
)

// Place is where a finding is. Part is the part of the split for SplitService and
// SplitWeight.
type Place struct {
	Section Section
	Index   int
	Field   Field
	Part    int
}

// Finding is one result of a check.
type Finding struct {
	Place    Place
	Severity Severity
	Code     code.Code
	Reason   string
}
