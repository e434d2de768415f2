package config

import (
	"strings"
	"time"

	"tanagerspread/core/fleet"
)

// RouteKind defines whether the calls of a route may be repeated.
type RouteKind int

// The kinds of routes.
const (
	// Idempotent calls may run more than once.
	Idempotent RouteKind = iota + 1
	// NonIdempotent calls may run at most once.
	NonIdempotent
	// Streaming calls get a stream of events as the response.
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

// Route describes the forwarded calls of one host and path prefix.
type Route struct {
	Name string
	// Host is in lower case and has no port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable is true when a broken stream may be continued by another server.
	Resumable bool
	// Split distributes the calls over services by weight.
	Split []WeightedService
	// Timeout bounds the time until the response is complete.
	Timeout time.Duration
	// FirstPartTarget is the time to the first part of the response within which
	// the response is on time.
	FirstPartTarget time.Duration
	// MaxAttempts bounds the attempts that reach a server with one call.
	MaxAttempts int
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// AuthExempt is true when calls need no API key.
	AuthExempt bool
}

// WeightedService is a service with its weight in the split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Repeatable reports whether a call may be repeated after an attempt that may
// have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pool describes the servers of one service that forwarded calls go to.
type Pool struct {
	// MaxConnections bounds the connections that one server accepts from all
	// nodes together.
	MaxConnections int
	// Role distinguishes model engines from plain services.
	Role fleet.Role
	// TokenBytes is the size of one cached token in bytes, CacheTokens the
	// capacity of one engine's cache in tokens.
	TokenBytes  int64
	CacheTokens int
	// LinkRate is the rate at which an engine transfers KV cache in bytes a second, or 0
	// when it is unknown.
	LinkRate float64
	// MaxFollowers bounds the nodes that may follow the event feed of one engine.
	MaxFollowers int
	// ColdRate is the number of calls a second that a cold server bears from all nodes
	// together, or 0 when cold servers need no limit.
	ColdRate float64
}

// CacheStore describes a cache store, which keeps parts of the engines' KV cache.
type CacheStore struct {
	Name           string
	Address        string
	Domain         fleet.Domain
	CapacityTokens int
	// Managed is true when the store evicts nothing on its own.
	Managed bool
	// MaxFollowers bounds the nodes that may follow the event feed of the store.
	MaxFollowers int
}

// RouteTable finds routes by host and longest path prefix.
type RouteTable struct {
	byHost map[string]map[string]*Route
}

// NewRouteTable returns a table of the routes. Of two routes with the same host
// and prefix the last one applies.
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

// Find returns the route of the host with the longest prefix that matches the
// path, or nil.
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
