package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/order"
)

// deployedOrderParameters are parameters as the users' deployment has them.
func deployedOrderParameters() order.Parameters {
	return order.Parameters{
		LeaseTTL:           2 * time.Second,
		LeaseMargin:        time.Second,
		TakeoverWait:       1100 * time.Millisecond,
		MaxOrderTime:       4 * time.Second,
		ResendTime:         15 * time.Second,
		GracePeriod:        500 * time.Millisecond,
		MaxLoads:           2,
		MaxLoadFraction:    0.2,
		OutstandingPerLoad: 4,
		RetryDelay:         500 * time.Millisecond,
		CallTimeout:        1500 * time.Millisecond,
		OnDemand:           true,
	}
}

// newDeployedState returns a node of the users' deployment.
func newDeployedState(t *testing.T, node string, now time.Time, list []VM) *State {
	t.Helper()
	s, err := New(Options{
		Node: node, Charts: chart.Deployed(), Seed: 1, ServerSlots: testSlots, MayIssueOrders: true,
		OrderParameters: deployedOrderParameters(), DrainDelay: 2500 * time.Millisecond,
		Checker: invariant.NewChecker(func(v *invariant.Violation) { panic(v) }),
	}, now)
	if err != nil {
		t.Fatal(err)
	}
	rules := rulesFor(1, "")
	rules.Models = map[string]config.Model{"m": {Class: "urgent"}}
	s.Handle(now, Configure{Version: 1, Rules: rules})
	s.Handle(now, VMList{VMs: list})
	return s
}

// lateSite is a site whose engines do not respond to orders and execute them
// seconds later. Its time is that of the test.
type lateSite struct {
	now     time.Time
	random  *rand.Rand
	engines map[fleet.ServerID]*lateEngine
	// pending lists what happens later.
	pending []pendingEvent
	// mostLoads is the largest number of engines that loaded at the same time.
	mostLoads int
}

// lateEngine is an engine that counts its orders.
type lateEngine struct {
	weights  int
	accepted uint64
	loading  bool
}

// pendingEvent is an event at a time.
type pendingEvent struct {
	at   time.Time
	fire func()
}

const (
	lateTick         = 50 * time.Millisecond
	lateCallTimeout  = 600 * time.Millisecond
	lateReadTime     = 10 * time.Millisecond
	lateLoadTime     = 1400 * time.Millisecond
	minExecuteDelay  = 2 * time.Second
	executeDelaySpan = 10 * time.Second
)

func newLateSite(engines int, seed uint64) *lateSite {
	site := &lateSite{now: testStart, random: rand.New(rand.NewPCG(seed, 0)), engines: map[fleet.ServerID]*lateEngine{}}
	for _, vm := range vms(engines, 0, 0) {
		site.engines[fleet.ServerID(vm.ID)] = &lateEngine{weights: 1}
	}
	return site
}

func (l *lateSite) after(delay time.Duration, fire func()) {
	l.pending = append(l.pending, pendingEvent{at: l.now.Add(delay), fire: fire})
}

// step advances the time by one tick of the node.
func (l *lateSite) step(s *State) {
	l.now = l.now.Add(lateTick)
	due := l.pending
	l.pending = nil
	for _, event := range due {
		if event.at.After(l.now) {
			l.pending = append(l.pending, event)
			continue
		}
		event.fire()
	}
	l.carryOut(s, s.Handle(l.now, Tick{}))
}

// carryOut executes the commands of the node.
func (l *lateSite) carryOut(s *State, output Output) {
	for _, command := range append([]Command(nil), output.Commands...) {
		switch c := command.(type) {
		case IssuerCommand:
			l.carryOut(s, s.Handle(l.now, IssuerResult{Step: c.Step, Attempt: c.Attempt, AskedAt: l.now, Lease: "l", Revision: 5}))
		case ReadEngine:
			l.after(lateReadTime, func() { l.report(s, c) })
		case SendOrder:
			l.after(lateCallTimeout, func() {
				l.carryOut(s, s.Handle(l.now, EngineStatus{Engine: c.Engine, Call: c.Call, Err: code.New(code.EngineAway, "no response")}))
			})
			delay := minExecuteDelay + time.Duration(l.random.Int64N(int64(executeDelaySpan)))
			l.after(delay, func() { l.execute(c) })
		}
	}
}

// report answers a read with the state of the engine.
func (l *lateSite) report(s *State, c ReadEngine) {
	e := l.engines[c.Engine]
	status := order.Status{Current: order.Desired{Model: "m", Weights: e.weights}, AcceptedOrders: e.accepted, ReportsCountOnly: true}
	if e.loading {
		status.Phase = order.PhaseLoading
	}
	l.carryOut(s, s.Handle(l.now, EngineStatus{Engine: c.Engine, Call: c.Call, Status: status}))
}

// execute starts a load, unless the engine loads or has accepted another order
// since the node sent this one.
func (l *lateSite) execute(c SendOrder) {
	e := l.engines[c.Engine]
	if e.loading || e.accepted != c.ExpectedOrders {
		return
	}
	e.accepted++
	e.loading = true
	loads := 0
	for _, other := range l.engines {
		if other.loading {
			loads++
		}
	}
	l.mostLoads = max(l.mostLoads, loads)
	l.after(lateLoadTime, func() {
		e.loading = false
		e.weights = c.Desired.Weights
	})
}

// outdated returns the number of engines with older weights.
func (l *lateSite) outdated(weights int) int {
	count := 0
	for _, e := range l.engines {
		if e.weights < weights {
			count++
		}
	}
	return count
}

// lateRolloutTime is the time within which all engines but one must have the
// weights that were named.
const lateRolloutTime = 17 * time.Second

