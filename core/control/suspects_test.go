package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
)

// simRequest is a request on one of the simulated nodes.
type simRequest struct {
	node     int
	request  request.Request
	dispatch *Dispatch
	admitted bool
	refused  *code.Error
}

// crashSimulation simulates nodes that share servers and exchange the quarantine
// entries that they publish.
type crashSimulation struct {
	t              *testing.T
	random         *rand.Rand
	now            time.Time
	nodes          []*State
	requests       map[request.ID]*simRequest
	ids            []request.ID
	crashedServers []fleet.ServerID
	// unrelatedRequests counts the unrelated requests on crashed servers.
	unrelatedRequests int
}

func (x *crashSimulation) send(node int, m Message) {
	out := x.nodes[node].Handle(x.now, m)
	replies := append([]Reply(nil), out.Replies...)
	commands := append([]Command(nil), out.Commands...)
	for _, c := range commands {
		if p, ok := c.(PublishQuarantine); ok {
			for other := range x.nodes {
				if other != node {
					x.send(other, QuarantineSeen{Entries: p.Entries})
				}
			}
		}
	}
	for _, reply := range replies {
		if req := x.requests[reply.To]; req != nil {
			x.handleReply(req, reply.Decision)
		}
	}
}

func (x *crashSimulation) handleReply(req *simRequest, decision Decision) {
	switch d := decision.(type) {
	case Admitted:
		req.admitted = true
	case Dispatch:
		x.send(req.node, Connected{Request: req.request.ID, Attempt: d.Attempt})
		req.dispatch = &d
	case Refusal:
		req.refused = d.Err
		x.remove(req)
	case Deliver:
		x.remove(req)
	}
}

func (x *crashSimulation) remove(req *simRequest) {
	delete(x.requests, req.request.ID)
}

// crash makes every attempt at the server fail, in random order.
func (x *crashSimulation) crash(server fleet.ServerID) {
	x.crashedServers = append(x.crashedServers, server)
	var running []*simRequest
	for _, id := range x.ids {
		if req := x.requests[id]; req != nil && req.dispatch != nil && req.dispatch.Server == server {
			running = append(running, req)
		}
	}
	x.unrelatedRequests += len(running) - 1
	x.random.Shuffle(len(running), func(i, k int) { running[i], running[k] = running[k], running[i] })
	for _, req := range running {
		done := AttemptDone{Request: req.request.ID, Attempt: req.dispatch.Attempt, Outcome: Lost, ConnectionBroken: true}
		req.dispatch = nil
		x.send(req.node, done)
	}
}

func (x *crashSimulation) start(node int, id, body string) *simRequest {
	r := completion(id, 0, x.now.Add(time.Hour))
	r.BodyDigest = body
	req := &simRequest{node: node, request: r}
	x.requests[r.ID] = req
	x.ids = append(x.ids, r.ID)
	x.send(node, Admit{Request: r})
	if req.refused == nil {
		x.send(node, Place{Request: r.ID, PromptTokens: r.PromptTokens})
	}
	return req
}

// step crashes the servers that run the poison request and advances the time by
// 100 ms. The body digest "bad" is the input of the poison request's
// fingerprint; unrelated requests have other digests.
func (x *crashSimulation) step() {
	for _, id := range x.ids {
		if req := x.requests[id]; req != nil && req.dispatch != nil && req.request.BodyDigest == "bad" {
			x.crash(req.dispatch.Server)
		}
	}
	x.now = x.now.Add(100 * time.Millisecond)
	for _, node := range x.random.Perm(len(x.nodes)) {
		x.send(node, Tick{})
	}
}

// finishRunning completes the requests that are running.
func (x *crashSimulation) finishRunning() {
	for _, id := range x.ids {
		if req := x.requests[id]; req != nil && req.dispatch != nil {
			done := AttemptDone{Request: id, Attempt: req.dispatch.Attempt, Outcome: Succeeded}
			req.dispatch = nil
			x.send(req.node, done)
		}
	}
}

