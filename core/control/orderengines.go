package control

import (
	"sort"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
	"tanagerspread/core/order"
)

// syncEngines updates the engines from the VM list and the rollouts from the
// wanted states of the configuration. It does nothing outside a term.
func (s *State) syncEngines(now time.Time) {
	if !s.inTerm() {
		return
	}
	for _, engine := range s.orders.engines {
		engine.Live = false
	}
	for _, server := range s.serverList {
		if server.Role == fleet.RoleEngine {
			s.syncEngine(now, server)
		}
	}
	s.orders.engineList = s.orders.engineList[:0]
	for id, engine := range s.orders.engines {
		if !engine.Live && engine.Order == nil {
			delete(s.orders.engines, id)
			continue
		}
		s.orders.engineList = append(s.orders.engineList, engine)
	}
	sort.Slice(s.orders.engineList, func(i, j int) bool { return s.orders.engineList[i].ID < s.orders.engineList[j].ID })
	s.syncRollouts(now)
}

// syncEngine updates one engine from the VM list. An engine at another address
// is another process. It replaces the old one only when the order to the old one
// has finished.
func (s *State) syncEngine(now time.Time, server *fleet.Server) {
	engine := s.orders.engines[server.ID]
	if engine == nil || (engine.Address != server.Address && engine.Order == nil) {
		engine = &order.Engine{ID: server.ID, Address: server.Address}
		s.orders.engines[server.ID] = engine
		s.readNewEngine(engine, now)
	}
	engine.Model = modelOf(server)
	engine.Live = !server.Chart.Is(fleet.TagLeaving) && engine.Address == server.Address
}

// syncRollouts creates, updates and removes rollouts so that each model with a
// wanted state has one.
func (s *State) syncRollouts(now time.Time) {
	s.orders.models = s.orders.models[:0]
	models := s.wantedModels()
	for name, model := range models {
		rollout := s.orders.rollouts[name]
		if rollout == nil {
			rollout = &order.Rollout{Model: name, Chart: s.charts.rollout.Start(now)}
			s.orders.rollouts[name] = rollout
		}
		wanted := order.Desired{Model: name, Adapter: model.Adapter, Weights: model.Weights, Role: model.Role}
		if rollout.SetWanted(wanted) {
			s.supersedeOrders(name, now)
		}
		s.orders.models = append(s.orders.models, name)
	}
	sort.Strings(s.orders.models)
	for name := range s.orders.rollouts {
		if _, wanted := models[name]; !wanted {
			delete(s.orders.rollouts, name)
		}
	}
}

// readNewEngine reads the state of an engine that has just been added, unless the
// sweep reads it.
func (s *State) readNewEngine(engine *order.Engine, now time.Time) {
	if s.orderParameters().StatePollInterval == 0 {
		s.readEngine(engine, now)
	}
}

// rereadInterval is the time between a call of an engine that got no response and
// the next one, when no sweep reads the engine. It bounds how much a rollout is
// delayed because an engine that responds again gets no order.
const rereadInterval = 500 * time.Millisecond

// rereadUnreachable reads again the state of engines that did not respond, when
// there is no sweep.
func (s *State) rereadUnreachable(now time.Time) {
	for _, engine := range s.orders.engineList {
		idle := engine.Order == nil && !engine.CallInProgress
		if _, paused := s.pauseEnd(engine.ID); paused {
			continue
		}
		if idle && engine.Unreachable && !now.Before(engine.CallStartedAt.Add(rereadInterval)) {
			s.readEngine(engine, now)
		}
	}
}

// sweep reads the states of the engines one after the other, one per
// StatePollInterval.
func (s *State) sweep(now time.Time) {
	interval := s.orderParameters().StatePollInterval
	if interval == 0 {
		s.rereadUnreachable(now)
		return
	}
	if len(s.orders.engineList) == 0 || now.Before(s.orders.lastSweep.Add(interval)) {
		return
	}
	s.orders.lastSweep = now
	s.orders.nextSwept = (s.orders.nextSwept + 1) % len(s.orders.engineList)
	if engine := s.orders.engineList[s.orders.nextSwept]; engine.Order == nil && !engine.CallInProgress {
		s.readEngine(engine, now)
	}
}

func (s *State) startEngineCall(engine *order.Engine, now time.Time) {
	s.orders.callCount++
	engine.CallNumber = s.orders.callCount
	engine.CallInProgress = true
	engine.CallStartedAt = now
}

func (s *State) readEngine(engine *order.Engine, now time.Time) {
	s.startEngineCall(engine, now)
	s.command(ReadEngine{Engine: engine.ID, Address: engine.Address, Call: engine.CallNumber})
}

// expireCalls fails calls whose result was lost, for example because the queue
// of the worker was full.
func (s *State) expireCalls(now time.Time) {
	for _, engine := range s.orders.engineList {
		if engine.CallInProgress && !now.Before(engine.CallStartedAt.Add(s.orderParameters().CallTimeout)) {
			engine.CallInProgress = false
			engine.RecordUnreachable()
			s.fireOrderEvent(engine, "lose", now)
		}
	}
}

// engineStatus handles the result of a call of an engine. A result of an
// earlier call is ignored.
func (s *State) engineStatus(now time.Time, m EngineStatus) {
	engine := s.orders.engines[m.Engine]
	if engine == nil || !engine.CallInProgress || engine.CallNumber != m.Call {
		return
	}
	engine.CallInProgress = false
	if m.Err != nil {
		s.engineFailed(now, engine, m.Err)
		return
	}
	engine.RecordStatus(m.Status)
	if s.orders.issuer.RecordFencing(m.Status.Fencing) {
		s.fireIssuerEvent("outrank", now)
		return
	}
	if engine.Order != nil {
		s.fireOrderEvent(engine, engine.Order.EventFor(m.Status), now)
	}
	s.updateRollouts(now)
}

func (s *State) engineFailed(now time.Time, engine *order.Engine, err *code.Error) {
	if err.Code == code.OrderRefused {
		engine.Polled = true
		s.fireOrderEvent(engine, "refuse", now)
		return
	}
	engine.RecordUnreachable()
	s.fireOrderEvent(engine, "lose", now)
}
