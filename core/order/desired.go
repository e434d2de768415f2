// Package order decides which node issues orders to engines and which engine
// is ordered next. Its values belong to the control state of one node.
package order

import "time"

const (
	// LeaseTime is the time to live of the issuer's lease.
	LeaseTime = 15 * time.Second
	// LeaseMargin is how long before the end of its lease a holder stops. It
	// covers different clock rates and a command on its way to a worker.
	LeaseMargin = time.Second
	// LongestOrder is the longest time that an order may take.
	LongestOrder = 30 * time.Second
	// Grace is added to the deadline of an order before an engine that does
	// not respond counts as no longer loading.
	Grace = 2 * time.Second
	// MaxLoads is the largest number of engines that load weights at once.
	// The weight store slows down when more than two or three load.
	MaxLoads = 2
	// MaxOut is the largest number of engines of a model that are loading or
	// do not respond before the next engine is ordered.
	MaxOut = 2
	// HandoverTime is how long the last engine of an old version stays after
	// half of the engines have the wanted one. Other nodes learn of the new
	// version from the VM list, which lags.
	HandoverTime = 10 * time.Second
	// RetryDelay is the time before an engine whose order failed is ordered
	// again.
	RetryDelay = 10 * time.Second
	// SweepInterval is the time between two reads of engines' states. One
	// read is about 300 bytes of HTTP and as much of TCP, so that sweeping
	// stays within the 3 KB/s that a node may use for control.
	SweepInterval = 200 * time.Millisecond
	// CallTimeout is the time after which a call of an engine counts as lost.
	CallTimeout = 5 * time.Second
)

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
}
