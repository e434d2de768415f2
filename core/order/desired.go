// Package order decides which node issues orders to engines and which engine
// is ordered next. Its values belong to the control state of one node.
package order

import (
	"math"
	"time"
)

// Parameters bound the issuer and its orders. They depend on how fast engines load
// weights and on whether engines check fencing numbers.
type Parameters struct {
	// LeaseTTL is the time to live of the issuer's lease.
	LeaseTTL time.Duration
	// LeaseMargin is how long before the end of its lease a holder stops. It
	// covers different clock rates and a command on its way to a worker.
	LeaseMargin time.Duration
	// TakeoverWait is how long a new holder waits for the orders of earlier ones
	// to end, counted from the last sign of another holder.
	TakeoverWait time.Duration
	// MaxOrderTime is the longest time that an order may take.
	MaxOrderTime time.Duration
	// GracePeriod is added to the deadline of an order before an engine that does
	// not respond counts as no longer loading.
	GracePeriod time.Duration
	// MaxLoads is the largest number of engines that load weights at once.
	MaxLoads int
	// MaxLoadFraction allows more loads in a large fleet: a part of the live engines.
	MaxLoadFraction float64
	// MaxUnavailable is the largest number of engines of a model that are loading or
	// do not respond before the next engine is ordered; 0 means no limit.
	MaxUnavailable int
	// HandoverTime is how long the last engine of an old version stays after
	// half of the engines have the wanted one. Other nodes learn of the new
	// version from the VM list, which lags.
	HandoverTime time.Duration
	// RetryDelay is the time before an engine whose order failed is ordered
	// again.
	RetryDelay time.Duration
	// StatePollInterval is the time between two reads of engines' states; 0 means
	// that each engine is read once in a term, and again while it is silent.
	StatePollInterval time.Duration
	// CallTimeout is the time after which a call of an engine counts as lost.
	CallTimeout time.Duration
	// OnDemand is true when nodes contend for the lease only while an engine
	// needs an order.
	OnDemand bool
}

// OwnParameters are those of the product's own engines. At most two load at once,
// because the weight store slows down when more do. One read of an engine is
// about 300 bytes of HTTP and as much of TCP, so that sweeping stays within the
// 3 KB/s that a node may use for control. Engines may ignore fencing numbers,
// so a new holder waits for the lease and the longest order.
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

// LoadLimit returns the number of engines that may load at once.
func (t Parameters) LoadLimit(live int) int {
	return max(t.MaxLoads, int(math.Ceil(t.MaxLoadFraction*float64(live))))
}

// Desired is the state that an order asks for.
type Desired struct {
	Model   string
	Adapter string
	Weights int
	// Role is what the engine does; empty leaves the role as it is.
	Role string
}

// MetBy reports whether an engine with the current state needs no order.
func (d Desired) MetBy(current Desired) bool {
	if d.Role == "" {
		current.Role = ""
	}
	return d == current
}

// Phase is what an engine says about its newest order.
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
	// Fencing is the newest fencing number that the engine has seen.
	Fencing uint64
	// AcceptedOrders counts the orders that the engine has accepted, when it does not
	// name them; Unnamed is true then.
	AcceptedOrders   uint64
	ReportsCountOnly bool
}
