package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func servers(n int) []*fleet.Server {
	var out []*fleet.Server
	for i := range n {
		out = append(out, &fleet.Server{ID: fleet.ServerID(fmt.Sprintf("s%02d", i))})
	}
	return out
}

// store returns a store whose chart has received the events.
func store(id string, events ...chart.Event) *fleet.Store {
	s := fleet.NewStore(fleet.ServerID(id))
	s.Chart = storeChart().Start(now)
	fireStoreEvents(s, events...)
	return s
}

func storeChart() *chart.Machine[*fleet.Store] {
	return machineOf[*fleet.Store]("store")
}

// machineOf returns the machine of a chart whose guards are always true and whose
// actions do nothing.
func machineOf[T any](name string) *chart.Machine[T] {
	def, err := chart.Load(chart.Embedded(), name)
	if err != nil {
		panic(err)
	}
	bindings := chart.Bindings[T]{Guards: map[string]func(T, time.Time) bool{}, Actions: map[string]func(T, time.Time){}}
	for _, state := range def.States {
		bindings.Tags = append(bindings.Tags, state.Tags...)
	}
	for _, transition := range def.Transitions {
		if transition.Guard != "" {
			bindings.Guards[transition.Guard] = func(T, time.Time) bool { return true }
		}
		for _, action := range transition.Actions {
			bindings.Actions[action] = func(T, time.Time) {}
		}
	}
	machine, err := chart.NewMachine(def, bindings)
	if err != nil {
		panic(err)
	}
	return machine
}

func fireStoreEvents(s *fleet.Store, events ...chart.Event) {
	for _, event := range events {
		if err := storeChart().Fire(&s.Chart, s, event, now); err != nil {
			panic(err)
		}
	}
}

func keys(root byte, n int) []cachekey.Key {
	var out []cachekey.Key
	for i := range n {
		out = append(out, cachekey.Key{root, byte(i)})
	}
	return out
}

// TestEstimate guards against a wrong choice between warm cache, import and
// recomputation.
func TestEstimate(t *testing.T) {
	prefix := keys(1, 10)
	query := Query{PromptTokens: 20500, Prefix: prefix}
	cases := map[string]struct {
		sent    bool
		busy    int
		age     time.Duration
		rate    float64
		price   time.Duration
		want    Source
		sameOne bool
	}{
		"warm server":                     {sent: true, want: Warm, sameOne: true},
		"busy warm server":                {sent: true, busy: 100000, want: Recompute},
		"busy warm server and fast link":  {sent: true, busy: 100000, rate: 8 << 30, want: Import},
		"warm server and fast link":       {sent: true, rate: 8 << 30, want: Warm, sameOne: true},
		"warm server with an old report":  {sent: true, busy: 100000, age: time.Minute, want: Warm, sameOne: true},
		"fast link":                       {rate: 8 << 30, want: Import},
		"slow link":                       {rate: 1 << 20, want: Recompute},
		"fast link with a price on bytes": {rate: 8 << 30, price: 100 * time.Millisecond, want: Recompute},
	}
	for name, c := range cases {
		view := View{Servers: servers(10), RecentPrefixes: NewRecentPrefixes(), LinkPrice: c.price}
		if c.rate > 0 {
			view.Stores = []*fleet.Store{store("k0")}
			view.Stores[0].LinkRate = c.rate
			view.Stores[0].HitRatio = 0.9
		}
		if c.sent {
			view.RecentPrefixes.Record(now, prefix, "s05")
		}
		view.Servers[5].UpdateLoad(fleet.Load{PrefillTokens: c.busy}, now.Add(-c.age), 0)
		got := Estimate{}.Pick(now, query, view)
		if got.Source != c.want || c.sent && (got.Server.ID == "s05") != c.sameOne {
			t.Errorf("%s: source %d on %s after %v", name, got.Source, got.Server.ID, got.FirstToken)
		}
		if (got.Plan != nil) != (c.rate > 0 && c.want != Warm) || got.Plan != nil && len(got.Plan.Keys) != 10 {
			t.Errorf("%s: plan %+v", name, got.Plan)
		}
	}
}

