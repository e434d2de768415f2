package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
)

// job is one request on one node of the simulated fleet.
type job struct {
	node     int
	request  request.Request
	dispatch *Dispatch
	admitted bool
	refused  *code.Error
}

// crashes simulates nodes that share servers and exchange what they publish.
type crashes struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	nodes  []*State
	jobs   map[request.ID]*job
	order  []request.ID
	lost   []fleet.ServerID
	// neighbours counts the innocent requests on crashed servers.
	neighbours int
}

func (x *crashes) send(node int, m Message) {
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
		if j := x.jobs[reply.To]; j != nil {
			x.replied(j, reply.Decision)
		}
	}
}

func (x *crashes) replied(j *job, decision Decision) {
	switch d := decision.(type) {
	case Admitted:
		j.admitted = true
	case Dispatch:
		x.send(j.node, Connected{Request: j.request.ID, Attempt: d.Attempt})
		j.dispatch = &d
	case Refusal:
		j.refused = d.Err
		x.forget(j)
	case Deliver:
		x.forget(j)
	}
}

func (x *crashes) forget(j *job) {
	delete(x.jobs, j.request.ID)
}

// crash ends every attempt at the server, in a random order of the nodes.
func (x *crashes) crash(server fleet.ServerID) {
	x.lost = append(x.lost, server)
	var hit []*job
	for _, id := range x.order {
		if j := x.jobs[id]; j != nil && j.dispatch != nil && j.dispatch.Server == server {
			hit = append(hit, j)
		}
	}
	x.neighbours += len(hit) - 1
	x.random.Shuffle(len(hit), func(i, k int) { hit[i], hit[k] = hit[k], hit[i] })
	for _, j := range hit {
		done := AttemptDone{Request: j.request.ID, Attempt: j.dispatch.Attempt, Outcome: Lost, Died: true}
		j.dispatch = nil
		x.send(j.node, done)
	}
}

func (x *crashes) start(node int, id, body string) *job {
	r := completion(id, 0, x.now.Add(time.Hour))
	r.BodyDigest = body
	j := &job{node: node, request: r}
	x.jobs[r.ID] = j
	x.order = append(x.order, r.ID)
	x.send(node, Admit{Request: r})
	if j.refused == nil {
		x.send(node, Place{Request: r.ID, PromptTokens: r.PromptTokens})
	}
	return j
}

// step crashes the servers that run a bad request and lets time pass.
func (x *crashes) step() {
	for _, id := range x.order {
		if j := x.jobs[id]; j != nil && j.dispatch != nil && j.request.BodyDigest == "bad" {
			x.crash(j.dispatch.Server)
		}
	}
	x.now = x.now.Add(100 * time.Millisecond)
	for _, node := range x.random.Perm(len(x.nodes)) {
		x.send(node, Tick{})
	}
}

// finish ends the innocent requests that run.
func (x *crashes) finish() {
	for _, id := range x.order {
		if j := x.jobs[id]; j != nil && j.dispatch != nil {
			done := AttemptDone{Request: id, Attempt: j.dispatch.Attempt, Outcome: Succeeded}
			j.dispatch = nil
			x.send(j.node, done)
		}
	}
}

// sequence runs one bad request, whose caller repeats it at the next node
// after each refusal, among innocent neighbours.
func (x *crashes) sequence(t *testing.T) (innocentBlamed int) {
	for i := range 3 * len(x.nodes) {
		x.start(i%len(x.nodes), fmt.Sprintf("good%d", i), fmt.Sprintf("good%d", i))
	}
	for repeat := range 12 {
		j := x.start(repeat%len(x.nodes), fmt.Sprintf("bad%d", repeat), "bad")
		for range 100 {
			if j.refused != nil {
				break
			}
			x.step()
		}
		if j.refused == nil {
			t.Fatalf("repeat %d: no refusal", repeat)
		}
		if repeat > 0 && (j.admitted || j.refused.Code != code.Quarantined) {
			t.Fatalf("repeat %d: admitted %v, refused with %v", repeat, j.admitted, j.refused)
		}
	}
	for range 100 {
		x.finish()
		x.step()
	}
	for _, j := range x.jobs {
		t.Fatalf("request %s did not end", j.request.ID)
	}
	for _, node := range x.nodes {
		_, quarantined := node.quarantine.Counts()
		innocentBlamed = max(innocentBlamed, quarantined-1)
	}
	return innocentBlamed
}

