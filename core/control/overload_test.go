package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/request"
)

const (
	overloadDomains   = 3
	overloadStep      = 20 * time.Millisecond
	overloadRunTime   = 3 * time.Second
	overloadTokens    = 10_000
	overloadCapacity  = 60_000
	overloadPerDomain = 2
)

// overload replays more long calls than the engines have memory for. Several nodes
// place them, each with what it has heard of the others.
type overload struct {
	t            *testing.T
	now          time.Time
	random       *rand.Rand
	rules        *config.Rules
	nodes        []*State
	runTimesVary bool
	ids          map[string]int
	// clockDifference is the difference between the clocks of nodes that follow each other.
	clockDifference time.Duration
	// silent drops the reports of work between nodes.
	silent bool
	// running has the calls at engines and the times at which they end.
	running map[request.ID]overloadCall
	memory  map[fleet.ServerID]int
	// served has the nodes of the calls that were sent to engines.
	served []int
	// mostMemory is the most memory that calls needed at one engine.
	mostMemory int
	// waiting has the calls that are not at an engine
	// and when they came.
	waiting  map[request.ID]time.Time
	refusals []overloadRefusal
	pending  []func()
}

// overloadRefusal is a refusal of a call that had waited for the given time.
type overloadRefusal struct {
	id       request.ID
	decision Refusal
	waited   time.Duration
}

type overloadCall struct {
	node    int
	server  fleet.ServerID
	attempt request.AttemptID
	endsAt  time.Time
}

func newOverload(t *testing.T, nodes int) *overload {
	x := &overload{t: t, now: testStart, random: rand.New(rand.NewPCG(1, uint64(nodes))), ids: map[string]int{}, running: map[request.ID]overloadCall{}, memory: map[fleet.ServerID]int{}, waiting: map[request.ID]time.Time{}}
	var list []VM
	for i := range overloadDomains * overloadPerDomain {
		id := fmt.Sprintf("m%d", i)
		list = append(list, VM{ID: id, Address: id, Role: fleet.RoleEngine, Serves: "models", Model: "m", Weights: 1, MaxConcurrency: 64, Domain: overloadDomain(i)})
	}
	for i := range nodes {
		id := fmt.Sprintf("n%02d", i)
		x.ids[id] = i
		list = append(list, VM{ID: id, Role: fleet.RoleEntryVM, PeerAddress: id, Domain: overloadDomain(i)})
	}
	rules := forwardRules()
	rules.Routes.Find("h", "/review/x").Priority = 1
	for i := range nodes {
		s, err := New(Options{
			Node: fmt.Sprintf("n%02d", i), Domain: overloadDomain(i), Charts: chart.Deployed(), Seed: uint64(i + 1),
			Unfenced: true, Agents: true, Forwarding: true, OutdatedWeightsLimit: testWeightsLimit,
		}, testStart)
		if err != nil {
			t.Fatal(err)
		}
		x.nodes = append(x.nodes, s)
		x.rules = rules
		x.handle(i, VMList{VMs: list})
		for _, id := range slices.Sorted(maps.Keys(x.ids)) {
			x.handle(i, PeerDigest{Digest: membership.Digest{Node: id, Incarnation: 1, State: "ready"}})
		}
	}
	return x
}

func overloadDomain(i int) fleet.Domain {
	return fleet.Domain(fmt.Sprintf("domain-%d", i%overloadDomains))
}

// handle delivers a message to a node. Its reports reach the peers in the next step.
func (x *overload) handle(node int, m Message) {
	out := x.nodes[node].Handle(x.now.Add(time.Duration(node%3)*x.clockDifference), m)
	for _, reply := range out.Replies {
		x.decided(node, reply)
	}
	for _, command := range out.Commands {
		work, ok := command.(SendWork)
		if !ok || x.silent {
			continue
		}
		for _, target := range work.Targets {
			x.pending = append(x.pending, func() {
				x.handle(x.ids[target.Node], PeerWork{Node: work.Node, Work: work.Work, Waiting: work.Waiting})
			})
		}
	}
}

func (x *overload) decided(node int, reply Reply) {
	if refusal, ok := reply.Decision.(Refusal); ok {
		x.refused(reply.To, refusal)
		return
	}
	d, ok := reply.Decision.(Dispatch)
	if !ok {
		return
	}
	delete(x.waiting, reply.To)
	x.running[reply.To] = overloadCall{node: node, server: d.Server, attempt: d.Attempt, endsAt: x.now.Add(x.runTime())}
	x.memory[d.Server] += overloadTokens
	x.served = append(x.served, node)
	x.mostMemory = max(x.mostMemory, x.memory[d.Server])
	x.pending = append(x.pending, func() {
		x.handle(node, Connected{Request: reply.To, Attempt: d.Attempt})
		x.handle(node, FirstToken{Request: reply.To, Attempt: d.Attempt, Elapsed: overloadStep})
	})
}

// runTime returns the run time of the next call, half to one and a half times the mean
// when run times vary.
func (x *overload) runTime() time.Duration {
	if !x.runTimesVary {
		return overloadRunTime
	}
	return overloadRunTime/2 + time.Duration(x.random.Int64N(int64(overloadRunTime)))
}

