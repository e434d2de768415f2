package config

import (
	"strings"
	"time"

	"tanagerspread/core/fleet"
)

// RouteKind tells what may be repeated on a route.
type RouteKind int

// The kinds of routes.
const (
	// Idempotent calls may run more than once.
	Idempotent RouteKind = iota + 1
	// NonIdempotent calls may run at most once.
	NonIdempotent
	// Streaming calls are answered by a series of events.
	Streaming
)

// String returns the name of the kind for logs and metrics.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// Route tells where calls of one host and path prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable is true when a broken stream may go on at another server.
	Resumable bool
	// Split shares the calls between services by weight.
	Split []WeightedService
	// Timeout bounds the time until the response is complete.
	Timeout time.Duration
	// FirstPartTarget is the time to the first part within which a response is on time.
	FirstPartTarget time.Duration
	// MaxAttempts bounds the servers that may run one call.
	MaxAttempts int
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// AuthExempt is true when calls need no API key.
	AuthExempt bool
}

// WeightedService is the part of a route's calls that one service gets.
type WeightedService struct {
	Service string
	Weight  int
}

// Repeatable reports whether a call may run again after an attempt that may
// have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pool describes the servers of one service.
type Pool struct {
	// MaxConnections bounds the connections that a server accepts from all nodes.
	MaxConnections int
	// Role tells model engines from plain services.
	Role fleet.Role
	// TokenBytes is the size of one cached token, CacheTokens the capacity of
	// one engine's cache.
	TokenBytes  int64
	CacheTokens int
	// MaxFollowers bounds the nodes that may follow the events of one engine.
	MaxFollowers int
}

// CacheStore is a store that keeps the KV cache of engines.
type CacheStore struct {
	Name           string
	Address        string
	Domain         fleet.Domain
	CapacityTokens int
	// Managed is true when the store drops nothing on its own.
	Managed bool
	// MaxFollowers bounds the nodes that may follow the events of the store.
	MaxFollowers int
}

// RouteTable finds routes by host and longest path prefix.
type RouteTable struct {
	byHost map[string]map[string]*Route
}

// NewRouteTable indexes routes. Of two routes with the same host and prefix the
// last one counts.
func NewRouteTable(routes []*Route) RouteTable {
	t := RouteTable{byHost: map[string]map[string]*Route{}}
	for _, route := range routes {
		prefixes := t.byHost[route.Host]
		if prefixes == nil {
			prefixes = map[string]*Route{}
			t.byHost[route.Host] = prefixes
		}
		prefixes[route.Prefix] = route
	}
	return t
}

// Find returns the route with the longest prefix that begins the path, or nil.
func (t RouteTable) Find(host, path string) *Route {
	prefixes := t.byHost[host]
	for len(prefixes) > 0 {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			return nil
		}
		if route := prefixes[path[:end+1]]; route != nil {
			return route
		}
		path = path[:end]
	}
	return nil
}
