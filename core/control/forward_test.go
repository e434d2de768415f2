package control

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/membership"
	"tanagerspread/core/placement"
	"tanagerspread/core/request"
	"tanagerspread/core/retry"
)

const testWeightsLimit = 11 * time.Second

// forwardRules returns rules with one route of each kind.
func forwardRules() *config.Rules {
	route := func(name string, kind config.RouteKind, resumable bool, service string, attempts int) *config.Route {
		return &config.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, AuthExempt: true,
			Split: []config.WeightedService{{Service: service, Weight: 1}}, Timeout: 10 * time.Second, FirstPartTarget: time.Second, MaxAttempts: attempts,
		}
	}
	return &config.Rules{
		Routes: config.NewRouteTable([]*config.Route{
			route("lookup", config.Idempotent, false, "desk", 2),
			route("charge", config.NonIdempotent, false, "desk", 1),
			route("review", config.Streaming, true, "models", 2),
		}),
		Pools: map[string]config.Pool{
			"desk":   {MaxConnections: 100, Role: fleet.RoleService},
			"models": {MaxConnections: 100, Role: fleet.RoleEngine, TokenBytes: 18432, CacheTokens: 60000},
		},
		Policy: config.Policy{Placement: placement.NameAffinity},
	}
}

func forwardServers(count int, weights int) []VM {
	var out []VM
	for i := range count {
		out = append(out,
			VM{ID: fmt.Sprintf("d%d", i), Address: fmt.Sprintf("d%d", i), Role: fleet.RoleService, Serves: "desk", MaxConcurrency: 6},
			VM{ID: fmt.Sprintf("m%d", i), Address: fmt.Sprintf("m%d", i), Role: fleet.RoleEngine, Serves: "models", Model: "m", Weights: weights, MaxConcurrency: 64})
	}
	return out
}

// forwardState returns the state of a node that has run for a minute.
func forwardState(t failer, servers int) *State {
	t.Helper()
	return forwardStateSince(t, servers, testStart.Add(-time.Minute))
}

// forwardStateSince returns the state of a node that started at the given time.
func forwardStateSince(t failer, servers int, start time.Time) *State {
	t.Helper()
	s, err := New(Options{
		Node: "n1", Charts: chart.Deployed(), Seed: 1, Unfenced: true, Forwarding: true, OutdatedWeightsLimit: testWeightsLimit,
		RepeatLimit: retry.RepeatLimit{Window: 10 * time.Second, Ratio: 0.2, BaseAllowance: 10},
		Checker:     invariant.NewChecker(func(v *invariant.Violation) { t.Fatal(v) }),
	}, start)
	if err != nil {
		t.Fatal(err)
	}
	s.Handle(testStart, Configure{Version: 1, Rules: forwardRules()})
	s.Handle(testStart, VMList{VMs: forwardServers(servers, 1)})
	return s
}

// placeCall admits and places a call and returns the last decision, or nil when
// the call is queued.
func placeCall(s *State, now time.Time, id request.ID, route string, parts ...request.Part) Decision {
	call := &request.Call{Host: "h", Path: "/" + route + "/x", Parts: parts}
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	out := s.Handle(now, Admit{Request: request.Request{
		ID: id, Route: request.Route{Kind: request.Forward}, Deadline: now.Add(5 * time.Second), Call: call, BodyDigest: string(id),
	}})
	if _, ok := out.Replies[0].Decision.(Admitted); !ok {
		return out.Replies[0].Decision
	}
	return handleFirst(s, now, Place{Request: id, PromptTokens: tokens})
}

func handleFirst(s *State, now time.Time, m Message) Decision {
	out := s.Handle(now, m)
	if len(out.Replies) == 0 {
		return nil
	}
	return out.Replies[0].Decision
}

// TestNoCallOnOldWeightsAfterLimit guards against a call that waits at a server
// and therefore starts on old weights after the time at which all servers must
// have the new ones.
func TestNoCallOnOldWeightsAfterLimit(t *testing.T) {
	s := forwardState(t, 1)
	named := testStart.Add(time.Second)
	s.Handle(named, WeightsNamed{Model: "m", Weights: 2})
	if _, ok := placeCall(s, named.Add(testWeightsLimit-maxStartWait-time.Second), "a", "review").(Dispatch); !ok {
		t.Error("a call before the limit is not dispatched")
	}
	if got := placeCall(s, named.Add(testWeightsLimit-maxStartWait), "b", "review"); got != nil {
		t.Errorf("a call that may start after the limit: got %+v, want it queued", got)
	}
}

