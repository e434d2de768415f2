package control

import (
	"fmt"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/order"
	"tanagerspread/core/weights"
)

// orders is the control state of the orders to engines.
type orders struct {
	issuer  order.Issuer
	engines map[fleet.ServerID]*order.Engine
	// engineList lists the engines by identifier.
	engineList []*order.Engine
	rollouts   map[string]*order.Rollout
	// models lists the models of the rollouts in alphabetical order.
	models []string
	// serving holds the weight version for new requests of each model.
	serving map[string]int
	// adapters holds the adapter of each weight version of a model, from the
	// configurations that have been in force at this node.
	adapters map[string]map[int]string
	// namedWeights holds the weight versions that the operator named outside
	// the rules, by model.
	namedWeights map[string]*weights.History
	// markedWeights has the versions of which the key-value service has the mark.
	markedWeights map[modelVersion]bool
	// keyHeld is true while, according to the last observation, a node holds the
	// issuer's key.
	keyHeld bool
	// ableToContend is true when the node could contend for the lease at the last
	// tick.
	ableToContend bool
	// lastSweep is when the sweep last read an engine, nextSwept the index of
	// that engine in engineList.
	lastSweep time.Time
	nextSwept int
	// callCount and orderCount number the calls of engines and the orders.
	callCount  uint64
	orderCount uint64
}

func newOrders() orders {
	return orders{
		namedWeights:  map[string]*weights.History{},
		markedWeights: map[modelVersion]bool{},
		engines:       map[fleet.ServerID]*order.Engine{},
		rollouts:      map[string]*order.Rollout{},
		serving:       map[string]int{},
		adapters:      map[string]map[int]string{},
	}
}

// decideOrders handles a message about orders. It checks the lease first,
// because the process may have been paused for any length of time.
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
	case RecentlyNamed:
		s.recentlyNamed(now, m)
	}
	s.issueOrders(now)
}

// tickOrders fires the expired timeouts of the issuer, the orders and the
// rollouts, and sends the orders that are due.
func (s *State) tickOrders(now time.Time) {
	if !s.options.MayIssueOrders {
		return
	}
	s.expireLease(now)
	s.scheduleWhenAble(now)
	_, _ = s.charts.issuer.Expire(&s.orders.issuer.Chart, s, now)
	if !s.inTerm() {
		return
	}
	s.expireCalls(now)
	for _, engine := range s.orders.engineList {
		if engine.Order != nil {
			_, _ = s.charts.order.Expire(&engine.Order.Chart, engine.Order, now)
			s.clearFinishedOrder(engine)
		}
	}
	s.sweep(now)
	s.issueOrders(now)
	for _, model := range s.orders.models {
		rollout := s.orders.rollouts[model]
		_, _ = s.charts.rollout.Expire(&rollout.Chart, rollout, now)
	}
}

func (s *State) fireOrderEvent(engine *order.Engine, event chart.Event, now time.Time) {
	if engine.Order == nil {
		return
	}
	// An event that the chart refuses changes nothing.
	_ = s.charts.order.Fire(&engine.Order.Chart, engine.Order, event, now)
	s.clearFinishedOrder(engine)
}

// clearFinishedOrder removes the order of an engine once it has finished, so
// that the engine can get the next one.
func (s *State) clearFinishedOrder(engine *order.Engine) {
	if engine.Order != nil && s.charts.order.IsFinal(&engine.Order.Chart) {
		engine.Order = nil
	}
}

func (s *State) orderParameters() order.Parameters {
	return s.orders.issuer.Parameters
}

// maxConcurrentLoads returns the number of engines that may load weights at
// once.
func (s *State) maxConcurrentLoads() int {
	return s.orderParameters().LoadLimit(order.CountLive(s.orders.engineList))
}

// maxOutstandingOrders returns the number of orders that may be outstanding.
func (s *State) maxOutstandingOrders() int {
	return s.orderParameters().OutstandingLimit(order.CountLive(s.orders.engineList))
}

// countLoads returns the number of engines that count as loading weights.
func (s *State) countLoads() int {
	count := 0
	for _, engine := range s.orders.engineList {
		if engine.Order != nil && engine.Order.Chart.Is(tagCountsAsLoad) {
			count++
		}
	}
	return count
}

// mayAddLoad reports whether another engine may get an order.
func (s *State) mayAddLoad() bool {
	return s.countLoads() < s.maxConcurrentLoads() && order.CountOutstanding(s.orders.engineList) < s.maxOutstandingOrders()
}

// issueOrders sends orders until maxConcurrentLoads engines are loading,
// maxOutstandingOrders orders are outstanding or no engine needs an order.
func (s *State) issueOrders(now time.Time) {
	if !s.mayIssue(now) {
		return
	}
	s.updateRollouts(now)
	for _, model := range s.orders.models {
		rollout := s.orders.rollouts[model]
		for s.mayAddLoad() {
			engine := rollout.NextEngine(now, s.orderParameters(), s.orders.engineList)
			if engine == nil {
				break
			}
			s.issueOrder(now, engine, rollout)
		}
	}
}

