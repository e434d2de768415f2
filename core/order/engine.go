package order

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/fleet"
)

// Order is one order to one engine.
type Order struct {
	ID       string
	Engine   *Engine
	Fencing  uint64
	Desired  Desired
	Deadline time.Time
	// ResendUntil is the time from which the order is no longer sent again to an
	// engine that counts its orders and has not accepted it.
	ResendUntil time.Time
	// AcceptedBefore is the number of orders that the engine had accepted before
	// this one.
	AcceptedBefore uint64
	// GracePeriod is added to the deadline before the order counts as finished.
	GracePeriod time.Duration
	Chart       chart.Instance
}

// KeepRole lets the engine keep its role when no role is wanted.
func (o *Order) KeepRole() {
	if o.Desired.Role == "" {
		o.Desired.Role = o.Engine.Status.Current.Role
	}
}

// Overdue reports whether the deadline and the grace period have passed, so that
// the engine has certainly given up the order.
func (o *Order) Overdue(now time.Time) bool {
	return !now.Before(o.Deadline.Add(o.GracePeriod))
}

// EventFor returns the event of the order chart that corresponds to a status.
func (o *Order) EventFor(status Status) chart.Event {
	switch {
	case o.Desired.MetBy(status.Current):
		return "complete"
	case status.ReportsCountOnly:
		return o.eventForCount(status)
	case status.OrderID != o.ID:
		return "missing"
	case status.Phase == PhaseLoading:
		return "accept"
	default:
		return "fail"
	}
}

// eventForCount is EventFor for an engine that reports no order ID.
func (o *Order) eventForCount(status Status) chart.Event {
	switch {
	case status.Phase == PhaseLoading:
		return "accept"
	case status.AcceptedOrders > o.AcceptedBefore:
		return "fail"
	}
	return "missing"
}

// Engine is the state of one engine as the issuer sees it.
type Engine struct {
	ID      fleet.ServerID
	Address string
	Model   string
	// Live is true when the VM list contains the engine and it is not leaving.
	Live bool
	// Reported is true when the engine has reported its state in this term.
	Reported bool
	// Polled is true when a call to the engine has finished in this term.
	Polled bool
	// Unreachable is true when the last call to the engine got no response.
	Unreachable bool
	Status      Status
	// Order is the order in progress, or nil.
	Order *Order
	// NotBefore is the earliest time at which the next order may be sent.
	NotBefore time.Time
	// Failures counts the failed orders since the last successful one.
	Failures int
	// CallNumber numbers the calls to the engine. Only one is in progress at a
	// time, so that an old status cannot be taken for the result of a newer
	// order.
	CallNumber     uint64
	CallInProgress bool
	CallStartedAt  time.Time
}

// RecordStatus records the status that a call returned.
func (e *Engine) RecordStatus(status Status) {
	e.Status = status
	e.Reported = true
	e.Polled = true
	e.Unreachable = false
}

// RecordUnreachable records a call without a response.
func (e *Engine) RecordUnreachable() {
	e.Polled = true
	e.Unreachable = true
}
