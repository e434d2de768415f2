package control

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
	"tanagerspread/core/retry"
)

const (
	partStep = 50 * time.Millisecond
	// partContactTime is the time after which all nodes must know of a part.
	partContactTime = 3 * time.Second
	// partRestart is how long after a crash a server is back under another id.
	partRestart = 2500 * time.Millisecond
	// darkPatience is how long callers of a silent server wait, darkEntryTime how long its
	// entry stays, and darkRestart the time after which it is back under another id.
	darkPatience  = 3200 * time.Millisecond
	darkEntryTime = 3600 * time.Millisecond
	darkRestart   = 5 * time.Second
	// partCulprit crashes servers, partCommon is the first part of all calls.
	partCulprit quarantine.PartID = "culprit"
	partCommon  quarantine.PartID = "common"
)

// The sizes of the plays of fleets. CI plays each with one seed, and leaves out the two
// longest of those with 100 nodes, which take minutes under the race detector.
var (
	fleetSeeds = flag.Int("fleet-seeds", 1, "seeds of each play of a fleet")
	fleetTime  = flag.Duration("fleet-time", 0, "simulated time of each play of a fleet; 0 means 25 s with 7 nodes and 7 s with 100")
	longFleets = flag.Bool("long-fleets", false, "play the two longest fleets too")
)

// smallFleet is the number of nodes up to which a play is cheap.
const smallFleet = 7

// fleetPlay returns the number of seeds and the simulated time of a play.
func fleetPlay(nodes int) (uint64, time.Duration) {
	duration := *fleetTime
	switch {
	case duration > 0:
	case nodes <= smallFleet:
		duration = 25 * time.Second
	default:
		duration = 7 * time.Second
	}
	return uint64(*fleetSeeds), duration
}

// crashingFleet plays nodes whose engines crash, under calls with partCulprit or for
// reasons of their own.
type crashingFleet struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	rules  *config.Rules
	nodes  []*State
	ids    map[string]int
	// servers has the domain of each live engine, entries the list that the nodes get.
	servers map[fleet.ServerID]bool
	entries []VM
	// entriesChanged is true when the nodes have to get the list again.
	entriesChanged bool
	started        int
	running        map[request.ID]*crashCall
	later          map[int][]func()
	step           int
	calls          int
	// crashes has the times of the crashes under partCulprit.
	crashes []time.Time
	// limitCrashes is the number of crashes after which, and partContactTime, the limit is
	// reached. late counts calls with partCulprit, or poisonous ones, that reach servers then.
	limitCrashes, late int
	// resetShare is the share of its responses that a server resets, served the number of
	// calls that got their response.
	resetShare map[fleet.ServerID]float64
	served     int
	// maxWork is the longest time from the first event of a response to its end.
	maxWork time.Duration
	// dark makes servers fall silent when they crash: their calls end only when the callers
	// give up, and their entries are removed before they come back.
	dark bool
	// lossRate is the share of messages between nodes that are lost.
	lossRate float64
	// sound and begun count the sound calls since the limit and those that a server began
	// at the first attempt.
	sound, begun int
	blamed       map[quarantine.PartID]bool
	refused      map[code.Code]int
}

type crashCall struct {
	node    int
	server  fleet.ServerID
	attempt request.AttemptID
	culprit bool
}