// issueOrder creates an order for an engine and sends it.
func (s *State) issueOrder(now time.Time, engine *order.Engine, rollout *order.Rollout) {
	s.orders.orderCount++
	issuer := &s.orders.issuer
	o := &order.Order{
		ID:             fmt.Sprintf("%s-%d-%d", s.options.Node, issuer.FencingNumber, s.orders.orderCount),
		Engine:         engine,
		Fencing:        issuer.FencingNumber,
		Desired:        rollout.Wanted,
		Deadline:       now.Add(s.orderParameters().MaxOrderTime),
		ResendUntil:    now.Add(s.orderParameters().ResendTime),
		AcceptedBefore: engine.Status.AcceptedOrders,
		Chart:          s.charts.order.Start(now),

		GracePeriod: s.orderParameters().GracePeriod,
	}
	o.KeepRole()
	engine.Order = o
	s.sendOrder(o, now)
	rollout.UpdateCounts(now, s.orders.engineList)
	outstanding := order.CountOutstanding(s.orders.engineList)
	s.options.Checker.Check(outstanding <= s.maxOutstandingOrders(), invariant.LoadsBounded, "%d orders in progress", outstanding)
	s.logOrderSent(o)
}

func (s *State) logOrderSent(o *order.Order) {
	s.logEvent(event.OrderSent, "order", o.ID, "server", string(o.Engine.ID), "model", o.Desired.Model, "weights", o.Desired.Weights)
}

// updateOrder sets the desired state of an order to the one that is wanted now.
// The engine must not have accepted the order. An engine that has restarted counts
// its orders from zero again.
func (s *State) updateOrder(o *order.Order, now time.Time) {
	o.AcceptedBefore = min(o.AcceptedBefore, o.Engine.Status.AcceptedOrders)
	rollout := s.orders.rollouts[o.Engine.Model]
	if rollout == nil {
		return
	}
	before := o.Desired
	o.Desired = rollout.Wanted
	o.KeepRole()
	if o.Desired == before {
		return
	}
	o.ResendUntil = now.Add(s.orderParameters().ResendTime)
	s.logOrderSent(o)
}

// supersedeOrders sends the wanted state of a model to the engines that have not
// accepted an order with an earlier one.
func (s *State) supersedeOrders(model string, now time.Time) {
	if !s.mayIssue(now) {
		return
	}
	for _, engine := range s.orders.engineList {
		if engine.Model == model {
			s.fireOrderEvent(engine, "supersede", now)
		}
	}
}

// sendOrder sends an order. It is also used to send again an order that the
// engine did not receive.
func (s *State) sendOrder(o *order.Order, now time.Time) {
	if !s.mayIssue(now) {
		return
	}
	engine := o.Engine
	s.startEngineCall(engine, now)
	s.command(SendOrder{
		Engine: engine.ID, Address: engine.Address, Call: engine.CallNumber, ID: o.ID, Fencing: o.Fencing,
		Desired: o.Desired, Deadline: o.Deadline, NotAfter: s.orders.issuer.LeaseSafeUntil, ExpectedOrders: o.AcceptedBefore, Instance: string(engine.ID),
	})
}

// extendOrderDeadline counts the deadline of an order from now.
func (s *State) extendOrderDeadline(o *order.Order, now time.Time) {
	o.Deadline = now.Add(s.orderParameters().MaxOrderTime)
}

func (s *State) recordOrderUnaccepted(o *order.Order, _ time.Time) {
	s.logEvent(event.OrderUnaccepted, "order", o.ID, "server", string(o.Engine.ID), "accepted", o.Engine.Status.AcceptedOrders)
}

func (s *State) recordOrderFailed(o *order.Order, now time.Time) {
	o.Engine.Failures++
	o.Engine.NotBefore = now.Add(s.orderParameters().RetryDelay)
	s.logEvent(event.OrderFailed, "order", o.ID, "server", string(o.Engine.ID), "failures", o.Engine.Failures)
}

func (s *State) recordOrderDone(o *order.Order, _ time.Time) {
	o.Engine.Failures = 0
	s.logEvent(event.OrderDone, "order", o.ID, "server", string(o.Engine.ID))
}

// recordOrderRefused reads the state of an engine that refused an order because
// of its fencing number. The term ends when the engine has seen a higher number.
func (s *State) recordOrderRefused(o *order.Order, now time.Time) {
	s.recordOrderFailed(o, now)
	s.readEngine(o.Engine, now)
}

// readEngineOfOrder reads the state of the engine of an order, unless a call of
// the engine is in progress. While the engine wants nothing from this node, the read
// waits, and for the first maxOrderPause the order does not expire.
func (s *State) readEngineOfOrder(o *order.Order, now time.Time) {
	if end, paused := s.orderPauseEnd(o.Engine.ID); paused {
		if deadline := end.Add(s.orderParameters().MaxOrderTime); o.Deadline.Before(deadline) {
			o.Deadline = deadline
		}
		return
	}
	if !o.Engine.CallInProgress {
		s.readEngine(o.Engine, now)
	}
}

// updateRollouts counts the engines of each rollout and fires the events of
// their progress.
func (s *State) updateRollouts(now time.Time) {
	if !s.mayIssue(now) {
		return
	}
	for _, model := range s.orders.models {
		rollout := s.orders.rollouts[model]
		progress := rollout.UpdateCounts(now, s.orders.engineList)
		s.fireRolloutEvents(rollout, progress, now)
	}
}

func (s *State) fireRolloutEvents(rollout *order.Rollout, progress bool, now time.Time) {
	events := []chart.Event{"differ"}
	if rollout.Counts.Met == rollout.Counts.Live {
		events = []chart.Event{"complete"}
	} else if progress {
		events = append(events, "progress")
	}
	for _, event := range events {
		// An event that the chart refuses changes nothing, for example
		// "complete" of a rollout that is already complete.
		_ = s.charts.rollout.Fire(&rollout.Chart, rollout, event, now)
	}
}
