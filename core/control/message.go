package control

import (
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/kvcache"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
)

// Message is what the control thread receives.
type Message interface {
	message()
}

// Question is a message that is answered by one Decision. At most one question
// of a request is unanswered at a time.
type Question interface {
	Message
	// Subject returns the identifier to which the reply is addressed: that of
	// the request, or one that the requester chose.
	Subject() request.ID
}

// Admit asks whether a new request may enter the node. It is answered by
// Admitted or Refusal.
type Admit struct {
	Request request.Request
}

// ClaimResult reports the result of the at-most-once claim of a request. It is
// answered by Proceed, Replay or Refusal.
type ClaimResult struct {
	Request request.ID
	// Err is the reason why the claim failed, or nil.
	Err *code.Error
	// Replay is true when the at-most-once record holds the response of an
	// earlier call.
	Replay bool
}

// Place asks for a backend server. It is answered by Dispatch or Refusal,
// possibly after the request has waited in the queue.
type Place struct {
	Request      request.ID
	Prefix       []cachekey.Key
	PromptTokens int
}

// Connected reports that a connection to the backend server is open and asks
// whether the request may be sent. It is answered by Proceed or Refusal.
type Connected struct {
	Request request.ID
	Attempt request.AttemptID
}

// FirstToken reports that the first part of an attempt's response arrived.
type FirstToken struct {
	Request request.ID
	Attempt request.AttemptID
	// Elapsed is the time since the attempt was sent.
	Elapsed time.Duration
}

// ServerNotice reports what the server of an attempt says about itself. It arrives with
// the headers of the response.
type ServerNotice struct {
	Request request.ID
	Attempt request.AttemptID
	Notice  Notice
}

// ManagementNotice reports what a server says about itself in its response to an order,
// to a read of its state or to a call for its cache events.
type ManagementNotice struct {
	Server fleet.ServerID
	// Address is where the call was sent.
	Address string
	Notice  Notice
}

// Notice is what a server says about itself in a response.
type Notice struct {
	// Leaving is true when the server leaves.
	Leaving bool
	// RetryAfter is for how long the server wants no calls from this node: 0 when it
	// does not say, negative when the value is malformed.
	RetryAfter time.Duration
}

// Outcome is the result of an attempt.
type Outcome int

// The outcomes of an attempt.
const (
	// Succeeded means that the complete response arrived.
	Succeeded Outcome = iota + 1
	// DialFailed means that no connection could be opened.
	DialFailed
	// Rejected means that the backend server reported that it did not run the
	// request.
	Rejected
	// Lost means that the attempt failed after it was sent, so that the request
	// may have run.
	Lost
	// Stopped means that the node cancelled the attempt, for example because the
	// caller disconnected.
	Stopped
)

// AttemptDone reports the end of an attempt. It is answered by Deliver,
// Dispatch or Refusal.
type AttemptDone struct {
	Request request.ID
	Attempt request.AttemptID
	Outcome Outcome
	// Cause describes a failed attempt.
	Cause *code.Error
	// Load is the load report in the response, or nil.
	Load *fleet.Load
	// Leaving is true when the response carries a leaving report.
	Leaving bool
	// NoneRan is true when, as far as the requester knows, no attempt of the
	// request can have run.
	NoneRan bool
	// ConnectionBroken is true when the connection broke while the request was
	// running.
	ConnectionBroken bool
	// OtherServer is true when another server than the expected one refused
	// the request.
	OtherServer bool
	// Weights is the weight version that the server reported: 0 when it reported
	// none, negative when the version could not be parsed.
	Weights int
	// ServerError is true when the response reports a failure of the server
	// itself.
	ServerError bool
	// Answered is true when the response to a forwarded call has a 2xx status.
	Answered bool
}

// Recorded reports that the at-most-once record of a delivered or released
// request was written, or that the node stopped trying to write it. It is
// answered by Proceed; the Deliver or Refusal of the request was the reply to an
// earlier question.
type Recorded struct {
	Request request.ID
}

// Abandon reports that the caller of a request has disconnected.
type Abandon struct {
	Request request.ID
}

// Configure puts a newer configuration into force.
type Configure struct {
	Version config.Version
	Rules   *config.Rules
}

// VM is one entry of the VM list.
type VM struct {
	ID      string
	Address string
	Domain  fleet.Domain
	Role    fleet.Role
	Serves  string
	Weights int
	Leaving bool
	// Model is the model that the engine serves, when Serves is the name of
	// a service.
	Model string
	// MaxConcurrency is the number of requests that the server runs at once, or
	// 0 when the list does not state it.
	MaxConcurrency int
	// StartedAtMS is the start of the server's process in Unix milliseconds, or
	// 0 when the list does not state it. A server with another start time is another
	// server, even under the same name.
	StartedAtMS int64
	// ColdFor is how much longer the server stays cold after its entry was written, or 0.
	ColdFor time.Duration
	// Revision is the revision of the VM's entry, or 0 when the list has none.
	Revision uint64
	// FromCopy is true when the entry is of the copy from which the key-value service
	// came back, and not written since.
	FromCopy bool
	// PeerAddress is the address for the nodes' own protocol; entry VMs only.
	PeerAddress string
}

