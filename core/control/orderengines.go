package control

import (
	"sort"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
	"tanagerspread/core/order"
)

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
			s.syncEngine(now, server)
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
func (s *State) syncEngine(now time.Time, server *fleet.Server) {
	e := s.orders.engines[server.ID]
	if e == nil || (e.Address != server.Address && e.Order == nil) {
		e = &order.Engine{ID: server.ID, Address: server.Address}
		s.orders.engines[server.ID] = e
		s.readOnce(e, now)
	}
	e.Model = modelOf(server)
	e.Live = !server.Chart.Is(fleet.TagLeaves) && e.Address == server.Address
}

func (s *State) syncRollouts(now time.Time) {
	s.orders.models = s.orders.models[:0]
	models := s.wantedModels()
	for name, model := range models {
		rollout := s.orders.rollouts[name]
		if rollout == nil {
			rollout = &order.Rollout{Model: name, Chart: s.charts.rollout.Start(now)}
			s.orders.rollouts[name] = rollout
		}
		rollout.SetWanted(order.Desired{Model: name, Adapter: model.Adapter, Weights: model.Weights, Role: model.Role})
		s.orders.models = append(s.orders.models, name)
	}
	sort.Strings(s.orders.models)
	for name := range s.orders.rollouts {
		if _, wanted := models[name]; !wanted {
			delete(s.orders.rollouts, name)
		}
	}
}

// readOnce reads an engine that has just become known, when no sweep does.
func (s *State) readOnce(e *order.Engine, now time.Time) {
	if s.terms().StatePollInterval == 0 {
		s.readEngine(e, now)
	}
}

// rereadDelay is the time from a call of an engine without a response to the
// next one, when no sweep reads it. An engine without orders loses at most that
// much of the time that a rollout may take.
const rereadDelay = 500 * time.Millisecond

// rereadSilent reads the engines again that did not respond, when no sweep does.
func (s *State) rereadSilent(now time.Time) {
	for _, e := range s.orders.list {
		idle := e.Order == nil && !e.CallInProgress
		if idle && e.Unreachable && !now.Before(e.CallStartedAt.Add(rereadDelay)) {
			s.readEngine(e, now)
		}
	}
}

// sweep reads the state of one engine after the other.
func (s *State) sweep(now time.Time) {
	interval := s.terms().StatePollInterval
	if interval == 0 {
		s.rereadSilent(now)
		return
	}
	if len(s.orders.list) == 0 || now.Before(s.orders.swept.Add(interval)) {
		return
	}
	s.orders.swept = now
	s.orders.next = (s.orders.next + 1) % len(s.orders.list)
	if e := s.orders.list[s.orders.next]; e.Order == nil && !e.CallInProgress {
		s.readEngine(e, now)
	}
}

func (s *State) beginCall(e *order.Engine, now time.Time) {
	s.orders.calls++
	e.CallNumber = s.orders.calls
	e.CallInProgress = true
	e.CallStartedAt = now
}

func (s *State) readEngine(e *order.Engine, now time.Time) {
	s.beginCall(e, now)
	s.command(ReadEngine{Engine: e.ID, Address: e.Address, Call: e.CallNumber})
}

// expireCalls ends calls whose result was lost, for example because the queue
// of the worker was full.
func (s *State) expireCalls(now time.Time) {
	for _, e := range s.orders.list {
		if e.CallInProgress && !now.Before(e.CallStartedAt.Add(s.terms().CallTimeout)) {
			e.CallInProgress = false
			e.RecordUnreachable()
			s.fireOrder(e, "lose", now)
		}
	}
}

// engineStatus takes over what an engine said.
func (s *State) engineStatus(now time.Time, m EngineStatus) {
	e := s.orders.engines[m.Engine]
	if e == nil || !e.CallInProgress || e.CallNumber != m.Call {
		return
	}
	e.CallInProgress = false
	if m.Err != nil {
		s.engineFailed(now, e, m.Err)
		return
	}
	e.RecordStatus(m.Status)
	if s.orders.issuer.RecordFencing(m.Status.Fencing) {
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
		e.Polled = true
		s.fireOrder(e, "refuse", now)
		return
	}
	e.RecordUnreachable()
	s.fireOrder(e, "lose", now)
}
