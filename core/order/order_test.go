package order

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tanagerspread/core/fleet"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestServingWeights guards against new requests that use a version that few
// engines have, that go back to the old version although engines have the wanted
// one, or that find no engine although the model has some.
func TestServingWeights(t *testing.T) {
	for _, c := range []struct {
		wanted, before int
		counts         map[int]int
		want           int
	}{
		{2, 1, map[int]int{1: 4}, 1},
		{2, 1, map[int]int{1: 3, 2: 1}, 1},
		{2, 1, map[int]int{1: 2, 2: 2}, 2},
		{2, 2, map[int]int{1: 3, 2: 1}, 2},
		{2, 2, map[int]int{1: 4}, 1},
		{3, 1, map[int]int{1: 1, 2: 2, 3: 1}, 2},
		{1, 2, map[int]int{1: 2, 2: 2}, 1},
		{2, 0, nil, 2},
	} {
		if got := ServingWeights(c.wanted, c.before, c.counts); got != c.want {
			t.Errorf("%+v: got %d", c, got)
		}
	}
}

// TestLastOldEngineWaits guards against a rollout that changes the last engine
// with the old version before other nodes send new requests to the wanted one.
func TestLastOldEngineWaits(t *testing.T) {
	for count, wantBefore := range map[int]int{1: 1, 2: 1, 3: 2, 6: 5} {
		var engines []*Engine
		for i := range count {
			engines = append(engines, &Engine{ID: fleet.ServerID(fmt.Sprint(i)), Model: "m", Live: true, Reported: true, Status: Status{Current: Desired{Model: "m", Weights: 1}}})
		}
		rollout := &Rollout{Model: "m", Wanted: Desired{Model: "m", Weights: 2}}
		load := func(now time.Time) int {
			loaded := 0
			for {
				rollout.UpdateCounts(now, engines)
				e := rollout.NextEngine(now, OwnParameters(), engines)
				if e == nil {
					return loaded
				}
				e.Status.Current.Weights = 2
				loaded++
			}
		}
		if got := load(testStart); got != wantBefore {
			t.Errorf("%d of %d engines before the handover", got, count)
		}
		if got := load(testStart.Add(OwnParameters().HandoverTime)); got != count-wantBefore {
			t.Errorf("%d of %d engines after the handover", got, count)
		}
	}
}

// TestOldestWeightsFirst guards against a rollout that starts over with the engines that
// it updated last when a newer version is named, while others keep the oldest weights
// beyond their limit.
func TestOldestWeightsFirst(t *testing.T) {
	var engines []*Engine
	for i, weights := range []int{2, 1, 2, 1} {
		engines = append(engines, &Engine{ID: fleet.ServerID(fmt.Sprint(i)), Model: "m", Live: true, Reported: true, Status: Status{Current: Desired{Model: "m", Weights: weights}}})
	}
	engines[1].Failures = 1
	rollout := &Rollout{Model: "m", Wanted: Desired{Model: "m", Weights: 3}}
	var got []fleet.ServerID
	for range engines {
		rollout.UpdateCounts(testStart, engines)
		e := rollout.NextEngine(testStart, Parameters{}, engines)
		if e == nil {
			break
		}
		e.Status.Current.Weights = 3
		got = append(got, e.ID)
	}
	if want := []fleet.ServerID{"3", "0", "2", "1"}; !slices.Equal(got, want) {
		t.Errorf("engines are ordered in the sequence %v, want %v", got, want)
	}
}
