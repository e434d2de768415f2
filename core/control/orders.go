package control

import (
	"fmt"
	"sort"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
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
	// swept is when the last engine was read, next the one to read.
	swept time.Time
	next  int
	// calls numbers the calls of engines, sent the orders.
	calls uint64
	sent  uint64
}

func newOrders() orders {
	return orders{
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

// expireLease ends the term when the lease may have been taken over.
func (s *State) expireLease(now time.Time) {
	if issuer := &s.orders.issuer; issuer.Lease != "" && !issuer.Safe(now) {
		s.fireIssuer("lapse", now)
	}
}

// inTerm reports whether the node holds the key of the issuer.
func (s *State) inTerm() bool {
	return !s.orders.issuer.Claimed.IsZero()
}

// mayIssue reports whether the node may send orders now.
func (s *State) mayIssue(now time.Time) bool {
	return s.orders.issuer.Chart.Is(tagMayIssue) && s.orders.issuer.Safe(now)
}

func (s *State) fireIssuer(event chart.Event, now time.Time) {
	// A late result that the chart refuses changes nothing.
	_ = s.charts.issuer.Fire(&s.orders.issuer.Chart, s, event, now)
}

// issuerResult goes on after a call of the key-value service.
func (s *State) issuerResult(now time.Time, m IssuerResult) {
	issuer := &s.orders.issuer
	if m.Attempt != issuer.Attempt {
		return
	}
	if m.Err != nil {
		s.issuerFailed(now, m)
		return
	}
	switch m.Step {
	case IssuerLook:
		s.fireIssuer(lookEvent(m.Held), now)
	case IssuerGrant:
		if issuer.Chart.Is(tagAwaitsLease) {
			issuer.Lease = m.Lease
			issuer.Confirm(m.Asked)
			s.fireIssuer("granted", now)
		}
	case IssuerClaim:
		s.claimed(now, m)
	case IssuerRenew:
		issuer.Confirm(m.Asked)
		s.fireIssuer("confirmed", now)
	}
}

func (s *State) claimed(now time.Time, m IssuerResult) {
	if m.Held {
		s.fireIssuer("taken", now)
		return
	}
	s.orders.issuer.Revision = m.Revision
	s.fireIssuer("claimed", now)
}

func lookEvent(held bool) chart.Event {
	if held {
		return "taken"
	}
	return "free"
}

// issuerFailed gives up an attempt, or waits for the next renewal. A lease
// that the service no longer knows ends the term at once.
func (s *State) issuerFailed(now time.Time, m IssuerResult) {
	if m.Err.Code == code.LeaseLapsed {
		s.fireIssuer("lapse", now)
		return
	}
	s.fireIssuer("fail", now)
}

func (s *State) issuerStep(step IssuerStep) {
	s.command(IssuerCommand{
		Step: step, Attempt: s.orders.issuer.Attempt, Node: s.options.Node, Lease: s.orders.issuer.Lease,
	})
}

func (s *State) readKey(*State, time.Time) {
	s.orders.issuer.Attempt++
	s.orders.issuer.Lease = ""
	s.issuerStep(IssuerLook)
}

func (s *State) beginTerm(_ *State, now time.Time) {
	s.orders.issuer.Claimed = now
	s.syncEngines(now)
	s.log(event.IssuerSettling, "revision", s.orders.issuer.Revision)
}

func (s *State) chooseFence(_ *State, now time.Time) {
	issuer := &s.orders.issuer
	before := issuer.Highest
	issuer.ChooseFence()
	s.options.Checker.Check(issuer.Fence > before, invariant.FencingIncreases, "%d after %d", issuer.Fence, before)
	s.log(event.IssuerStarted, "fencing", issuer.Fence)
	s.syncEngines(now)
}

// endTerm forgets the engines and their orders. The next holder waits until
// no order can be in flight and reads all states from the engines again.
func (s *State) endTerm(_ *State, _ time.Time) {
	if s.inTerm() {
		s.log(event.IssuerEnded, "fencing", s.orders.issuer.Fence)
	}
	s.orders.issuer.EndTerm()
	s.orders.engines = map[fleet.ServerID]*order.Engine{}
	s.orders.list = nil
	s.orders.rollouts = map[string]*order.Rollout{}
	s.orders.models = nil
}

// settled reports whether the first order of the term may be sent: orders of
// earlier holders have ended and each live engine was asked what it has seen.
func (s *State) settled(_ *State, now time.Time) bool {
	if !s.orders.issuer.WaitedOut(now) {
		return false
	}
	for _, e := range s.orders.list {
		if e.Live && !e.Asked {
			return false
		}
	}
	return true
}

// mayHold reports whether the node may become or stay the issuer.
func (s *State) mayHold(*State, time.Time) bool {
	return s.life.Is(tagReady) && s.rules != nil
}

func (s *State) log(e event.Event, fields ...any) {
	s.command(LogOrder{Event: e, Fields: append([]any{"node", s.options.Node}, fields...)})
}

// syncEngines takes over the engines of the VM list and the wanted states of
// the configuration.
func (s *State) syncEngines(now time.Time) {
	if !s.inTerm() {
		return
	}
	for _, e := range s.orders.engines {
		e.Live = false
	}
	for _, server := range s.ordered {
		if server.Role == fleet.RoleEngine {
			s.syncEngine(server)
		}
	}
	s.orders.list = s.orders.list[:0]
	for id, e := range s.orders.engines {
		if !e.Live && e.Order == nil {
			delete(s.orders.engines, id)
			continue
		}
		s.orders.list = append(s.orders.list, e)
	}
	sort.Slice(s.orders.list, func(i, j int) bool { return s.orders.list[i].ID < s.orders.list[j].ID })
	s.syncRollouts(now)
}

// syncEngine notes an engine of the VM list. An engine at another address is
// another process; the order to the old one keeps its place until it ends.
func (s *State) syncEngine(server *fleet.Server) {
	e := s.orders.engines[server.ID]
	if e == nil || (e.Address != server.Address && e.Order == nil) {
		e = &order.Engine{ID: server.ID, Address: server.Address}
		s.orders.engines[server.ID] = e
	}
	e.Model = server.Serves
	e.Live = !server.Chart.Is(fleet.TagLeaves) && e.Address == server.Address
}

func (s *State) syncRollouts(now time.Time) {
	s.orders.models = s.orders.models[:0]
	for name, model := range s.rules.Models {
		rollout := s.orders.rollouts[name]
		if rollout == nil {
			rollout = &order.Rollout{Model: name, Chart: s.charts.rollout.Start(now)}
			s.orders.rollouts[name] = rollout
		}
		rollout.Want(order.Desired{Model: name, Adapter: model.Adapter, Weights: model.Weights, Role: model.Role})
		s.orders.models = append(s.orders.models, name)
	}
	sort.Strings(s.orders.models)
	for name := range s.orders.rollouts {
		if _, wanted := s.rules.Models[name]; !wanted {
			delete(s.orders.rollouts, name)
		}
	}
}

// sweep reads the state of one engine after the other.
func (s *State) sweep(now time.Time) {
	if len(s.orders.list) == 0 || now.Before(s.orders.swept.Add(order.SweepInterval)) {
		return
	}
	s.orders.swept = now
	s.orders.next = (s.orders.next + 1) % len(s.orders.list)
	if e := s.orders.list[s.orders.next]; e.Order == nil && !e.Calling {
		s.readEngine(e, now)
	}
}

func (s *State) beginCall(e *order.Engine, now time.Time) {
	s.orders.calls++
	e.Call = s.orders.calls
	e.Calling = true
	e.CalledAt = now
}

func (s *State) readEngine(e *order.Engine, now time.Time) {
	s.beginCall(e, now)
	s.command(ReadEngine{Engine: e.ID, Address: e.Address, Call: e.Call})
}

// expireCalls ends calls whose result was lost, for example because the queue
// of the worker was full.
func (s *State) expireCalls(now time.Time) {
	for _, e := range s.orders.list {
		if e.Calling && !now.Before(e.CalledAt.Add(order.CallTimeout)) {
			e.Calling = false
			e.NoteAway()
			s.fireOrder(e, "lose", now)
		}
	}
}

// engineStatus takes over what an engine said.
func (s *State) engineStatus(now time.Time, m EngineStatus) {
	e := s.orders.engines[m.Engine]
	if e == nil || !e.Calling || e.Call != m.Call {
		return
	}
	e.Calling = false
	if m.Err != nil {
		s.engineFailed(now, e, m.Err)
		return
	}
	e.Note(m.Status)
	if s.orders.issuer.NoteFencing(m.Status.Fencing) {
		s.fireIssuer("outrank", now)
		return
	}
	if e.Order != nil {
		s.fireOrder(e, e.Order.EventFor(m.Status), now)
	}
	s.updateRollouts(now)
}

func (s *State) engineFailed(now time.Time, e *order.Engine, err *code.Error) {
	if err.Code == code.OrderRefused {
		e.Asked = true
		s.fireOrder(e, "refuse", now)
		return
	}
	e.NoteAway()
	s.fireOrder(e, "lose", now)
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

// issueOrders sends orders until two engines load or no engine needs one.
func (s *State) issueOrders(now time.Time) {
	if !s.mayIssue(now) {
		return
	}
	s.updateRollouts(now)
	for _, model := range s.orders.models {
		rollout := s.orders.rollouts[model]
		for order.Loading(s.orders.list) < order.MaxLoads {
			e := rollout.Next(now, s.orders.list)
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
		ID:       fmt.Sprintf("%s-%d-%d", s.options.Node, issuer.Fence, s.orders.sent),
		Engine:   e,
		Fencing:  issuer.Fence,
		Desired:  rollout.Wanted,
		Deadline: now.Add(order.LongestOrder),
		Chart:    s.charts.order.Start(now),
	}
	if o.Desired.Role == "" {
		o.Desired.Role = e.Status.Current.Role
	}
	e.Order = o
	s.send(o, now)
	rollout.Update(now, s.orders.list)
	loading := order.Loading(s.orders.list)
	s.options.Checker.Check(loading <= order.MaxLoads, invariant.LoadsBounded, "%d orders in progress", loading)
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
		Engine: e.ID, Address: e.Address, Call: e.Call, ID: o.ID, Fencing: o.Fencing,
		Desired: o.Desired, Deadline: o.Deadline, NotAfter: s.orders.issuer.SafeUntil,
	})
}

func (s *State) noteFailed(o *order.Order, now time.Time) {
	o.Engine.Failures++
	o.Engine.NotBefore = now.Add(order.RetryDelay)
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
	if !o.Engine.Calling {
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
		progress := rollout.Update(now, s.orders.list)
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