// runSequence runs one poison request, whose caller repeats it at the next node
// after each refusal, among unrelated requests. Each repeat has a request ID of
// its own and the body digest "bad", and therefore the same fingerprint. It
// returns the highest number of unrelated requests that a node has quarantined.
func (x *crashSimulation) runSequence(t *testing.T) (unrelatedQuarantined int) {
	for i := range 3 * len(x.nodes) {
		x.start(i%len(x.nodes), fmt.Sprintf("good%d", i), fmt.Sprintf("good%d", i))
	}
	for repeat := range 12 {
		req := x.start(repeat%len(x.nodes), fmt.Sprintf("bad%d", repeat), "bad")
		for range 100 {
			if req.refused != nil {
				break
			}
			x.step()
		}
		if req.refused == nil {
			t.Fatalf("repeat %d: no refusal", repeat)
		}
		if repeat > 0 && (req.admitted || req.refused.Code != code.Quarantined) {
			t.Fatalf("repeat %d: admitted %v, refused with %v", repeat, req.admitted, req.refused)
		}
	}
	for range 100 {
		x.finishRunning()
		x.step()
	}
	for _, req := range x.requests {
		t.Fatalf("request %s did not finish", req.request.ID)
	}
	for _, node := range x.nodes {
		_, quarantined := node.quarantine.Counts()
		unrelatedQuarantined = max(unrelatedQuarantined, quarantined-1)
	}
	return unrelatedQuarantined
}

// TestServersLostPerPoisonRequest guards against a poison request that crashes
// more than two servers, and against a quarantine of unrelated requests that ran
// on the crashed servers.
func TestServersLostPerPoisonRequest(t *testing.T) {
	for _, nodes := range []int{1, 3, 7} {
		quarantined, unrelatedRequests := 0, 0
		for seed := range uint64(50) {
			x := &crashSimulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: testStart, requests: map[request.ID]*simRequest{}}
			for node := range nodes {
				x.nodes = append(x.nodes, newState(t, seed*100+uint64(node), vms(20, 0, 0), rulesFor(1, "least-load")))
			}
			quarantined += x.runSequence(t)
			unrelatedRequests += x.unrelatedRequests
			if len(x.crashedServers) > 2 {
				t.Errorf("%d nodes, seed %d: crashed servers %v, want at most two", nodes, seed, x.crashedServers)
			}
		}
		t.Logf("%d nodes, 50 sequences: %d unrelated requests on crashed servers, %d quarantined", nodes, unrelatedRequests, quarantined)
		if quarantined > 0 || unrelatedRequests == 0 {
			t.Errorf("%d nodes: %d unrelated requests on crashed servers, %d quarantined", nodes, unrelatedRequests, quarantined)
		}
	}
}

// TestSuspectsRunApart guards against two suspects on one server, whose crash
// could be attributed to neither, and against a second run of a suspect that is
// running.
func TestSuspectsRunApart(t *testing.T) {
	s := newState(t, 1, vms(20, 0, 0), rulesFor(1, ""))
	var entries []quarantine.Entry
	for i := range 3 {
		r := completion(fmt.Sprint(i), 0, time.Time{})
		entries = append(entries, quarantine.Entry{Fingerprint: quarantine.FingerprintOf(organisation(0), r.Route, r.BodyDigest), Kind: quarantine.Suspect, ExpiresAt: testStart.Add(time.Minute)})
	}
	s.Handle(testStart, QuarantineSeen{Entries: entries})
	used := map[fleet.ServerID]bool{}
	for i := range 3 {
		d, ok := admitAndPlace(t, s, testStart, completion(fmt.Sprint(i), 0, time.Time{})).(Dispatch)
		if !ok || used[d.Server] {
			t.Fatalf("suspect %d: %+v, used %v", i, d, used)
		}
		used[d.Server] = true
	}
	again := completion("again", 0, time.Time{})
	again.BodyDigest = "0"
	if d := admitAndPlace(t, s, testStart, again); d != nil {
		t.Errorf("second run of a running suspect: %+v", d)
	}
}

