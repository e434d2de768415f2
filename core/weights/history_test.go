package weights

import (
	"testing"
	"time"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestEarliestTimeCounts guards against a limit that is extended because a node that
// learned of a version late reports a lower age, and against an unknown age that replaces
// a known one.
func TestEarliestTimeCounts(t *testing.T) {
	var h History
	for _, n := range []Named{{Version: 3}, {Version: 3, At: testStart.Add(time.Second)}, {Version: 3, At: testStart}, {Version: 3, At: testStart.Add(time.Minute)}, {Version: 3}} {
		h.Add(n)
	}
	if got, found := h.FirstNewer(1); !found || got != (Named{Version: 3, At: testStart}) {
		t.Errorf("version 3: got %+v, want it named at the earliest time", got)
	}
}

// TestFirstNewer guards against a limit that counts from a later version than the first
// one that replaced the weights.
func TestFirstNewer(t *testing.T) {
	var h History
	for _, version := range []int{9, 4, 7} {
		h.Add(Named{Version: version, At: testStart})
	}
	for version, want := range map[int]int{1: 4, 3: 4, 4: 7, 6: 7, 8: 9} {
		if got, found := h.FirstNewer(version); !found || got.Version != want {
			t.Errorf("first version after %d: got %d, want %d", version, got.Version, want)
		}
	}
	if got, found := h.FirstNewer(9); found {
		t.Errorf("found %+v after the newest version", got)
	}
}

// TestDroppedVersionKeepsTime guards against a limit that is extended when the oldest
// version of a long history is dropped.
func TestDroppedVersionKeepsTime(t *testing.T) {
	var h History
	for i := range maxVersions + 10 {
		h.Add(Named{Version: i + 2, At: testStart.Add(time.Duration(i) * time.Second)})
	}
	got, _ := h.FirstNewer(1)
	if len(h.NewerThan(0)) != maxVersions || !got.At.Equal(testStart) {
		t.Errorf("%d versions, the first one named at %s, want %d and %s", len(h.NewerThan(0)), got.At, maxVersions, testStart)
	}
}