// TestLastAttemptWaitsUntilDeadline guards against a time-out of the last attempt
// before the deadline, although no other server may get the call.
func TestLastAttemptWaitsUntilDeadline(t *testing.T) {
	s := forwardState(t, 2)
	first, ok := placeCall(s, testStart, "a", "review").(Dispatch)
	if !ok || first.HeaderTimeout >= 5*time.Second {
		t.Fatalf("first attempt: got %+v, want a header timeout below 5 s", first)
	}
	handleFirst(s, testStart, Connected{Request: "a", Attempt: first.Attempt})
	later := testStart.Add(2 * time.Second)
	second, ok := handleFirst(s, later, AttemptDone{Request: "a", Attempt: first.Attempt, Outcome: Lost}).(Dispatch)
	if !ok || second.HeaderTimeout != 3*time.Second || second.GapTimeout != 3*time.Second {
		t.Errorf("last attempt with 3 s left: got %+v, want time-outs of 3 s", second)
	}
}

// TestAttemptsLimited guards against a call that runs at more servers than its route
// allows.
func TestAttemptsLimited(t *testing.T) {
	s := forwardState(t, 4)
	now := testStart
	decision := placeCall(s, now, "a", "review")
	for attempt := range 2 {
		dispatch, ok := decision.(Dispatch)
		if !ok {
			t.Fatalf("attempt %d: got %+v", attempt+1, decision)
		}
		handleFirst(s, now, Connected{Request: "a", Attempt: dispatch.Attempt})
		now = now.Add(100 * time.Millisecond)
		decision = handleFirst(s, now, AttemptDone{Request: "a", Attempt: dispatch.Attempt, Outcome: Lost})
	}
	if _, refused := decision.(Refusal); !refused {
		t.Errorf("after two attempts of two: got %+v", decision)
	}
}

// TestBusyEngineHeaderTimeout guards against a prompt that a second engine
// computes again, because the first one has a long queue and appears
// unreachable.
func TestBusyEngineHeaderTimeout(t *testing.T) {
	s := forwardState(t, 2)
	prompt := []request.Part{{ID: "shared", Tokens: 13000}, {ID: "own", Tokens: 4000}}
	idle, ok := placeCall(s, testStart, "a", "lookup").(Dispatch)
	if !ok || idle.HeaderTimeout != 4*time.Second {
		t.Errorf("a call without a prompt: got %+v, want a header timeout of 4 s", idle)
	}
	busy, ok := placeCall(s, testStart, "b", "review", prompt...).(Dispatch)
	if !ok || busy.HeaderTimeout <= 4*time.Second || busy.HeaderTimeout > 5*time.Second {
		t.Errorf("a prompt of 17000 tokens with 5 s left: got %+v, want a header timeout above 4 s and up to 5 s", busy)
	}
}

// TestRestartedEngineWeights guards against an engine that is never ordered to
// load new weights, because the node still has the newer weights that the engine
// reported before its restart.
func TestRestartedEngineWeights(t *testing.T) {
	listed := func(s *State, weights int) int {
		vms := forwardServers(1, weights)
		s.Handle(testStart, VMList{VMs: vms})
		return s.servers["m0"].Weights
	}
	refuse := func(s *State, id request.ID, reported int) int {
		dispatch, ok := placeCall(s, testStart, id, "review").(Dispatch)
		if !ok {
			t.Fatalf("call %s is not dispatched", id)
		}
		s.Handle(testStart, AttemptDone{Request: id, Attempt: dispatch.Attempt, Outcome: Rejected, OtherServer: true, Weights: reported})
		return s.servers["m0"].Weights
	}
	s := forwardState(t, 1)
	if got := refuse(s, "a", 3); got != 3 {
		t.Fatalf("weights %d after a refusal that reports 3", got)
	}
	if got := listed(s, 1); got != 3 {
		t.Errorf("weights %d after an outdated VM list entry, want 3", got)
	}
	if got := refuse(s, "b", 1); got != 1 {
		t.Errorf("weights %d after a refusal by the restarted engine, want 1", got)
	}
	if listed(s, 3) != 3 || listed(s, 1) != 1 {
		t.Error("the VM list entry of a restarted engine is ignored")
	}
}

