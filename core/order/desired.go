// Package order decides which node issues orders to engines and which engine
// is ordered next. Its values belong to the control state of one node.
package order

import (
	"math"
	"time"
)

// Terms bound the issuer and its orders. They depend on how fast engines load
// weights and on whether engines check fencing numbers.
type Terms struct {
	// LeaseTime is the time to live of the issuer's lease.
	LeaseTime time.Duration
	// LeaseMargin is how long before the end of its lease a holder stops. It
	// covers different clock rates and a command on its way to a worker.
	LeaseMargin time.Duration
	// SettleTime is how long a new holder waits for the orders of earlier ones
	// to end, counted from the last sign of another holder.
	SettleTime time.Duration
	// LongestOrder is the longest time that an order may take.
	LongestOrder time.Duration
	// Grace is added to the deadline of an order before an engine that does
	// not respond counts as no longer loading.
	Grace time.Duration
	// MaxLoads is the largest number of engines that load weights at once.
	MaxLoads int
	// LoadShare allows more loads in a large fleet: a part of the live engines.
	LoadShare float64
	// MaxOut is the largest number of engines of a model that are loading or
	// do not respond before the next engine is ordered; 0 means no limit.
	MaxOut int
	// HandoverTime is how long the last engine of an old version stays after
	// half of the engines have the wanted one. Other nodes learn of the new
	// version from the VM list, which lags.
	HandoverTime time.Duration
	// RetryDelay is the time before an engine whose order failed is ordered
	// again.
	RetryDelay time.Duration
	// SweepInterval is the time between two reads of engines' states; 0 means
	// that each engine is read once in a term, and again while it is silent.
	SweepInterval time.Duration
	// CallTimeout is the time after which a call of an engine counts as lost.
	CallTimeout time.Duration
	// OnDemand is true when nodes contend for the lease only while an engine
	// needs an order.
	OnDemand bool
}

// OwnTerms are those of the product's own engines. At most two load at once,
// because the weight store slows down when more do. One read of an engine is
// about 300 bytes of HTTP and as much of TCP, so that sweeping stays within the
// 3 KB/s that a node may use for control. Engines may ignore fencing numbers,
// so a new holder waits for the lease and the longest order.
func OwnTerms() Terms {
	return Terms{
		LeaseTime:     15 * time.Second,
		LeaseMargin:   time.Second,
		SettleTime:    45 * time.Second,
		LongestOrder:  30 * time.Second,
		Grace:         2 * time.Second,
		MaxLoads:      2,
		MaxOut:        2,
		HandoverTime:  10 * time.Second,
		RetryDelay:    10 * time.Second,
		SweepInterval: 200 * time.Millisecond,
		CallTimeout:   5 * time.Second,
	}
}

// Loads returns the number of engines that may load at once.
func (t Terms) Loads(live int) int {
	return max(t.MaxLoads, int(math.Ceil(t.LoadShare*float64(live))))
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
	// Sequence counts the orders that the engine has accepted, when it does not
	// name them; Unnamed is true then.
	Sequence uint64
	Unnamed  bool
}