// TestSuspectWaits guards against two suspects on the only available server, also
// after the isolation timeout, against a suspect that waits for a free server
// longer than the isolation timeout, and against a suspicion that stays after a
// successful run.
func TestSuspectWaits(t *testing.T) {
	list := vms(2, 0, 0)
	list[1].Leaving = true
	ids := []string{"a", "b"}
	if suspectWeight(fingerprintOf("a"), fleet.ServerID(list[0].ID)) < suspectWeight(fingerprintOf("b"), fleet.ServerID(list[0].ID)) {
		ids = []string{"b", "a"}
	}
	prepare := func() *State {
		s := newState(t, 1, list, rulesFor(1, ""))
		for _, id := range ids {
			e := quarantine.Entry{Fingerprint: fingerprintOf(id), Kind: quarantine.Suspect, ExpiresAt: testStart.Add(time.Minute)}
			s.Handle(testStart, QuarantineSeen{Entries: []quarantine.Entry{e}})
		}
		if d := admitAndPlace(t, s, testStart, completion(ids[1], 0, time.Time{})); d != nil {
			t.Fatalf("second suspect: %+v", d)
		}
		return s
	}
	last := request.ID(ids[1])
	late := testStart.Add(isolationTimeout)
	if _, ok := replyTo(t, prepare().Handle(late, Tick{}), last).(Dispatch); !ok {
		t.Error("second suspect still waits after the isolation timeout")
	}
	s := prepare()
	first := completion(ids[0], 0, time.Time{})
	d := admitAndPlace(t, s, testStart, first).(Dispatch)
	connect(t, s, testStart, first.ID, d)
	if d := replyTo(t, s.Handle(late, Tick{}), last); d != nil {
		t.Fatalf("second suspect on the server of the first one: %+v", d)
	}
	out := s.Handle(late, AttemptDone{Request: first.ID, Attempt: d.Attempt, Outcome: Succeeded})
	if _, ok := replyTo(t, out, last).(Dispatch); !ok || len(out.Commands) != 1 {
		t.Errorf("after a successful run of the first suspect: %+v", out)
	}
}

func fingerprintOf(body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(organisation(0), completion("", 0, time.Time{}).Route, body)
}

// TestQuarantineSeenIsBounded guards against a peer that fills the quarantine
// list with one message.
func TestQuarantineSeenIsBounded(t *testing.T) {
	s := newState(t, 1, nil, rulesFor(1, ""))
	var entries []quarantine.Entry
	for i := range 2 * quarantine.MaxDigestEntries {
		entries = append(entries, quarantine.Entry{Fingerprint: quarantine.Fingerprint{byte(i)}, Kind: quarantine.Suspect, ExpiresAt: testStart.Add(time.Minute)})
	}
	s.Handle(testStart, QuarantineSeen{Entries: entries})
	if suspects, _ := s.quarantine.Counts(); suspects != quarantine.MaxDigestEntries {
		t.Errorf("%d suspects from one message", suspects)
	}
}

// TestSuspectWaitsForPropagation guards against a suspect that runs again before
// the other nodes can have learned of it, possibly on the same server as a suspect of
// another node.
func TestSuspectWaitsForPropagation(t *testing.T) {
	s := newState(t, 1, vms(3, 0, 0), rulesFor(1, "least-load"))
	s.options.Agents = true
	r := completion("r1", 0, testStart.Add(time.Minute))
	s.Handle(testStart, Admit{Request: r})
	out := s.Handle(testStart, Place{Request: r.ID, PromptTokens: r.PromptTokens})
	first := out.Replies[0].Decision.(Dispatch)
	s.Handle(testStart, Connected{Request: r.ID, Attempt: first.Attempt})
	s.Handle(testStart, AttemptDone{Request: r.ID, Attempt: first.Attempt, Outcome: Lost, ConnectionBroken: true})
	early := s.Handle(testStart.Add(suspicionPropagationTime-time.Millisecond), Tick{})
	if len(early.Replies) != 0 {
		t.Errorf("replies %+v before the propagation time has passed, want none", early.Replies)
	}
	late := s.Handle(testStart.Add(suspicionPropagationTime), Tick{})
	if len(late.Replies) != 1 {
		t.Errorf("replies %+v after the propagation time, want a dispatch", late.Replies)
	}
}

