// Package placement chooses the backend server of an attempt by filtering,
// scoring and picking over a typed view. Its functions are pure.
package placement

import (
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
)

// Query is the request to be placed.
type Query struct {
	Kind         string
	Serves       string
	Weights      int
	PromptTokens int
	Prefix       []cachekey.Key
	// Avoid lists servers that already failed an attempt of the request.
	Avoid []fleet.ServerID
}

// Candidate is a backend server that passed the filters.
type Candidate struct {
	Server *fleet.Server
	Score  time.Duration
}

// Policy picks a server, or nil when none is fit.
type Policy interface {
	Pick(now time.Time, query Query, servers []*fleet.Server) *fleet.Server
}
