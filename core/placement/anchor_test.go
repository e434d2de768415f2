package placement

import (
	"testing"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
)

// TestSharedFirstBlock guards against prompts with the same first block that all
// use one store or replace each other in RecentPrefixes.
func TestSharedFirstBlock(t *testing.T) {
	stores := []*fleet.Store{store("store-a"), store("store-b")}
	recent := NewRecentPrefixes()
	used := map[fleet.ServerID]bool{}
	for i := range byte(20) {
		prefix := []cachekey.Key{{1}, {2, i}, {3, i}}
		used[ExportStore(RoutingKey(prefix), stores).ID] = true
		recent.Record(now, prefix, "s")
	}
	if len(used) != len(stores) {
		t.Errorf("stores used by 20 prompts with the same first block: got %d, want 2", len(used))
	}
	for i := range byte(20) {
		if got := recent.ExpectedBlocks(now, []cachekey.Key{{1}, {2, i}, {3, i}}, "s"); got != 3 {
			t.Errorf("prompt %d: got %d expected blocks, want 3", i, got)
		}
	}
}

// TestGrownPrompt guards against a search for a prompt that has grown at a store
// other than the one that has its beginning.
func TestGrownPrompt(t *testing.T) {
	grown := keys(1, 8)
	for n := 2; n <= len(grown); n++ {
		if RoutingKey(grown[:n]) != RoutingKey(grown) {
			t.Errorf("the routing key of %d blocks differs from that of %d", n, len(grown))
		}
	}
}
