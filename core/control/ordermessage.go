package control

import (
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/order"
)

// OrderMessage is a message about orders to engines.
type OrderMessage interface {
	Message
	orderMessage()
}

// IssuerStep is one call of the key-value service by which a node becomes or
// remains the issuer of orders.
type IssuerStep string

// The steps of an issuer.
const (
	// IssuerRead reads whether a node holds the key of the issuer.
	IssuerRead IssuerStep = "look"
	// IssuerGrant creates a lease.
	IssuerGrant IssuerStep = "grant"
	// IssuerClaim creates the key under the lease.
	IssuerClaim IssuerStep = "claim"
	// IssuerRenew extends the lease.
	IssuerRenew IssuerStep = "renew"
)

// IssuerResult reports the result of an IssuerCommand.
type IssuerResult struct {
	Step IssuerStep
	// Attempt is that of the command.
	Attempt uint64
	// AskedAt is when the call was made.
	AskedAt time.Time
	// Held is true when another claim holds the key.
	Held bool
	// Lease is the lease that IssuerGrant returned.
	Lease string
	// Revision is the revision of the claimed key.
	Revision uint64
	// Err is why the call failed, or nil.
	Err *code.Error
}

// EngineStatus reports the result of a SendOrder or ReadEngine.
type EngineStatus struct {
	Engine fleet.ServerID
	// Call is that of the command.
	Call   uint64
	Status order.Status
	// Err has the code OrderRefused when the engine refused an old fencing
	// number and another code when no status arrived; otherwise it is nil.
	Err *code.Error
}

// EngineResponse is the response of an engine to an order or to a read of its state.
type EngineResponse struct {
	Status order.Status
	// Notice is what the engine says about itself, also beside an error.
	Notice Notice
}

// WeightsNamed reports the weight version that the operator wants for a model
// whose versions are named outside the rules.
type WeightsNamed struct {
	Model   string
	Weights int
	// Listed is true when the version was read from a list of all entries instead of a
	// change, so that it may have been named any time before.
	Listed bool
}

// IssuerSeen reports the observed value of the issuer's key.
type IssuerSeen struct {
	// Held is true when a node holds the key.
	Held bool
	// Node is the holder, or the last one when the key is free.
	Node string
}

// RecentlyNamed reports whether the key-value service has the mark of a version: while it
// does, calls may be sent to older weights.
type RecentlyNamed struct {
	Model   string
	Weights int
	Marked  bool
	// FromCopy is true when the mark is of the copy from which the service came back.
	// Its lease may last longer than it was granted for.
	FromCopy bool
}

// MarkNamed commands that the key-value service keeps the mark of a version for a time, so
// that nodes which start meanwhile know that calls may be sent to older weights.
type MarkNamed struct {
	Model   string
	Weights int
	TTL     time.Duration
}

// Suspended reports that the machine was suspended, for which the clock of the node
// stood still.
type Suspended struct {
	Duration time.Duration
}

// WeightsWanted announces the weight version that this node now wants.
type WeightsWanted struct {
	Model   string
	Weights int
	// AgeKnown is true when the node learned of the version as it was named.
	AgeKnown bool
}

func (WeightsWanted) command()      {}
func (MarkNamed) command()          {}
func (RecentlyNamed) message()      {}
func (RecentlyNamed) orderMessage() {}
func (IssuerSeen) message()         {}
func (IssuerSeen) orderMessage()    {}
func (WeightsNamed) message()       {}
func (WeightsNamed) orderMessage()  {}
func (Suspended) message()          {}
func (IssuerResult) message()       {}
func (IssuerResult) orderMessage()  {}
func (EngineStatus) message()       {}
func (EngineStatus) orderMessage()  {}

// IssuerCommand asks for one step of the selection of the issuer. It is
// followed by IssuerResult.
type IssuerCommand struct {
	Step    IssuerStep
	Attempt uint64
	Node    string
	Lease   string
}

// SendOrder sends an order to an engine. It is followed by EngineStatus.
type SendOrder struct {
	Engine  fleet.ServerID
	Address string
	Call    uint64
	ID      string
	Fencing uint64
	Desired order.Desired
	// Deadline is when the engine must give up the order.
	Deadline time.Time
	// ExpectedOrders is the number of orders that the engine must have accepted
	// before this one, when it counts them.
	ExpectedOrders uint64
	// Instance is the engine's own name.
	Instance string
	// NotAfter is the time from which the order may no longer be sent, because
	// another node may hold the lease by then.
	NotAfter time.Time
}

// ReadEngine reads the state of an engine. It is followed by EngineStatus.
type ReadEngine struct {
	Engine  fleet.ServerID
	Address string
	Call    uint64
}

// LogEvent logs an event with its fields.
type LogEvent struct {
	Event  event.Event
	Fields []any
}

func (IssuerCommand) command() {}
func (SendOrder) command()     {}
func (ReadEngine) command()    {}
func (LogEvent) command()      {}
