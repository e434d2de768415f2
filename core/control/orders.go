package control

import (
	"fmt"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/order"
)

// orders is the control state of the orders to engines.
type orders struct {
	issuer  order.Issuer
	engines map[fleet.ServerID]*order.Engine
	// list holds the engines by identifier.
	list     []*order.Engine
	rollouts map[string]*order.Rollout
	// models lists the models of the rollouts in order.
	models []string
	// serving holds the weight version for new requests of each model.
	serving map[string]int
	// adapters holds the adapter of each weight version of a model, from the
	// configurations that this node has seen.
	adapters map[string]map[int]string
	// named holds the weight versions that are named outside the rules.
	named map[string]named
	// held is true while the key of the issuer is known to be held.
	held bool
	// swept is when the last engine was read, next the one to read.
	swept time.Time
	next  int
	// calls numbers the calls of engines, sent the orders.
	calls uint64
	sent  uint64
}

// named is the newest weight version that the operator named for a model.
type named struct {
	weights int
	// times tells when this node learned of each version.
	times []namedAt
}

type namedAt struct {
	weights int
	at      time.Time
}

// after returns when the first version newer than the given one was named.
func (n named) after(weights int) time.Time {
	for _, one := range n.times {
		if one.weights > weights {
			return one.at
		}
	}
	return time.Time{}
}

func newOrders() orders {
	return orders{
		named:    map[string]named{},
		engines:  map[fleet.ServerID]*order.Engine{},
		rollouts: map[string]*order.Rollout{},
		serving:  map[string]int{},
		adapters: map[string]map[int]string{},
	}
}

// decideOrders handles a message about orders. The lease is checked first,
// because the process may have been paused for any time.
func (s *State) decideOrders(now time.Time, message OrderMessage) {
	s.expireLease(now)
	switch m := message.(type) {
	case IssuerResult:
		s.issuerResult(now, m)
	case EngineStatus:
		s.engineStatus(now, m)
	case IssuerSeen:
		s.issuerSeen(now, m)
	case WeightsNamed:
		s.weightsNamed(now, m)
	}
	s.issueOrders(now)
}

// tickOrders lets the timeouts of the issuer, the orders and the rollouts
// pass.
func (s *State) tickOrders(now time.Time) {
	if !s.options.Issuer {
		return
	}
	s.expireLease(now)
	_, _ = s.charts.issuer.Expire(&s.orders.issuer.Chart, s, now)
	if !s.inTerm() {
		return
	}
	s.expireCalls(now)
	for _, e := range s.orders.list {
		if e.Order != nil {
			_, _ = s.charts.order.Expire(&e.Order.Chart, e.Order, now)
			s.closeOrder(e)
		}
	}
	s.sweep(now)
	s.issueOrders(now)
	for _, model := range s.orders.models {
		rollout := s.orders.rollouts[model]
		_, _ = s.charts.rollout.Expire(&rollout.Chart, rollout, now)
	}
}

func (s *State) fireOrder(e *order.Engine, event chart.Event, now time.Time) {
	if e.Order == nil {
		return
	}
	// An event that the chart refuses changes nothing.
	_ = s.charts.order.Fire(&e.Order.Chart, e.Order, event, now)
	s.closeOrder(e)
}

// closeOrder frees the place of an order that has ended.
func (s *State) closeOrder(e *order.Engine) {
	if e.Order != nil && s.charts.order.IsFinal(&e.Order.Chart) {
		e.Order = nil
	}
}

func (s *State) terms() order.Parameters {
	return s.orders.issuer.Parameters
}

func (s *State) maxLoads() int {
	live := 0
	for _, e := range s.orders.list {
		if e.Live {
			live++
		}
	}
	return s.terms().LoadLimit(live)
}

