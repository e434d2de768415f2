// Package config holds the operators' rules as typed values and decides which
// version of them is in force.
package config

import (
	"time"

	"tanagerspread/core/callerconn"
	"tanagerspread/core/request"
)

// Version numbers a configuration. It only increases.
type Version uint64

// Rules is the parsed content of one rules file.
type Rules struct {
	Organisations map[request.Organisation]Organisation
	Tokens        map[request.Digest]Token
	// Keyless is true when forwarded calls need no API key, because the configuration
	// does not define organisations.
	Keyless  bool
	Classes  map[request.Class]Class
	Models   map[string]Model
	Services map[string]Service
	Servers  map[string]ServerRule
	// Routes selects the route of a forwarded call.
	Routes RouteTable
	// Pools describes the services that forwarded calls go to.
	Pools map[string]Pool
	// CacheStores lists the cache stores, sorted by name.
	CacheStores []CacheStore
	Policy      Policy
	// CallerLimits are the limits on the requests of callers.
	CallerLimits callerconn.Limits
	// Comments maps "section/key" to the comment that states who asked for the
	// rule.
	Comments map[string]string
}

// Organisation describes one organisation and its limits.
type Organisation struct {
	// Rate is the allowed number of requests per second over all nodes.
	Rate float64
	// Burst is the number of requests allowed at once.
	Burst int
	// TokenRate is the allowed number of prompt tokens per second; 0 means no
	// limit.
	TokenRate float64
	// TokenBurst is the number of prompt tokens allowed at once.
	TokenBurst int
	// Models lists the models and services that the organisation may use; empty
	// means all.
	Models []string
	// Priority overrides the priority of the route of a forwarded call when it is
	// set; 0 is the most urgent.
	Priority *int
	// Isolated is true when the organisation shares no cached parts with others.
	Isolated bool
}

// Token binds a bearer token to an organisation.
type Token struct {
	Organisation request.Organisation
}

// Class describes one class of requests.
type Class struct {
	// Priority orders classes; 0 is the most urgent.
	Priority int
	// QueueLimit is the largest number of requests that may wait on one node.
	QueueLimit int
	// FirstTokenTarget is the target for the time to the first token.
	FirstTokenTarget time.Duration
}

// Model describes one served model.
type Model struct {
	// Weights is the weight version that new requests use.
	Weights int
	// Adapter is the adapter of the engines; empty means none. It changes only
	// together with Weights.
	Adapter string
	// Role is the role of the engines; empty leaves their role unchanged.
	Role  string
	Class request.Class
}

// Service describes one plain service.
type Service struct {
	NonIdempotent bool
	// EchoOptional is true when responses may lack the identifier of their request.
	EchoOptional bool
	Class        request.Class
}

// ServerRule is an operator's rule about one backend server.
type ServerRule struct {
	Leaving bool
}

// Policy selects how requests are placed.
type Policy struct {
	// Placement is the name of the placement policy.
	Placement string
	// LinkPrice is the cost of a transferred mebibyte, as a time.
	LinkPrice time.Duration
	// ExportMinBlocks is the smallest number of blocks of a prompt that are
	// exported; 0 means 1.
	ExportMinBlocks int
}

// RuleName returns the key of a rule in Comments.
func RuleName(section, key string) string {
	return section + "/" + key
}