// TestUnansweredOrdersHoldNoLoad guards against orders without a response that
// keep the next engines waiting although no engine loads: nine engines that execute
// each order 2 to 12 s late took over half a minute (issue 22).
func TestUnansweredOrdersHoldNoLoad(t *testing.T) {
	const engines = 9
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			site := newLateSite(engines, seed)
			s := newDeployedState(t, "n1", site.now, vms(engines, 0, 0))
			site.carryOut(s, s.Handle(site.now, WeightsNamed{Model: "m", Weights: 2}))
			start := site.now
			for site.outdated(2) > 1 && site.now.Sub(start) < time.Minute {
				site.step(s)
			}
			if took := site.now.Sub(start); took > lateRolloutTime {
				t.Errorf("%s until one of %d engines has older weights", took, engines)
			}
			if limit := deployedOrderParameters().OutstandingLimit(engines); site.mostLoads > limit {
				t.Errorf("%d engines loaded at once, the limit is %d", site.mostLoads, limit)
			}
		})
	}
}

// TestNewerWeightsReplaceUnacceptedOrder guards against an engine that is sent
// replaced weights again although it has not accepted the order for them, and so
// loads twice (issue 22).
func TestNewerWeightsReplaceUnacceptedOrder(t *testing.T) {
	const engines = 9
	site := newLateSite(engines, 1)
	s := newDeployedState(t, "n1", site.now, vms(engines, 0, 0))
	site.carryOut(s, s.Handle(site.now, WeightsNamed{Model: "m", Weights: 2}))
	asked := site.untilUnaccepted(t, s)
	expected := asked.Order.AcceptedBefore
	for _, command := range s.Handle(site.now, WeightsNamed{Model: "m", Weights: 3}).Commands {
		if sent, ok := command.(SendOrder); ok && sent.Engine == asked.ID {
			if sent.Desired.Weights != 3 || sent.ExpectedOrders != expected {
				t.Errorf("sent weights %d with count %d, not 3 with %d", sent.Desired.Weights, sent.ExpectedOrders, expected)
			}
			return
		}
	}
	t.Error("the order for the newer weights was not sent at once")
}

// untilUnaccepted advances the time until an engine has not accepted its order, and
// returns that engine.
func (l *lateSite) untilUnaccepted(t *testing.T, s *State) *order.Engine {
	t.Helper()
	for l.now.Sub(testStart) < time.Minute {
		l.step(s)
		if engine := unacceptedEngine(s); engine != nil {
			return engine
		}
	}
	t.Fatal("no order is unaccepted")
	return nil
}

// unacceptedEngine returns an engine whose order awaits neither a response nor a
// report and counts as no load, or nil.
func unacceptedEngine(s *State) *order.Engine {
	for _, engine := range s.orders.engineList {
		if engine.Order != nil && !engine.CallInProgress && !engine.Order.Chart.Is(tagCountsAsLoad) {
			return engine
		}
	}
	return nil
}

// TestUnansweredOrdersOfTwoVersions guards against a second version, named while
// orders for the first are unanswered, that waits until these have been given up.
func TestUnansweredOrdersOfTwoVersions(t *testing.T) {
	const engines = 9
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			site := newLateSite(engines, seed)
			s := newDeployedState(t, "n1", site.now, vms(engines, 0, 0))
			site.carryOut(s, s.Handle(site.now, WeightsNamed{Model: "m", Weights: 2}))
			for site.now.Sub(testStart) < 1500*time.Millisecond {
				site.step(s)
			}
			site.carryOut(s, s.Handle(site.now, WeightsNamed{Model: "m", Weights: 3}))
			start := site.now
			for site.outdated(3) > 1 && site.now.Sub(start) < time.Minute {
				site.step(s)
			}
			if took := site.now.Sub(start); took > lateRolloutTime {
				t.Errorf("%s until one of %d engines has older weights", took, engines)
			}
		})
	}
}

// TestRestartedEngineGetsOrder guards against an engine that restarts, counts its
// orders from zero and is sent an order with the former count again and again, which
// it refuses each time.
func TestRestartedEngineGetsOrder(t *testing.T) {
	site := newLateSite(3, 1)
	for _, e := range site.engines {
		e.accepted = 5
	}
	s := newDeployedState(t, "n1", site.now, vms(3, 0, 0))
	site.carryOut(s, s.Handle(site.now, WeightsNamed{Model: "m", Weights: 2}))
	asked := site.untilUnaccepted(t, s)
	site.engines[asked.ID].accepted = 0
	restarted := site.now
	for site.now.Sub(restarted) < 2*time.Second {
		site.step(s)
	}
	if asked.Order == nil || asked.Order.AcceptedBefore != 0 {
		t.Errorf("the order names another count than the engine: %+v", asked.Order)
	}
}

// TestLeavingEngineGetsNoFurtherOrder guards against an order that is sent again to an
// engine that leaves.
func TestLeavingEngineGetsNoFurtherOrder(t *testing.T) {
	site := newLateSite(3, 1)
	list := vms(3, 0, 0)
	s := newDeployedState(t, "n1", site.now, list)
	site.carryOut(s, s.Handle(site.now, WeightsNamed{Model: "m", Weights: 2}))
	asked := site.untilUnaccepted(t, s)
	for i := range list {
		list[i].Leaving = list[i].ID == string(asked.ID)
	}
	site.carryOut(s, s.Handle(site.now, VMList{VMs: list}))
	left := site.now
	for site.now.Sub(left) < 2*time.Second {
		site.step(s)
	}
	if asked.Order != nil {
		t.Errorf("the order to a leaving engine is still outstanding: %+v", asked.Order)
	}
}