func newCrashingFleet(t *testing.T, nodes, servers int, seed uint64) *crashingFleet {
	x := &crashingFleet{
		t: t, limitCrashes: 5, maxWork: 2 * time.Second, now: testStart, rules: forwardRules(), random: rand.New(rand.NewPCG(seed, uint64(nodes))), ids: map[string]int{}, servers: map[fleet.ServerID]bool{},
		running: map[request.ID]*crashCall{}, later: map[int][]func(){}, blamed: map[quarantine.PartID]bool{}, refused: map[code.Code]int{},
	}
	for i := range nodes {
		id := fmt.Sprintf("n%03d", i)
		x.ids[id] = i
		x.entries = append(x.entries, VM{ID: id, Role: fleet.RoleEntryVM, PeerAddress: id, Domain: overloadDomain(i)})
	}
	for range servers {
		x.startServer()
	}
	for i := range nodes {
		s, err := New(Options{
			Node: fmt.Sprintf("n%03d", i), Domain: overloadDomain(i), Charts: chart.Deployed(), Seed: seed<<8 + uint64(i),
			Unfenced: true, Agents: true, Forwarding: true, OutdatedWeightsLimit: testWeightsLimit,
			RepeatLimit: retry.RepeatLimit{Window: 10 * time.Second, Ratio: 0.2, BaseAllowance: 50},
		}, testStart.Add(-time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		x.nodes = append(x.nodes, s)
		x.confirm(i)
		x.handle(i, VMList{VMs: x.entries})
		for _, id := range slices.Sorted(maps.Keys(x.ids)) {
			x.handle(i, PeerDigest{Digest: membership.Digest{Node: id, Incarnation: 1, State: "ready"}})
		}
	}
	return x
}

// confirm lets a node read the configuration, which keeps it from fencing itself.
func (x *crashingFleet) confirm(node int) {
	x.handle(node, ConfigSeen{Current: config.Configuration{Version: 1, ApplyID: "one"}, Rules: x.rules, FromService: true, AskedAt: x.now})
}

func (x *crashingFleet) after(delay time.Duration, action func()) {
	due := x.step + max(int(delay/partStep), 1)
	x.later[due] = append(x.later[due], action)
}

func (x *crashingFleet) startServer() {
	id := fmt.Sprintf("m%d", x.started)
	x.servers[fleet.ServerID(id)] = true
	x.entries = append(x.entries, VM{ID: id, Address: id, Role: fleet.RoleEngine, Serves: "models", Model: "m", Weights: 1, MaxConcurrency: 64, Domain: overloadDomain(x.started)})
	x.started++
}

// crash ends a server: all connections break, and its entry is replaced later.
func (x *crashingFleet) crash(id fleet.ServerID) {
	if !x.servers[id] {
		return
	}
	delete(x.servers, id)
	if x.dark {
		x.goDark(id)
		return
	}
	for _, callID := range slices.Sorted(maps.Keys(x.running)) {
		if call := x.running[callID]; call.server == id {
			delete(x.running, callID)
			x.handle(call.node, AttemptDone{Request: callID, Attempt: call.attempt, Outcome: Lost, ConnectionBroken: true, Cause: code.New(code.BackendLost, "")})
		}
	}
	x.after(partRestart, func() {
		x.entries = slices.DeleteFunc(x.entries, func(vm VM) bool { return vm.ID == string(id) })
		x.startServer()
		x.entriesChanged = true
	})
}

// goDark lets a server fall silent.
func (x *crashingFleet) goDark(id fleet.ServerID) {
	for _, callID := range slices.Sorted(maps.Keys(x.running)) {
		if call := x.running[callID]; call.server == id {
			delete(x.running, callID)
			x.after(darkPatience, func() {
				x.handle(call.node, AttemptDone{Request: callID, Attempt: call.attempt, Outcome: Stopped, Cause: code.New(code.CallerGone, "")})
			})
		}
	}
	x.after(darkEntryTime, func() {
		x.entries = slices.DeleteFunc(x.entries, func(vm VM) bool { return vm.ID == string(id) })
		x.entriesChanged = true
	})
	x.after(darkRestart, func() {
		x.startServer()
		x.entriesChanged = true
	})
}

// handle delivers a message to a node. Its messages reach the peers in a later step.
func (x *crashingFleet) handle(node int, m Message) {
	out := x.nodes[node].Handle(x.now, m)
	replies, commands := slices.Clone(out.Replies), slices.Clone(out.Commands)
	for _, reply := range replies {
		if refusal, ok := reply.Decision.(Refusal); ok {
			x.refused[refusal.Err.Code]++
		}
		if _, ok := reply.Decision.(Deliver); ok {
			x.served++
		}
		if d, ok := reply.Decision.(Dispatch); ok {
			x.after(0, func() { x.dial(node, reply.To, d) })
		}
	}
	for _, command := range commands {
		switch send := command.(type) {
		case SendDigest:
			x.deliver(send.Targets, PeerDigest{Digest: send.Digest})
		case SendWork:
			x.deliver(send.Targets, PeerWork{Node: send.Node, Work: send.Work, Waiting: send.Waiting})
		}
	}
}

// deliver sends a message to peers; a share of the messages is lost.
func (x *crashingFleet) deliver(targets []PeerTarget, m Message) {
	for _, target := range targets {
		if x.random.Float64() >= x.lossRate {
			x.after(partStep, func() { x.handle(x.ids[target.Node], m) })
		}
	}
}

// dial sends an attempt to its server. The first event comes 40 to 200 ms later, the end
// up to 2 s after it.
func (x *crashingFleet) dial(node int, id request.ID, d Dispatch) {
	if !x.servers[d.Server] {
		x.handle(node, AttemptDone{Request: id, Attempt: d.Attempt, Outcome: DialFailed, Cause: code.New(code.DialRefused, "")})
		return
	}
	x.handle(node, Connected{Request: id, Attempt: d.Attempt})
	req, inProgress := x.nodes[node].requests[id]
	if !inProgress || req.attempt == nil || !isRunning(req.attempt) {
		return
	}
	call := &crashCall{node: node, server: d.Server, attempt: d.Attempt, culprit: req.hasPart(partCulprit) || req.BodyDigest == poisonDigest}
	x.running[id] = call
	if call.culprit && x.pastLimit() {
		x.late++
	}
	sound := !call.culprit && d.Attempt == 1
	x.after(40*time.Millisecond+time.Duration(x.random.Int64N(int64(160*time.Millisecond))), func() { x.begin(id, call, sound) })
}

func (x *crashingFleet) begin(id request.ID, call *crashCall, countsAsBegun bool) {
	if x.running[id] != call {
		return
	}
	if call.culprit {
		x.crashes = append(x.crashes, x.now)
		x.crash(call.server)
		return
	}
	if x.random.Float64() < x.resetShare[call.server] {
		delete(x.running, id)
		x.handle(call.node, AttemptDone{Request: id, Attempt: call.attempt, Outcome: Lost, ConnectionBroken: true, Cause: code.New(code.BackendLost, "")})
		return
	}
	if countsAsBegun && x.pastLimit() {
		x.begun++
	}
	x.handle(call.node, FirstToken{Request: id, Attempt: call.attempt, Elapsed: partStep})
	x.after(time.Duration(x.random.Int64N(int64(x.maxWork))), func() {
		if x.running[id] == call {
			delete(x.running, id)
			x.handle(call.node, AttemptDone{Request: id, Attempt: call.attempt, Outcome: Succeeded, Answered: true})
		}
	})
}

// pastLimit reports whether partContactTime has passed since the crash of the limit.
func (x *crashingFleet) pastLimit() bool {
	return len(x.crashes) >= x.limitCrashes && x.now.Sub(x.crashes[x.limitCrashes-1]) > partContactTime
}

// play sends a call at each node every interval, one of culpritEvery with partCulprit, and
// crashes a share of the servers every crashEvery.
func (x *crashingFleet) play(duration, interval time.Duration, culpritEvery int, crashEvery time.Duration, share float64) {
	for end := x.now.Add(duration); x.now.Before(end); x.now = x.now.Add(partStep) {
		x.step++
		due := x.later[x.step]
		delete(x.later, x.step)
		for _, action := range due {
			action()
		}
		if crashEvery > 0 && x.step%int(crashEvery/partStep) == 0 {
			for _, id := range slices.Sorted(maps.Keys(x.servers)) {
				if x.random.Float64() < share {
					x.crash(id)
				}
			}
		}
		for node := range x.nodes {
			if x.entriesChanged {
				x.handle(node, VMList{VMs: x.entries})
			}
			if x.step%20 == 0 {
				x.confirm(node)
			}
			x.handle(node, Tick{})
			if (x.step+node*7)%int(interval/partStep) == 0 {
				x.call(node, culpritEvery)
			}
		}
		x.entriesChanged = false
		x.recordBlame()
	}
}

func (x *crashingFleet) call(node, culpritEvery int) {
	x.calls++
	id := request.ID(fmt.Sprintf("call-%d", x.calls))
	parts := []request.Part{{ID: string(partCommon), Tokens: 500}, {ID: fmt.Sprintf("doc-%d", x.random.IntN(60)), Tokens: 200}}
	if culpritEvery > 0 && x.calls%culpritEvery == 0 {
		parts = slices.Insert(parts, 1+x.random.IntN(2), request.Part{ID: string(partCulprit), Tokens: 100})
	} else if x.pastLimit() {
		x.sound++
	}
	parts = append(parts, request.Part{ID: "own-" + string(id), Tokens: 20})
	x.handle(node, Admit{Request: request.Request{
		ID: id, Route: request.Route{Kind: request.Forward}, Deadline: x.now.Add(5 * time.Second), BodyDigest: string(id),
		Call: &request.Call{Host: "h", Path: "/review/x", Parts: parts},
	}})
	if _, admitted := x.nodes[node].requests[id]; admitted {
		x.handle(node, Place{Request: id, PromptTokens: 820})
	}
}

// recordBlame records the parts that any node refuses.
func (x *crashingFleet) recordBlame() {
	for _, s := range x.nodes {
		for _, part := range s.parts.QuarantinedParts() {
			x.blamed[part.Part] = true
		}
	}
}
