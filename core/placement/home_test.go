package placement

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// homeSite is a fleet of engines and stores of KV cache in three domains.
type homeSite struct {
	view   View
	engine []*fleet.Server
	store  []*fleet.CacheStore
}

const siteSalt = "m/1/"

func newHomeSite(t testing.TB, engines, stores int) *homeSite {
	t.Helper()
	serverChart := machineOf[*fleet.Server]("server")
	storeChart := machineOf[*fleet.CacheStore]("cache-store")
	s := &homeSite{view: View{Domain: "a", Holdings: NewHoldings(), TokenBytes: 18432, Prices: Prices{
		ReadToken: 0.0015, MovedByte: 1.1e-9, DomainByte: 2e-5, LateWorth: 1.9, LateToken: 0.0007,
	}}}
	domain := func(i int) fleet.Domain { return fleet.Domain(rune('a' + i%3)) }
	for i := range engines {
		id := fleet.ServerID(fmt.Sprintf("e%02d", i))
		s.engine = append(s.engine, &fleet.Server{
			ID: id, Address: string(id), Role: fleet.RoleEngine, Domain: domain(i), Model: "m", Weights: 1, Places: 64, Chart: serverChart.Start(now),
		})
	}
	for i := range stores {
		name := fmt.Sprintf("c%02d", i)
		store := &fleet.CacheStore{ID: fleet.ServerID("store " + name), Name: name, Address: name, Domain: domain(i), Capacity: 400_000, ClockAt: now, Chart: storeChart.Start(now)}
		if err := storeChart.Fire(&store.Chart, store, "hear", now); err != nil {
			t.Fatal(err)
		}
		s.store = append(s.store, store)
	}
	s.view.Servers, s.view.Engines, s.view.Caches = s.engine, s.engine, s.store
	s.view.Lanes = LanesOf(s.engine)
	return s
}

// TestSupplyOrder guards against a part that is read again, or fetched over a
// slow link, although a better source is known: an engine that used it just now
// comes before a store, a store before an engine that may have evicted it, and
// the own domain before others.
func TestSupplyOrder(t *testing.T) {
	s := newHomeSite(t, 9, 6)
	key := PartKey{Salt: siteSalt, ID: "p"}
	target := s.engine[0]
	nearest := func() string {
		from, _ := supplyOf(now, s.view, key).nearest(target)
		return from.address
	}
	steps := []struct {
		holder fleet.ServerID
		since  time.Duration
		want   string
	}{
		{target.ID, 0, ""},
		{s.engine[1].ID, time.Minute, "e01"},
		{s.engine[3].ID, time.Minute, "e03"},
		{s.store[1].ID, time.Minute, "c01"},
		{s.store[3].ID, time.Minute, "c03"},
		{s.engine[4].ID, time.Second, "e04"},
		{s.engine[6].ID, time.Second, "e06"},
	}
	for _, step := range steps {
		s.view.Holdings.Confirm(now.Add(-step.since), step.holder, key, 1000, 0)
		if got := nearest(); got != step.want {
			t.Errorf("with the part at %s: source %q, want %q", step.holder, got, step.want)
		}
	}
}

// BenchmarkHomePick measures a decision at the size of the grown sites.
func BenchmarkHomePick(b *testing.B) {
	s := newHomeSite(b, 60, 18)
	parts := []request.Part{{ID: "system", Tokens: 55}, {ID: "topic", Tokens: 40}, {ID: "own", Tokens: 290}}
	for i, engine := range s.engine {
		s.view.Holdings.Confirm(now, engine.ID, PartKey{Salt: siteSalt, ID: "system"}, 55, 0)
		if i%7 == 0 {
			s.view.Holdings.Confirm(now, engine.ID, PartKey{Salt: siteSalt, ID: "topic"}, 40, 0)
		}
	}
	query := Query{PromptTokens: 385, Parts: parts, Bytes: 1800, Target: 600 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		if (Home{}).Pick(now, query, s.view).Server == nil {
			b.Fatal("no server")
		}
	}
}
