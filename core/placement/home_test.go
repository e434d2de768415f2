package placement

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// affinityFixture is a fleet (engines and cache stores) in three failure domains.
type affinityFixture struct {
	view   View
	engine []*fleet.Server
	store  []*fleet.CacheStore
}

const testSalt = "m/1/"

func newAffinityFixture(t testing.TB, engines, stores int) *affinityFixture {
	t.Helper()
	serverChart := machineOf[*fleet.Server]("server")
	storeChart := machineOf[*fleet.CacheStore]("cache-store")
	s := &affinityFixture{view: View{Domain: "a", PartIndex: NewPartIndex(0), TokenBytes: 18432, Prices: Prices{
		RecomputedToken: 0.0015, MovedByte: 1.1e-9, CrossDomainByte: 2e-5, ResponseValue: 1.9, TokenValue: 0.0007,
	}}}
	domain := func(i int) fleet.Domain { return fleet.Domain(rune('a' + i%3)) }
	for i := range engines {
		id := fleet.ServerID(fmt.Sprintf("e%02d", i))
		s.engine = append(s.engine, &fleet.Server{
			ID: id, Address: string(id), Role: fleet.RoleEngine, Domain: domain(i), Model: "m", Weights: 1, MaxConcurrency: 64, Chart: serverChart.Start(now),
		})
	}
	for i := range stores {
		name := fmt.Sprintf("c%02d", i)
		store := &fleet.CacheStore{ID: fleet.ServerID("store " + name), Name: name, Address: name, Domain: domain(i), Capacity: 400_000, ClockReceivedAt: now, Chart: storeChart.Start(now)}
		if err := storeChart.Fire(&store.Chart, store, "hear", now); err != nil {
			t.Fatal(err)
		}
		s.store = append(s.store, store)
	}
	s.view.Servers, s.view.Engines, s.view.CacheStores = s.engine, s.engine, s.store
	s.view.Reservation = NewReservation(s.engine)
	return s
}

// TestPartSourceOrder guards against a part that is computed again, or fetched over
// a slow link, although a better source exists: an engine that used it recently
// comes before a store, a store before an engine that may have evicted it, and the
// server's own failure domain before others.
func TestPartSourceOrder(t *testing.T) {
	s := newAffinityFixture(t, 9, 6)
	key := PartKey{Salt: testSalt, ID: "p"}
	target := s.engine[0]
	nearest := func() string {
		from, _ := newPartSources(now, s.view, key).nearest(target)
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
		s.view.PartIndex.Confirm(now.Add(-step.since), step.holder, key, 1000, 0)
		if got := nearest(); got != step.want {
			t.Errorf("with the part at %s: got source %q, want %q", step.holder, got, step.want)
		}
	}
}

// BenchmarkAffinityPick measures a placement among 60 engines and 18 cache stores.
func BenchmarkAffinityPick(b *testing.B) {
	s := newAffinityFixture(b, 60, 18)
	parts := []request.Part{{ID: "system", Tokens: 55}, {ID: "topic", Tokens: 40}, {ID: "own", Tokens: 290}}
	for i, engine := range s.engine {
		s.view.PartIndex.Confirm(now, engine.ID, PartKey{Salt: testSalt, ID: "system"}, 55, 0)
		if i%7 == 0 {
			s.view.PartIndex.Confirm(now, engine.ID, PartKey{Salt: testSalt, ID: "topic"}, 40, 0)
		}
	}
	query := Query{PromptTokens: 385, Parts: parts, Bytes: 1800, Target: 600 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		if (Affinity{}).Pick(now, query, s.view).Server == nil {
			b.Fatal("no server")
		}
	}
}
