package control

import (
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/kvcache"
	"tanagerspread/core/placement"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
)

// Decision answers a question.
type Decision interface {
	decision()
}

// Admitted lets a request enter the node.
type Admitted struct {
	Organisation request.Organisation
	Class        request.Class
	// Scope binds the cache keys of the request.
	Scope cachekey.Scope
	// Claim is true when the at-most-once record must be claimed first.
	Claim bool
	// EchoOptional is true when the response of the service may lack the identifier
	// of the request.
	EchoOptional bool
	// Deadline is when the request must be finished.
	Deadline time.Time
	// Route is the route of a forwarded call.
	Route *config.Route
}

// Proceed lets the requester take the step that it asked about. As the answer to
// Recorded it lets the requester finish.
type Proceed struct{}

// Replay tells the requester to return the stored response of an earlier call.
type Replay struct{}

// Dispatch sends an attempt to a backend server.
type Dispatch struct {
	Attempt  request.AttemptID
	Server   fleet.ServerID
	Address  string
	Priority int
	// Source is where the cache blocks of the prompt are expected.
	Source placement.Source
	// Import is the plan of the import when the source is a store, or nil.
	Import *placement.ImportPlan
	// ImportTimeout bounds the import.
	ImportTimeout time.Duration
	// DialTimeout bounds the wait for the connection, HeaderTimeout that for the
	// response headers, and GapTimeout that between two parts of the response.
	DialTimeout   time.Duration
	HeaderTimeout time.Duration
	GapTimeout    time.Duration
	// Forward is set for a forwarded call.
	Forward *Forwarding
}

// ImportBlocks lists the blocks that an engine may import from a store.
type ImportBlocks struct {
	Blocks []kvcache.Block
}

// Deliver finishes a request whose response is complete.
type Deliver struct {
	// Record is true when the at-most-once record must be completed. The
	// requester then sends Recorded.
	Record bool
}

// Refusal finishes a request with an error.
type Refusal struct {
	Err *code.Error
	// RetryAfter is the delay that the caller is advised to wait before a repeat.
	RetryAfter time.Duration
	// Version is the configuration that was in force.
	Version config.Version
	// Release is true when the at-most-once claim must be released. The
	// requester then sends Recorded.
	Release bool
}

func (Admitted) decision()     {}
func (Proceed) decision()      {}
func (Replay) decision()       {}
func (Dispatch) decision()     {}
func (ImportBlocks) decision() {}
func (Deliver) decision()      {}
func (Refusal) decision()      {}
func (Dump) decision()         {}

// Reply is the decision on the unanswered question of a request.
type Reply struct {
	To       request.ID
	Decision Decision
}

// Command asks a traffic goroutine to act.
type Command interface {
	command()
}

// NodeState announces a new state of the node.
type NodeState struct {
	State string
	// Ready is the answer to the load balancer's readiness check.
	Ready bool
	// Stopped is true when the process may exit.
	Stopped bool
}

// PublishQuarantine stores quarantined fingerprints in the key-value service
// and sends suspect ones to peers.
type PublishQuarantine struct {
	Entries []quarantine.Entry
	// Parts are quarantined prompt parts. The key-value service keeps each until
	// PartsExpireAt.
	Parts         []quarantine.PartQuarantine
	PartsExpireAt time.Time
}

// ExportBlocks orders an engine to write cache blocks to a store. It is
// followed by ExportWritten and ExportDone.
type ExportBlocks struct {
	ID request.ID
	// EngineAddress and StoreAddress are IP addresses with ports.
	EngineAddress string
	StoreAddress  string
	Namespace     cachekey.Key
	Keys          []cachekey.Key
	// Generation is the generation number of the written blocks.
	Generation uint64
}

func (ExportBlocks) command()      {}
func (NodeState) command()         {}
func (PublishQuarantine) command() {}

// Output holds the replies and commands that follow from one message.
type Output struct {
	Replies  []Reply
	Commands []Command
}
