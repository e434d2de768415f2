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
	// AcceptedBefore is the number of orders that the engine had accepted before.
	AcceptedBefore uint64
	// GracePeriod is added to the deadline before the order counts as ended.
	GracePeriod time.Duration
	Chart       chart.Instance
}

// Overdue reports whether the engine has given up the order for certain.
func (o *Order) Overdue(now time.Time) bool {
	return !now.Before(o.Deadline.Add(o.GracePeriod))
}

// EventFor returns the event of the order's chart that a status stands for.
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

// eventForCount is EventFor for an engine that only counts its orders.
func (o *Order) eventForCount(status Status) chart.Event {
	switch {
	case status.Phase == PhaseLoading:
		return "accept"
	case status.AcceptedOrders > o.AcceptedBefore:
		return "fail"
	}
	return "missing"
}

// Engine is one engine as the issuer sees it.
type Engine struct {
	ID      fleet.ServerID
	Address string
	Model   string
	// Live is true when the VM list shows the engine and no sign says that it
	// is leaving.
	Live bool
	// Reported is true when the engine has told its state in this term.
	Reported bool
	// Polled is true when a call of the engine has ended in this term.
	Polled bool
	// Unreachable is true when the last call of the engine got no response.
	Unreachable bool
	Status      Status
	// Order is the order in progress, or nil.
	Order *Order
	// NotBefore is when the next order may be sent.
	NotBefore time.Time
	// Failures counts failed orders since the last good one.
	Failures int
	// CallNumber numbers the calls of the engine. Only one is open at a time, so
	// that an old status cannot be taken for the result of a newer order.
	CallNumber     uint64
	CallInProgress bool
	CallStartedAt  time.Time
}

// RecordStatus takes over the status that a call returned.
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
