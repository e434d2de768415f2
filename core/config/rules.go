// Package config holds the operators' rules as typed values and decides
// which version of them is in force.
package config

import (
	"time"

	"tanagerspread/core/request"
)

// Version numbers a configuration. It only increases.
type Version uint64

// Rules is the parsed content of one rules file.
type Rules struct {
	Organisations map[request.Organisation]Organisation
	Tokens        map[request.Digest]Token
	Classes       map[request.Class]Class
	Models        map[string]Model
	Services      map[string]Service
	Servers       map[string]ServerRule
	// Routes selects the service of a forwarded call.
	Routes RouteTable
	// Pools describes the services that forwarded calls go to.
	Pools map[string]Pool
	// CacheStores lists the stores of KV cache, by name.
	CacheStores []CacheStore
	Policy      Policy
	// Comments maps "section/key" to who asked for the rule.
	Comments map[string]string
}

// Organisation limits one organisation.
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
	// Models lists the models and services that it may use; empty means all.
	Models []string
	// Priority replaces the priority of the route of a forwarded call when it
	// is set; 0 is the most urgent.
	Priority *int
	// Isolated keeps the cached parts of the organisation apart from those of
	// all others.
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
	// QueueLimit is the largest number of requests that may wait on a node.
	QueueLimit int
	// FirstTokenTarget is the goal for the time to the first token.
	FirstTokenTarget time.Duration
}

// Model describes one served model.
type Model struct {
	// Weights is the weight version that new requests use.
	Weights int
	// Adapter is the adapter of the engines; empty means none. It changes only
	// together with Weights.
	Adapter string
	// Role is what the engines do; empty leaves their role as it is.
	Role  string
	Class request.Class
}

// Service describes one plain service.
type Service struct {
	NonIdempotent bool
	// EchoOptional accepts responses that do not name their request.
	EchoOptional bool
	Class        request.Class
}

// ServerRule is an operator's word about one backend server.
type ServerRule struct {
	Leaving bool
}

// Policy selects how requests are placed.
type Policy struct {
	// Placement is the name of the placement policy.
	Placement string
	// LinkPrice is the time that a transferred mebibyte is worth.
	LinkPrice time.Duration
	// ExportMinBlocks is the least number of blocks of a prompt that is
	// exported; 0 means 1.
	ExportMinBlocks int
}

// RuleName is the key of a rule in Comments.
func RuleName(section, key string) string {
	return section + "/" + key
}