// VMList reports the platform's list of VMs.
type VMList struct {
	VMs []VM
	// RecoveredAt is when the source of the list was last reached again after it
	// had been unreachable, or zero. For a short time after that, servers may be
	// missing from the list.
	RecoveredAt time.Time
	// StoreEra is the era of the entries, or 0.
	StoreEra uint64
}

// ImportFound reports the blocks that a store's manifest lists for the prompt
// of an attempt. It is answered by ImportBlocks or Refusal.
type ImportFound struct {
	Request request.ID
	Attempt request.AttemptID
	Blocks  []kvcache.Block
}

// ImportDone reports the end of the import of an attempt.
type ImportDone struct {
	Request request.ID
	Attempt request.AttemptID
	// MovedBlocks and MovedBytes are the number and the total size of the blocks
	// that crossed the link.
	MovedBlocks int
	MovedBytes  int64
	// Failed is true when not all usable blocks are in the engine.
	Failed bool
	// StoreUnreachable is true when the store did not answer.
	StoreUnreachable bool
}

// ExportWritten reports which blocks of an export the store has. It is answered
// by Proceed, after which the manifest may be written, or Refusal.
type ExportWritten struct {
	ID     request.ID
	Blocks []kvcache.Block
}

// ExportDone reports the end of an export.
type ExportDone struct {
	ID request.ID
	// ManifestWritten is true when the manifest was written.
	ManifestWritten bool
	// MovedBlocks and MovedBytes are the number and the total size of the blocks
	// that crossed the link.
	MovedBlocks int
	MovedBytes  int64
	// StoreUnreachable is true when the store did not answer, StoreFull when it
	// has no free space.
	StoreUnreachable bool
	StoreFull        bool
}

// StoreReport reports the end of a transfer with a store.
type StoreReport struct {
	Store    fleet.ServerID
	Transfer fleet.Transfer
	// Unreachable is true when the store did not answer.
	Unreachable bool
	// Full is true when the store has no free space.
	Full bool
}

// QuarantineSeen reports fingerprints that other nodes published.
type QuarantineSeen struct {
	Entries []quarantine.Entry
	// Parts are quarantined prompt parts.
	Parts []quarantine.PartQuarantine
	// FromService is true when the entries come from the key-value service. All
	// nodes read them there, so they need not be relayed.
	FromService bool
}

// Drain starts the planned shutdown of the node.
type Drain struct{}

// Tick makes the control thread fire expired timeouts and start periodic work.
type Tick struct{}

// DumpState asks for a copy of the control state. It is answered by Dump.
type DumpState struct {
	ID request.ID
}

// Subject returns the request that the question is about.
func (m Admit) Subject() request.ID { return m.Request.ID }

// Subject returns the request that the question is about.
func (m ClaimResult) Subject() request.ID { return m.Request }

// Subject returns the request that the question is about.
func (m Place) Subject() request.ID { return m.Request }

// Subject returns the request that the question is about.
func (m Connected) Subject() request.ID { return m.Request }

// Subject returns the request that the question is about.
func (m AttemptDone) Subject() request.ID { return m.Request }

// Subject returns the request that the question is about.
func (m Recorded) Subject() request.ID { return m.Request }

// Subject returns the request that the question is about.
func (m ImportFound) Subject() request.ID { return m.Request }

// Subject returns the export that the question is about.
func (m ExportWritten) Subject() request.ID { return m.ID }

// Subject returns the identifier that the requester chose.
func (m DumpState) Subject() request.ID { return m.ID }

func (Admit) message()            {}
func (ClaimResult) message()      {}
func (Place) message()            {}
func (Connected) message()        {}
func (FirstToken) message()       {}
func (ServerNotice) message()     {}
func (ManagementNotice) message() {}
func (AttemptDone) message()      {}
func (Recorded) message()         {}
func (Abandon) message()          {}
func (Configure) message()        {}
func (VMList) message()           {}
func (StoreReport) message()      {}
func (QuarantineSeen) message()   {}
func (ImportFound) message()      {}
func (ImportDone) message()       {}
func (ExportWritten) message()    {}
func (ExportDone) message()       {}
func (Drain) message()            {}
func (Tick) message()             {}
func (DumpState) message()        {}