// TestEstimateDistributesPrefixes guards against all prefixes on one server, and
// against a prefix that stays on a busy server.
func TestEstimateDistributesPrefixes(t *testing.T) {
	view := View{Servers: servers(10), RecentPrefixes: NewRecentPrefixes()}
	used := map[fleet.ServerID]int{}
	for i := range 100 {
		prefix := keys(byte(i), 5)
		got := Estimate{}.Pick(now, Query{PromptTokens: 10000, Prefix: prefix}, view)
		if again := (Estimate{}).Pick(now, Query{PromptTokens: 10000, Prefix: prefix}, view); again.Server != got.Server {
			t.Fatalf("prefix %d: first on %s, then on %s", i, got.Server.ID, again.Server.ID)
		}
		used[got.Server.ID]++
	}
	if len(used) != 10 {
		t.Errorf("servers used by 100 prefixes: got %v, want all 10", used)
	}
	first := PreferredServers(Query{Prefix: keys(1, 1)}, view.Servers)[0]
	first.PrefillTokens = 100000
	if got := (Estimate{}).Pick(now, Query{PromptTokens: 10000, Prefix: keys(1, 5)}, view); got.Server == first {
		t.Error("a busy preferred server was picked")
	}
}

// TestPreferredIsStable guards against a prefix whose preferred servers change when
// another server leaves.
func TestPreferredIsStable(t *testing.T) {
	all := servers(10)
	query := Query{Prefix: keys(9, 1)}
	before := PreferredServers(query, all)
	for i, server := range all {
		if slices.Contains(before[:], server) {
			continue
		}
		rest := append(append([]*fleet.Server{}, all[:i]...), all[i+1:]...)
		if after := PreferredServers(query, rest); after != before {
			t.Errorf("without %s: got %v, want %v", server.ID, after, before)
		}
	}
	query.Avoid = []fleet.ServerID{before[0].ID}
	if after := PreferredServers(query, all); after[0] != before[1] {
		t.Errorf("next server is %s, want %s", after[0].ID, before[1].ID)
	}
}

// TestStoreChoice guards against transfers with stores that are down or full.
func TestStoreChoice(t *testing.T) {
	stores := []*fleet.Store{store("k0"), store("k1")}
	root := cachekey.Key{3}
	first := ExportStore(root, stores)
	fireStoreEvents(first, "fill")
	if ExportStore(root, stores) == first || ImportStore(root, stores) != first {
		t.Error("a full store must be used for imports only")
	}
	fireStoreEvents(first, "fail")
	if ImportStore(root, stores) == first {
		t.Error("import from a store that is down")
	}
}

// TestPolicyByName guards against a policy name that selects another policy.
func TestPolicyByName(t *testing.T) {
	view := View{Servers: servers(3), Turn: 4}
	view.Servers[0].InFlight = 2
	view.Servers[1].InFlight = 1
	query := Query{Prefix: keys(1, 1), Avoid: []fleet.ServerID{"s02"}}
	sticky := PreferredServers(query, view.Servers)[0].ID
	for name, want := range map[string]fleet.ServerID{NameRoundRobin: "s01", NameLeastLoad: "s01", NameSticky: sticky} {
		policy, ok := ByName(name)
		if !ok || policy.Pick(now, query, view).Server.ID != want {
			t.Errorf("%s: ok %v, want %s", name, ok, want)
		}
	}
	if _, ok := ByName("other"); ok {
		t.Error("unknown policy name accepted")
	}
}

// TestRecentIsBounded guards against RecentPrefixes that grow with the number of
// prompts.
func TestRecentIsBounded(t *testing.T) {
	r := NewRecentPrefixes()
	for i := range 3 * maxRecentPrefixes {
		r.Record(now, []cachekey.Key{{byte(i), byte(i >> 8)}}, "s")
	}
	if len(r.byRoutingKey) != maxRecentPrefixes || len(r.ring) != maxRecentPrefixes {
		t.Errorf("got %d prefixes and %d in the ring, want maxRecentPrefixes", len(r.byRoutingKey), len(r.ring))
	}
	last := []cachekey.Key{{255, byte((3*maxRecentPrefixes - 1) >> 8)}}
	if r.ExpectedBlocks(now, last, "s") != 1 || r.ExpectedBlocks(now.Add(2*maxRecentAge), last, "s") != 0 {
		t.Error("the latest prefix is not recorded or does not expire")
	}
}
