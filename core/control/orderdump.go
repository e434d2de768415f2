package control

import (
	"maps"
	"slices"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/order"
)

// OrdersDump describes the orders to engines as this node sees them. Only the
// issuer has rollouts and orders.
type OrdersDump struct {
	State string
	Since time.Time
	// SafeUntil is when the node stops issuing orders unless it renews its
	// lease.
	SafeUntil time.Time
	Fencing   uint64
	// Highest is the highest fencing number that this node has seen.
	Highest uint64
	// Serving is the weight version for new requests of each model.
	Serving  map[string]int
	Rollouts []RolloutDump
	Orders   []OrderDump
	// NamedWeights lists the named versions that an engine lacks, of all models.
	NamedWeights []NamedWeightsDump
	// Away lists the live engines that are unreachable for the issuer.
	Away []fleet.ServerID
}

// NamedWeightsDump describes a weight version that the operator named.
type NamedWeightsDump struct {
	Model   string
	Version int
	// At is when it was named, as far as this node knows, or the zero time.
	At time.Time
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
	lowest := s.lowestWeights()
	for _, model := range slices.Sorted(maps.Keys(lowest)) {
		for _, named := range s.namedWeights(model).NewerThan(lowest[model]) {
			d.NamedWeights = append(d.NamedWeights, NamedWeightsDump{Model: model, Version: named.Version, At: named.At})
		}
	}
	for _, model := range s.orders.models {
		r := s.orders.rollouts[model]
		d.Rollouts = append(d.Rollouts, RolloutDump{
			Model: model, Wanted: r.Wanted, State: string(r.Chart.State), Since: r.Chart.Entered, Counts: r.Counts,
		})
	}
	for _, engine := range s.orders.engineList {
		if engine.Live && engine.Unreachable {
			d.Away = append(d.Away, engine.ID)
		}
		if engine.Order != nil {
			d.Orders = append(d.Orders, dumpOrder(engine))
		}
	}
	return d
}

func dumpOrder(engine *order.Engine) OrderDump {
	return OrderDump{
		ID:       engine.Order.ID,
		Server:   engine.ID,
		Desired:  engine.Order.Desired,
		State:    string(engine.Order.Chart.State),
		Since:    engine.Order.Chart.Entered,
		Deadline: engine.Order.Deadline,
		Failures: engine.Failures,
	}
}