// TestUrgentGossipReachesAll guards against a change, such as a cleared suspicion, that
// some nodes never learn, because each node tells a few random peers once.
func TestUrgentGossipReachesAll(t *testing.T) {
	for _, count := range []int{7, 40} {
		for seed := range 20 {
			if told := gossipCoverage(t, count, uint64(seed)); told != count {
				t.Errorf("%d nodes, seed %d: %d learned of the change", count, seed, told)
			}
		}
	}
}

// gossipCoverage returns the number of nodes that learn of a suspicion of the first one.
func gossipCoverage(t *testing.T, count int, seed uint64) int {
	var list []VM
	nodes := map[string]*State{}
	for i := range count {
		list = append(list, VM{ID: fmt.Sprintf("n%02d", i), Role: fleet.RoleEntryVM, PeerAddress: fmt.Sprintf("n%02d", i)})
	}
	for i, vm := range list {
		s, err := New(Options{Node: vm.ID, Charts: chart.Embedded(), Seed: seed<<8 + uint64(i), Agents: true}, testStart)
		if err != nil {
			t.Fatal(err)
		}
		s.Handle(testStart, VMList{VMs: list})
		nodes[vm.ID] = s
	}
	entry := quarantine.Entry{Fingerprint: quarantine.Fingerprint{1}, Kind: quarantine.Suspect, ExpiresAt: testStart.Add(time.Minute)}
	pending := []SendDigest{{Targets: []PeerTarget{{Node: "n00"}}, Digest: membership.Digest{Node: "n01", Quarantine: quarantineStatuses(testStart, []quarantine.Entry{entry})}}}
	for len(pending) > 0 {
		digest := pending[0]
		pending = pending[1:]
		for _, target := range digest.Targets {
			for _, command := range nodes[target.Node].Handle(testStart, PeerDigest{Digest: digest.Digest}).Commands {
				if next, ok := command.(SendDigest); ok {
					pending = append(pending, next)
				}
			}
		}
	}
	told := 0
	for _, s := range nodes {
		if s.quarantine.IsSuspect(entry.Fingerprint) {
			told++
		}
	}
	return told
}

// TestQuarantineChangesBatched guards against changes of suspects that are lost during a series of
// crashes, because the node has more messages to send than its queue holds.
func TestQuarantineChangesBatched(t *testing.T) {
	var list []VM
	for i := range 12 {
		list = append(list, VM{ID: fmt.Sprintf("n%02d", i), Role: fleet.RoleEntryVM, PeerAddress: fmt.Sprintf("n%02d", i)})
	}
	s, err := New(Options{Node: "n00", Charts: chart.Embedded(), Seed: 1, Agents: true}, testStart)
	if err != nil {
		t.Fatal(err)
	}
	s.Handle(testStart, VMList{VMs: list})
	const count = 2*quarantine.MaxDigestEntries + 1
	told := map[quarantine.Fingerprint]bool{}
	messages := 0
	handle := func(now time.Time, m Message) {
		for _, command := range s.Handle(now, m).Commands {
			send, ok := command.(SendDigest)
			if !ok || len(send.Digest.Quarantine) == 0 {
				continue
			}
			messages++
			for _, status := range send.Digest.Quarantine {
				told[status.Fingerprint] = true
			}
		}
	}
	for i := range count {
		entry := quarantine.Entry{Fingerprint: quarantine.Fingerprint{byte(i), byte(i >> 8)}, Kind: quarantine.Suspect, ExpiresAt: testStart.Add(time.Minute)}
		handle(testStart.Add(time.Duration(i)*time.Microsecond), QuarantineSeen{Entries: []quarantine.Entry{entry}})
	}
	for i := range 5 {
		handle(testStart.Add(time.Duration(i+1)*50*time.Millisecond), Tick{})
	}
	if len(told) != count || messages > 5 {
		t.Errorf("%d of %d suspects in %d messages", len(told), count, messages)
	}
}