// TestServersLostPerBadRequest guards against a crashing request that takes
// down server after server, and against blame for its neighbours.
func TestServersLostPerBadRequest(t *testing.T) {
	for _, nodes := range []int{1, 3, 7} {
		blamed, neighbours := 0, 0
		for seed := range uint64(50) {
			x := &crashes{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: testStart, jobs: map[request.ID]*job{}}
			for node := range nodes {
				x.nodes = append(x.nodes, newState(t, seed*100+uint64(node), vms(20, 0, 0), rulesFor(1, "least-load")))
			}
			blamed += x.sequence(t)
			neighbours += x.neighbours
			if len(x.lost) > 2 {
				t.Errorf("%d nodes, seed %d: lost servers %v", nodes, seed, x.lost)
			}
		}
		t.Logf("%d nodes, 50 sequences: %d innocent requests on crashed servers, %d quarantined", nodes, neighbours, blamed)
		if blamed > 0 || neighbours == 0 {
			t.Errorf("%d nodes: %d innocent requests on crashed servers, %d quarantined", nodes, neighbours, blamed)
		}
	}
}

// TestSuspectsRunApart guards against two suspects on one server, whose death
// would name neither.
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
		d, ok := begin(t, s, testStart, completion(fmt.Sprint(i), 0, time.Time{})).(Dispatch)
		if !ok || used[d.Server] {
			t.Fatalf("suspect %d: %+v, used %v", i, d, used)
		}
		used[d.Server] = true
	}
	again := completion("again", 0, time.Time{})
	again.BodyDigest = "0"
	if d := begin(t, s, testStart, again); d != nil {
		t.Errorf("second run of a running suspect: %+v", d)
	}
}

// TestSuspectWaits guards against two suspects on the only server, against a
// suspect that waits without limit, and against suspicion that outlasts a
// good run.
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
		if d := begin(t, s, testStart, completion(ids[1], 0, time.Time{})); d != nil {
			t.Fatalf("second suspect: %+v", d)
		}
		return s
	}
	last := request.ID(ids[1])
	late := testStart.Add(isolationWait)
	if _, ok := answer(t, prepare().Handle(late, Tick{}), last).(Dispatch); !ok {
		t.Error("second suspect waits without limit")
	}
	s := prepare()
	first := completion(ids[0], 0, time.Time{})
	d := begin(t, s, testStart, first).(Dispatch)
	connect(t, s, testStart, first.ID, d)
	if d := answer(t, s.Handle(late, Tick{}), last); d != nil {
		t.Fatalf("second suspect beside the first one: %+v", d)
	}
	out := s.Handle(late, AttemptDone{Request: first.ID, Attempt: d.Attempt, Outcome: Succeeded})
	if _, ok := answer(t, out, last).(Dispatch); !ok || len(out.Commands) != 1 {
		t.Errorf("after a good run of the first suspect: %+v", out)
	}
}

func fingerprintOf(body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(organisation(0), completion("", 0, time.Time{}).Route, body)
}

// TestSeenIsBounded guards against a peer that fills the list with one message.
func TestSeenIsBounded(t *testing.T) {
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

// TestSuspicionSettles guards against a suspect that runs again before other
// nodes can know of it, where it could meet a suspect of another node.
func TestSuspicionSettles(t *testing.T) {
	s := newState(t, 1, vms(3, 0, 0), rulesFor(1, "least-load"))
	s.options.Agents = true
	r := completion("r1", 0, testStart.Add(time.Minute))
	s.Handle(testStart, Admit{Request: r})
	out := s.Handle(testStart, Place{Request: r.ID, PromptTokens: r.PromptTokens})
	first := out.Replies[0].Decision.(Dispatch)
	s.Handle(testStart, Connected{Request: r.ID, Attempt: first.Attempt})
	s.Handle(testStart, AttemptDone{Request: r.ID, Attempt: first.Attempt, Outcome: Lost, Died: true})
	early := s.Handle(testStart.Add(suspicionSettles-time.Millisecond), Tick{})
	if len(early.Replies) != 0 {
		t.Errorf("%+v before the suspicion settled", early.Replies)
	}
	late := s.Handle(testStart.Add(suspicionSettles), Tick{})
	if len(late.Replies) != 1 {
		t.Errorf("replies %+v after the suspicion settled, want a dispatch", late.Replies)
	}
}