// refused ends a call whose deadline has passed, at its node or at an engine.
func (x *overload) refused(id request.ID, decision Refusal) {
	call, runs := x.running[id]
	if !runs {
		x.refusals = append(x.refusals, overloadRefusal{id: id, decision: decision, waited: x.now.Sub(x.waiting[id])})
		delete(x.waiting, id)
		return
	}
	delete(x.running, id)
	x.memory[call.server] -= overloadTokens
}

// play starts a call at each node every interval and plays the given time.
func (x *overload) play(duration, interval time.Duration) {
	for step := 0; time.Duration(step)*overloadStep < duration; step++ {
		x.step(func(node int) {
			if (step+node)%int(interval/overloadStep) == 0 {
				x.start(node, request.ID(fmt.Sprintf("call-%d-%d", step, node)))
			}
		})
	}
}

// step plays one step, in which start starts the calls of each node.
func (x *overload) step(start func(node int)) {
	due := x.pending
	x.pending = nil
	for _, deliver := range due {
		deliver()
	}
	x.endCalls()
	for node := range x.nodes {
		x.handle(node, ConfigSeen{Current: config.Configuration{Version: 1, ApplyID: "one"}, Rules: x.rules, FromService: true, AskedAt: x.now})
		x.handle(node, Tick{})
		start(node)
	}
	x.now = x.now.Add(overloadStep)
}

func (x *overload) start(node int, id request.ID) {
	x.waiting[id] = x.now
	x.handle(node, Admit{Request: request.Request{
		ID: id, Route: request.Route{Kind: request.Forward}, Deadline: x.now.Add(time.Minute), BodyDigest: string(id),
		Call: &request.Call{Host: "h", Path: "/review/x", Parts: []request.Part{{ID: string(id), Tokens: overloadTokens}}},
	}})
	x.handle(node, Place{Request: id, PromptTokens: overloadTokens})
}

func (x *overload) endCalls() {
	for _, id := range slices.Sorted(maps.Keys(x.running)) {
		call := x.running[id]
		if call.endsAt.After(x.now) {
			continue
		}
		delete(x.running, id)
		x.memory[call.server] -= overloadTokens
		x.handle(call.node, AttemptDone{Request: id, Attempt: call.attempt, Outcome: Succeeded})
	}
}

// TestEnginesNotOverfilled guards against engines that are sent more long calls than
// they have memory for. Such an engine drops the parts that it has fetched for waiting
// calls, computes them again, and serves ever fewer calls.
func TestEnginesNotOverfilled(t *testing.T) {
	for _, nodes := range []int{6, 9, 12, 18, 24, 30, 36, 48} {
		t.Run(fmt.Sprintf("%d nodes, equal run times", nodes), func(t *testing.T) { testTwiceTheLoad(t, nodes, false) })
		t.Run(fmt.Sprintf("%d nodes, run times vary", nodes), func(t *testing.T) { testTwiceTheLoad(t, nodes, true) })
	}
}

// testTwiceTheLoad plays twice as many calls as the memory of all engines can carry.
func testTwiceTheLoad(t *testing.T, nodes int, runTimesVary bool) {
	x := newOverload(t, nodes)
	x.runTimesVary = runTimesVary
	capacity := overloadDomains * overloadPerDomain * overloadCapacity / overloadTokens
	interval := (overloadRunTime * time.Duration(nodes) / time.Duration(2*capacity)).Round(overloadStep)
	x.play(20*time.Second, interval)
	if x.mostMemory > overloadCapacity {
		t.Errorf("calls needed %d tokens at one engine, which has %d", x.mostMemory, overloadCapacity)
	}
	if used := len(x.running) * overloadTokens; used < 7*overloadDomains*overloadPerDomain*overloadCapacity/10 {
		t.Errorf("%d tokens of memory are used while %d calls wait", used, len(x.waiting))
	}
}

// TestSilentPeersOverfillEngines shows that the reports between nodes are what keeps
// the engines from being overfilled.
func TestSilentPeersOverfillEngines(t *testing.T) {
	x := newOverload(t, 9)
	x.silent = true
	x.play(20*time.Second, 400*time.Millisecond)
	if x.mostMemory <= overloadCapacity {
		t.Errorf("without reports calls needed at most %d tokens at one engine", x.mostMemory)
	}
}

// TestNodesShareEnginesByOtherClocks guards against nodes that are served less because
// their clocks are ahead of those of their peers, which ignored their waiting work.
func TestNodesShareEnginesByOtherClocks(t *testing.T) {
	const nodes = 9
	for _, difference := range []time.Duration{0, 150 * time.Millisecond} {
		x := newOverload(t, nodes)
		x.clockDifference = difference
		x.play(40*time.Second, 360*time.Millisecond)
		var served [3]int
		for _, call := range x.served {
			served[call%3]++
		}
		if slices.Min(served[:])*14 < slices.Max(served[:])*10 {
			t.Errorf("clocks differ by %s: calls served by nodes of each clock %d", difference, served)
		}
	}
}
