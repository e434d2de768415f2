// Package order decides which node issues orders to engines (the issuer) and
// which engine gets the next order. Its values belong to the control state of
// one node.
package order

import (
	"math"
	"time"
)

// Parameters are the times and limits of the issuer and its orders. They depend
// on how fast engines load weights and on whether engines check fencing numbers.
type Parameters struct {
	// LeaseTTL is the time to live of the issuer's lease.
	LeaseTTL time.Duration
	// LeaseMargin is how long before the expiry of its lease a holder stops
	// issuing orders. It covers clocks that run at different rates and the delay of
	// a command to a worker.
	LeaseMargin time.Duration
	// TakeoverWait is how long a new holder waits until the orders of earlier
	// holders have finished, counted from the last time another holder was seen.
	TakeoverWait time.Duration
	// MaxOrderTime is the longest time that an order may take.
	MaxOrderTime time.Duration
	// ResendTime is how long an order is sent again to an engine that counts its
	// orders and has not accepted it. Such an engine executes only one of them, each
	// possibly many seconds after it was sent.
	ResendTime time.Duration
	// GracePeriod is added to the deadline of an order. After it an engine that
	// does not respond counts as no longer loading.
	GracePeriod time.Duration
	// MaxLoads is the largest number of engines that load weights at once.
	MaxLoads int
	// MaxLoadFraction allows more concurrent loads than MaxLoads when there are
	// many engines: this fraction of the live ones.
	MaxLoadFraction float64
	// OutstandingPerLoad is the number of orders that may be outstanding for each
	// engine that may load; values below 1 mean 1. An engine that does not respond
	// to an order may execute it seconds later, so that further engines are
	// ordered meanwhile. All of them may then load at the same time.
	OutstandingPerLoad int
	// MaxUnavailable is the number of engines of a model that are loading or do
	// not respond at which no further engine gets an order; 0 means no limit.
	MaxUnavailable int
	// HandoverTime is how long the last engine with an old version keeps it
	// after half of the engines have the wanted one. Other nodes learn of the
	// new version from the VM list, which lags.
	HandoverTime time.Duration
	// RetryDelay is the time before an engine gets another order after one
	// failed.
	RetryDelay time.Duration
	// StatePollInterval is the time between two reads of engine states. 0 means
	// that each engine is read once per term, and again while it is unreachable.
	StatePollInterval time.Duration
	// CallTimeout is the time after which a call to an engine counts as failed.
	CallTimeout time.Duration
	// OnDemand is true when nodes try to get the lease only while an engine needs
	// an order.
	OnDemand bool
}

// OwnParameters returns the parameters for the product's own engines. At most
// two engines load at once, because the weight store slows down when more do.
// One read of an engine takes about 300 bytes of HTTP and as much of TCP, so
// that polling stays within the 3 KB/s that a node may use for control. Engines
// may ignore fencing numbers, so a new holder waits until the lease of an earlier
// one has expired and its longest order has finished.
func OwnParameters() Parameters {
	return Parameters{
		LeaseTTL:          15 * time.Second,
		LeaseMargin:       time.Second,
		TakeoverWait:      45 * time.Second,
		MaxOrderTime:      30 * time.Second,
		GracePeriod:       2 * time.Second,
		MaxLoads:          2,
		MaxUnavailable:    2,
		HandoverTime:      10 * time.Second,
		RetryDelay:        10 * time.Second,
		StatePollInterval: 200 * time.Millisecond,
		CallTimeout:       5 * time.Second,
	}
}

// LoadLimit returns the number of engines that may load at once, given the
// number of live engines.
func (p Parameters) LoadLimit(live int) int {
	return max(p.MaxLoads, int(math.Ceil(p.MaxLoadFraction*float64(live))))
}

// OutstandingLimit returns the number of orders that may be outstanding, given the
// number of live engines.
func (p Parameters) OutstandingLimit(live int) int {
	return p.LoadLimit(live) * max(1, p.OutstandingPerLoad)
}

// Desired is the state that an order asks for.
type Desired struct {
	Model   string
	Adapter string
	Weights int
	// Role is the role of the engine; empty leaves the role unchanged.
	Role string
}

// MetBy reports whether an engine in the current state needs no order.
func (d Desired) MetBy(current Desired) bool {
	if d.Role == "" {
		current.Role = ""
	}
	return d == current
}

// Phase is the state of an engine's newest order as the engine reports it.
type Phase string

// The phases of an order at an engine.
const (
	PhaseNone    Phase = ""
	PhaseLoading Phase = "loading"
	PhaseDone    Phase = "done"
	PhaseFailed  Phase = "failed"
)

// Status is the state of an engine and of its newest order.
type Status struct {
	Current Desired
	OrderID string
	Phase   Phase
	// Fencing is the highest fencing number that the engine has seen.
	Fencing uint64
	// AcceptedOrders is the number of orders that the engine has accepted. It is
	// set when ReportsCountOnly is true.
	AcceptedOrders uint64
	// ReportsCountOnly is true when the engine reports no order ID.
	ReportsCountOnly bool
}
