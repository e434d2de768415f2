package control

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/request"
)

// coldEngines returns the entries of engines that are cold for three seconds, and of
// nodes.
func coldEngines(engines, nodes int, revision uint64) []VM {
	var list []VM
	for i := range engines {
		id := fmt.Sprintf("e-%d", i)
		list = append(list, VM{
			ID: id, Address: id, Domain: "a", Role: fleet.RoleEngine, Serves: "models", Model: "m", Weights: 1, MaxConcurrency: 16,
			ColdFor: 3 * time.Second, Revision: revision,
		})
	}
	for i := range nodes {
		id := fmt.Sprintf("n%d", i)
		list = append(list, VM{ID: id, Address: id, Role: fleet.RoleEntryVM, Domain: "a", PeerAddress: id})
	}
	return list
}

func coldState(t *testing.T, node string, list []VM, now time.Time) *State {
	t.Helper()
	s, err := New(Options{
		Node: node, Domain: "a", Charts: chart.Deployed(), Seed: 1, Unfenced: true, Forwarding: true, ColdOvershoot: 1.5, ColdSlack: 5,
		Checker: invariant.NewChecker(func(v *invariant.Violation) { t.Fatal(v) }),
	}, testStart.Add(-time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	rules := forwardRules()
	pool := rules.Pools["models"]
	pool.ColdRate = 15
	rules.Pools["models"] = pool
	// The servers may be known before the configuration.
	s.Handle(now, VMList{VMs: list})
	s.Handle(now, Configure{Version: 1, Rules: rules})
	return s
}

// TestColdServersPaced guards against a zone of engines that come back cold together and
// fail again because 20 nodes with more calls than these engines bear send as soon as
// they see them.
func TestColdServersPaced(t *testing.T) {
	const nodes, engines = 20, 4
	list := coldEngines(engines, nodes, 7)
	var states []*State
	for i := range nodes {
		states = append(states, coldState(t, fmt.Sprintf("n%d", i), list, testStart.Add(2*time.Second)))
	}
	sent := map[fleet.ServerID][]time.Time{}
	for step := range 500 {
		now := testStart.Add(2*time.Second + time.Duration(step)*5*time.Millisecond)
		for i, s := range states {
			id := request.ID(fmt.Sprintf("%d-%d", i, step))
			d, ok := placeCall(s, now, id, "review").(Dispatch)
			if !ok {
				s.Handle(now, Abandon{Request: id})
				continue
			}
			connect(t, s, now, id, d)
			sent[d.Server] = append(sent[d.Server], now)
			s.Handle(now, AttemptDone{Request: id, Attempt: d.Attempt, Outcome: Succeeded, Answered: true})
		}
	}
	if len(sent) != engines {
		t.Errorf("%d of %d engines got calls", len(sent), engines)
	}
	for id, times := range sent {
		if rate := float64(len(times)) / 2.5; rate < 8 || rate > 16 {
			t.Errorf("engine %s got %.1f calls a second", id, rate)
		}
	}
}

// TestColdEntryReadAgain guards against a cold time that is extended because the same
// entry is read again, and against a server that stays limited after its cold time.
func TestColdEntryReadAgain(t *testing.T) {
	s := coldState(t, "n0", coldEngines(1, 30, 7), testStart)
	server := s.servers["e-0"]
	if !server.Pace.Cold() {
		t.Fatal("the server is not known to be cold")
	}
	s.Handle(testStart.Add(2*time.Second), VMList{VMs: coldEngines(1, 30, 7)})
	s.Handle(testStart.Add(3*time.Second), Tick{})
	if server.Pace.Cold() || !server.Pace.Limited() {
		t.Errorf("state %s after the cold time", server.Pace.State())
	}
}

// TestEvacuatedDomainGetsNothing guards against calls to an evacuated failure domain,
// also on connections that were opened before, and against a wave when it ends.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	list := coldEngines(2, 1, 7)
	for i := range list {
		list[i].ColdFor = 0
	}
	s := coldState(t, "n0", list, testStart)
	d, ok := placeCall(s, testStart, "a", "review").(Dispatch)
	if !ok {
		t.Fatal("the call is not assigned")
	}
	s.Handle(testStart, EvacuationSeen{Domain: "a", Active: true})
	if _, sent := replyTo(t, s.Handle(testStart, Connected{Request: "a", Attempt: d.Attempt}), "a").(Proceed); sent {
		t.Error("a call is sent to the evacuated domain")
	}
	if _, refused := placeCall(s, testStart, "b", "review").(Refusal); !refused {
		t.Error("a call that no domain can take is not refused at once")
	}
	s.Handle(testStart, EvacuationSeen{Domain: "a"})
	if server := s.servers["e-0"]; !server.Pace.Limited() || server.Pace.Cold() {
		t.Errorf("state %s after the evacuation", server.Pace.State())
	}
	if _, ok := placeCall(s, testStart, "c", "review").(Dispatch); !ok {
		t.Error("no call is assigned after the evacuation")
	}
}

// TestEvacuationOutlastsReturnOfStore guards against calls to an evacuated failure domain
// because the key-value service came back from a copy that lacks the request.
func TestEvacuationOutlastsReturnOfStore(t *testing.T) {
	s := coldState(t, "n0", coldEngines(1, 1, 7), testStart)
	server := s.servers["e-0"]
	s.Handle(testStart, StoreEra{Era: 1})
	s.Handle(testStart, EvacuationSeen{Domain: "a", Active: true})
	now := testStart.Add(time.Minute)
	s.Handle(now, StoreEra{Era: 2})
	s.Handle(now, EvacuationSeen{Domain: "a"})
	s.Handle(now.Add(oldEntryTime-time.Second), Tick{})
	if !s.isEvacuated(server) {
		t.Error("the evacuation ends before the operator can write it again")
	}
	s.Handle(now.Add(oldEntryTime), Tick{})
	if s.isEvacuated(server) {
		t.Error("an evacuation that the operator did not write again stays")
	}
}

// TestConnectionOpenedBeforeColdness guards against a cold server that gets one call from
// each node whose connection was opened while the server warmed up, also from nodes that
// do not own it.
func TestConnectionOpenedBeforeColdness(t *testing.T) {
	const nodes = 40
	sent := 0
	for i := range nodes {
		s := coldState(t, fmt.Sprintf("n%d", i), coldEngines(1, nodes, 7), testStart)
		now := testStart.Add(3 * time.Second)
		s.Handle(now, Tick{})
		d, ok := placeCall(s, now, "a", "review").(Dispatch)
		if !ok {
			t.Fatal("the call is not assigned")
		}
		s.Handle(now, VMList{VMs: coldEngines(1, nodes, 8)})
		if _, allowed := replyTo(t, s.Handle(now, Connected{Request: "a", Attempt: d.Attempt}), "a").(Proceed); allowed {
			sent++
		}
	}
	if sent > 27 {
		t.Errorf("%d calls in a second, allowed are 27", sent)
	}
}

// TestColdServerOfCopy guards against a server that is taken for warm because the
// key-value service came back from a copy in which it was not cold yet.
func TestColdServerOfCopy(t *testing.T) {
	s := coldState(t, "n0", coldEngines(1, 30, 7), testStart)
	copied := coldEngines(1, 30, 1<<40+5)
	copied[0].ColdFor, copied[0].FromCopy = 0, true
	now := testStart.Add(time.Second)
	s.Handle(now, VMList{VMs: copied})
	if !s.servers["e-0"].Pace.Cold() {
		t.Error("an older entry ends the cold time")
	}
	again := coldEngines(1, 30, 1<<40+9)
	again[0].ColdFor = 0
	s.Handle(now, VMList{VMs: again})
	if s.servers["e-0"].Pace.Cold() {
		t.Error("the server stays cold although its own entry says that it is not")
	}
}

// TestEvacuationRefusesWaitingCalls guards against calls that wait for the servers of an
// evacuated failure domain until their deadline, although nothing else can take them.
func TestEvacuationRefusesWaitingCalls(t *testing.T) {
	list := coldEngines(1, 1, 7)
	list[0].ColdFor, list[0].MaxConcurrency = 0, 1
	s := coldState(t, "n0", list, testStart)
	if _, ok := placeCall(s, testStart, "a", "review").(Dispatch); !ok {
		t.Fatal("the call is not assigned")
	}
	if decision := placeCall(s, testStart, "b", "review"); decision != nil {
		t.Fatalf("the second call does not wait: %+v", decision)
	}
	s.Handle(testStart, EvacuationSeen{Domain: "other", Active: true})
	if s.queue.Len() != 1 {
		t.Error("the evacuation of another domain refuses the call")
	}
	out := s.Handle(testStart, EvacuationSeen{Domain: "a", Active: true})
	if len(out.Replies) != 1 || out.Replies[0].To != "b" || s.queue.Len() != 0 {
		t.Errorf("replies %+v, %d calls wait", out.Replies, s.queue.Len())
	}
}
