package control

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/cachekey"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/request"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const testSlots = 4

// failer is implemented by tests, benchmarks and rapid checks.
type failer interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

func organisation(i int) request.Organisation {
	return request.Organisation(fmt.Sprintf("org-%04d", i))
}

func token(i int) request.Digest {
	return request.Digest{byte(i), byte(i >> 8), 1}
}

// rulesFor returns rules with n organisations, one model and one service.
func rulesFor(n int, policy string) *config.Rules {
	rules := &config.Rules{
		Organisations: map[request.Organisation]config.Organisation{},
		Tokens:        map[request.Digest]config.Token{},
		Classes: map[request.Class]config.Class{
			"urgent": {Priority: 0, QueueLimit: 5},
			"review": {Priority: 1, QueueLimit: 3},
		},
		Models:   map[string]config.Model{"m": {Weights: 1, Class: "urgent"}},
		Services: map[string]config.Service{"booking": {NonIdempotent: true, Class: "urgent"}},
		Policy:   config.Policy{Placement: policy, LinkPrice: time.Millisecond},
	}
	for i := range n {
		rules.Organisations[organisation(i)] = config.Organisation{Rate: 1000, Burst: 1000, TokenRate: 1e6, TokenBurst: 1e6}
		rules.Tokens[token(i)] = config.Token{Organisation: organisation(i)}
	}
	return rules
}

func vms(engines, services, stores int) []VM {
	var out []VM
	add := func(count int, role fleet.Role, serves string) {
		for i := range count {
			id := fmt.Sprintf("%s-%04d", role, i)
			out = append(out, VM{ID: id, Address: id, Role: role, Serves: serves, Weights: 1})
		}
	}
	add(engines, fleet.RoleEngine, "m")
	add(services, fleet.RoleService, "booking")
	add(stores, fleet.RoleStore, "")
	return out
}

func newState(t failer, seed uint64, list []VM, rules *config.Rules) *State {
	t.Helper()
	s, err := New(Options{
		Node: "n1", Charts: chart.Embedded(), Seed: seed, ServerSlots: testSlots,
		Checker: invariant.NewChecker(func(v *invariant.Violation) { panic(v) }),
	}, testStart)
	if err != nil {
		t.Fatal(err)
	}
	s.Handle(testStart, Configure{Version: 1, Rules: rules})
	s.Handle(testStart, VMList{VMs: list})
	return s
}

func completion(id string, org int, deadline time.Time) request.Request {
	return request.Request{
		ID: request.ID(id), Route: request.Route{Kind: request.Completion, Name: "m"},
		TokenDigest: token(org), BodyDigest: id, PromptTokens: 4000, Deadline: deadline,
	}
}

// replyTo returns the only reply to the request, or nil when there is none.
func replyTo(t failer, out Output, id request.ID) Decision {
	t.Helper()
	var decision Decision
	for _, reply := range out.Replies {
		if reply.To != id {
			continue
		}
		if decision != nil {
			t.Fatalf("two replies to %s: %+v and %+v", id, decision, reply.Decision)
		}
		decision = reply.Decision
	}
	return decision
}

// admitAndPlace admits and places a request and returns the reply to Place.
func admitAndPlace(t failer, s *State, now time.Time, r request.Request, prefix ...cachekey.Key) Decision {
	t.Helper()
	if d := replyTo(t, s.Handle(now, Admit{Request: r}), r.ID); d != nil {
		if _, ok := d.(Admitted); !ok {
			return d
		}
	}
	return replyTo(t, s.Handle(now, Place{Request: r.ID, Prefix: prefix, PromptTokens: r.PromptTokens}), r.ID)
}

// connect sends the attempt of a dispatch.
func connect(t failer, s *State, now time.Time, id request.ID, d Dispatch) {
	t.Helper()
	if got := replyTo(t, s.Handle(now, Connected{Request: id, Attempt: d.Attempt}), id); got != (Proceed{}) {
		t.Fatalf("request %s: connected: %+v", id, got)
	}
}