// TestEventFeedFollowersBounded guards against more event feeds at a store than
// it serves, against a store whose feed no node follows, and against a node that
// copies from a node that copies itself.
func TestEventFeedFollowersBounded(t *testing.T) {
	const nodes, limit = 40, 9
	var peers []*membership.Peer
	for i := range nodes {
		peers = append(peers, &membership.Peer{ID: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("n%d", i)})
	}
	for target := range 20 {
		name := fmt.Sprintf("store-%d", target)
		following := map[string]bool{}
		copies := map[string]string{}
		for i, peer := range peers {
			s := &State{options: Options{Node: peer.ID}}
			others := append(append([]*membership.Peer(nil), peers[:i]...), peers[i+1:]...)
			if source := s.followSource(name, limit, others); source.Node == "" {
				following[peer.ID] = true
			} else {
				copies[peer.ID] = source.Node
			}
		}
		if len(following) != limit {
			t.Errorf("%s has %d followers, want %d", name, len(following), limit)
		}
		for node, source := range copies {
			if !following[source] {
				t.Errorf("%s: %s copies from %s, which does not follow the feed", name, node, source)
			}
		}
	}
}

// TestNewerWeightsKeepLimit guards against a time limit for old weights that
// restarts when further weights are named.
func TestNewerWeightsKeepLimit(t *testing.T) {
	s := forwardState(t, 1)
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	s.Handle(testStart.Add(5*time.Second), WeightsNamed{Model: "m", Weights: 3})
	if got := placeCall(s, testStart.Add(testWeightsLimit-maxStartWait), "a", "review"); got != nil {
		t.Errorf("a call to the oldest weights: got %+v, want it queued", got)
	}
}

// TestOldPartsFreed guards against freeing cached parts of weights in use, and
// against cached parts of old weights that are never freed.
func TestOldPartsFreed(t *testing.T) {
	s := forwardState(t, 2)
	rules := forwardRules()
	rules.CacheStores = []config.CacheStore{{Name: "kept", Address: "kept", CapacityTokens: 1000, Managed: true}}
	s.Handle(testStart, Configure{Version: 2, Rules: rules})
	now := testStart
	reportParts := func() {
		s.Handle(now, CacheEvents{Target: "kept", Epoch: 1, AskedAt: now, ReceivedAt: now, Events: []PartEvent{
			{Added: true, Salt: placement.Salt("m", 1, ""), ID: "old", Tokens: 10},
			{Added: true, Salt: placement.Salt("m", 2, ""), ID: "new", Tokens: 10},
		}})
	}
	freed := func() []placement.PartKey {
		reportParts()
		s.output.Commands = nil
		s.freeParts(now)
		for _, command := range s.output.Commands {
			if free, ok := command.(FreeParts); ok {
				return free.Parts
			}
		}
		return nil
	}
	reportParts()
	now = now.Add(fleet.SaveDelayAfterStart)
	s.Handle(now, WeightsNamed{Model: "m", Weights: 2})
	if got := freed(); got != nil {
		t.Errorf("freed %v while engines have old weights", got)
	}
	s.Handle(now, VMList{VMs: forwardServers(2, 2)})
	now = now.Add(freeDelay - time.Second)
	if got := freed(); got != nil {
		t.Errorf("freed %v while fetches may be in flight", got)
	}
	now = now.Add(time.Second)
	if got := freed(); len(got) != 1 || got[0].ID != "old" {
		t.Errorf("freed %v, want the old part", got)
	}
}

// TestRepeatedIDRefused guards against a second call with the id of one in progress that
// replaces it, so that the place of the first one at its server is never given back.
func TestRepeatedIDRefused(t *testing.T) {
	s := forwardState(t, 1)
	if _, ok := placeCall(s, testStart, "c", "lookup").(Dispatch); !ok {
		t.Fatal("the first call is not sent")
	}
	refusal, ok := placeCall(s, testStart, "c", "lookup").(Refusal)
	if !ok || refusal.Err.Code != code.RequestInProgress {
		t.Errorf("the second call got %v", refusal)
	}
	s.Handle(testStart, Abandon{Request: "c"})
	for _, server := range s.serverList {
		if server.InFlight != 0 {
			t.Errorf("%d calls in flight after the only one has ended", server.InFlight)
		}
	}
}