// issueOrders sends orders until two engines load or no engine needs one.
func (s *State) issueOrders(now time.Time) {
	if !s.mayIssue(now) {
		return
	}
	s.updateRollouts(now)
	for _, model := range s.orders.models {
		rollout := s.orders.rollouts[model]
		for order.CountOutstanding(s.orders.list) < s.maxLoads() {
			e := rollout.NextEngine(now, s.terms(), s.orders.list)
			if e == nil {
				break
			}
			s.issue(now, e, rollout)
		}
	}
}

// issue sends a new order to an engine.
func (s *State) issue(now time.Time, e *order.Engine, rollout *order.Rollout) {
	s.orders.sent++
	issuer := &s.orders.issuer
	o := &order.Order{
		ID:             fmt.Sprintf("%s-%d-%d", s.options.Node, issuer.FencingNumber, s.orders.sent),
		Engine:         e,
		Fencing:        issuer.FencingNumber,
		Desired:        rollout.Wanted,
		Deadline:       now.Add(s.terms().MaxOrderTime),
		AcceptedBefore: e.Status.AcceptedOrders,
		Chart:          s.charts.order.Start(now),

		GracePeriod: s.terms().GracePeriod,
	}
	if o.Desired.Role == "" {
		o.Desired.Role = e.Status.Current.Role
	}
	e.Order = o
	s.send(o, now)
	rollout.UpdateCounts(now, s.orders.list)
	loading := order.CountOutstanding(s.orders.list)
	s.options.Checker.Check(loading <= s.maxLoads(), invariant.LoadsBounded, "%d orders in progress", loading)
	s.log(event.OrderSent, "order", o.ID, "server", string(e.ID), "model", o.Desired.Model, "weights", o.Desired.Weights)
}

// send sends an order, also one whose first sending was lost.
func (s *State) send(o *order.Order, now time.Time) {
	if !s.mayIssue(now) {
		return
	}
	e := o.Engine
	s.beginCall(e, now)
	s.command(SendOrder{
		Engine: e.ID, Address: e.Address, Call: e.CallNumber, ID: o.ID, Fencing: o.Fencing,
		Desired: o.Desired, Deadline: o.Deadline, NotAfter: s.orders.issuer.LeaseSafeUntil, Expected: o.AcceptedBefore, Instance: string(e.ID),
	})
}

func (s *State) noteFailed(o *order.Order, now time.Time) {
	o.Engine.Failures++
	o.Engine.NotBefore = now.Add(s.terms().RetryDelay)
	s.log(event.OrderFailed, "order", o.ID, "server", string(o.Engine.ID), "failures", o.Engine.Failures)
}

func (s *State) noteDone(o *order.Order, _ time.Time) {
	o.Engine.Failures = 0
	s.log(event.OrderDone, "order", o.ID, "server", string(o.Engine.ID))
}

// noteRefused reads the number that the engine has seen. When it is newer,
// the term ends.
func (s *State) noteRefused(o *order.Order, now time.Time) {
	s.noteFailed(o, now)
	s.readEngine(o.Engine, now)
}

func (s *State) readBack(o *order.Order, now time.Time) {
	if !o.Engine.CallInProgress {
		s.readEngine(o.Engine, now)
	}
}

// updateRollouts counts the engines and moves the rollouts.
func (s *State) updateRollouts(now time.Time) {
	if !s.mayIssue(now) {
		return
	}
	for _, model := range s.orders.models {
		rollout := s.orders.rollouts[model]
		progress := rollout.UpdateCounts(now, s.orders.list)
		s.fireRollout(rollout, progress, now)
	}
}

func (s *State) fireRollout(rollout *order.Rollout, progress bool, now time.Time) {
	events := []chart.Event{"differ"}
	if rollout.Counts.Met == rollout.Counts.Live {
		events = []chart.Event{"complete"}
	} else if progress {
		events = append(events, "progress")
	}
	for _, event := range events {
		// An event that the chart refuses changes nothing, for example the
		// completion of a settled rollout.
		_ = s.charts.rollout.Fire(&rollout.Chart, rollout, event, now)
	}
}
