package control

import (
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/order"
)

// OrdersDump describes the orders to engines as this node sees them. Only the
// issuer has rollouts and orders.
type OrdersDump struct {
	State string
	Since time.Time
	// SafeUntil is when the node stops issuing unless it renews its lease.
	SafeUntil time.Time
	Fencing   uint64
	// Highest is the highest fencing number that this node has seen.
	Highest uint64
	// Serving is the weight version for new requests of each model.
	Serving  map[string]int
	Rollouts []RolloutDump
	Orders   []OrderDump
	// Away lists live engines that do not respond to the issuer.
	Away []fleet.ServerID
}

// RolloutDump describes the rollout of one model.
type RolloutDump struct {
	Model  string
	Wanted order.Desired
	State  string
	Since  time.Time
	Counts order.Counts
}

// OrderDump describes one order in progress.
type OrderDump struct {
	ID       string
	Server   fleet.ServerID
	Desired  order.Desired
	State    string
	Since    time.Time
	Deadline time.Time
	Failures int
}

func (s *State) dumpOrders() OrdersDump {
	issuer := s.orders.issuer
	d := OrdersDump{
		State:     string(issuer.Chart.State),
		Since:     issuer.Chart.Entered,
		SafeUntil: issuer.LeaseSafeUntil,
		Fencing:   issuer.FencingNumber,
		Highest:   issuer.HighestFencing,
		Serving:   s.orders.serving,
	}
	for _, model := range s.orders.models {
		r := s.orders.rollouts[model]
		d.Rollouts = append(d.Rollouts, RolloutDump{
			Model: model, Wanted: r.Wanted, State: string(r.Chart.State), Since: r.Chart.Entered, Counts: r.Counts,
		})
	}
	for _, e := range s.orders.list {
		if e.Live && e.Unreachable {
			d.Away = append(d.Away, e.ID)
		}
		if e.Order != nil {
			d.Orders = append(d.Orders, dumpOrder(e))
		}
	}
	return d
}

func dumpOrder(e *order.Engine) OrderDump {
	return OrderDump{
		ID:       e.Order.ID,
		Server:   e.ID,
		Desired:  e.Order.Desired,
		State:    string(e.Order.Chart.State),
		Since:    e.Order.Chart.Entered,
		Deadline: e.Order.Deadline,
		Failures: e.Failures,
	}
}
