package placement

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"tanagerspread/core/fleet"
)

// TestPartIndexBounded guards against an index that grows with the number of servers while
// callers invent parts, and against invented parts that replace those of other servers.
func TestPartIndexBounded(t *testing.T) {
	const limit, servers, invented = 10_000, 90, 1000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := NewPartIndex(limit)
	now := time.Now()
	shared := PartKey{Salt: "m/1", ID: "shared"}
	x.Confirm(now, "quiet", shared, 100, 0)
	for i := range servers * invented {
		id := fmt.Sprintf("%s%d", strings.Repeat("x", 60), i)
		x.Expect(now, fleet.ServerID(fmt.Sprintf("i-%d", i%servers)), PartKey{Salt: "m/1", ID: id}, 0, 1000)
		if x.Len() > limit {
			t.Fatalf("%d parts, want at most %d", x.Len(), limit)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if !x.Contains("quiet", shared) {
		t.Error("the part of a server with few parts was dropped")
	}
	if bytes := (after.HeapAlloc - before.HeapAlloc) / limit; bytes > IndexedPartBytes {
		t.Errorf("a part takes %d bytes, want at most %d", bytes, IndexedPartBytes)
	}
	for i := range servers {
		x.DropServer(fleet.ServerID(fmt.Sprintf("i-%d", i)))
	}
	if x.Len() != 1 {
		t.Errorf("%d parts after all other servers were dropped, want 1", x.Len())
	}
}

// TestPartLargerThanServer guards against a call that claims a part larger than the memory of
// its server, and so removes all other parts of the server from the index.
func TestPartLargerThanServer(t *testing.T) {
	x := NewPartIndex(0)
	now := time.Now()
	kept, huge := PartKey{ID: "kept"}, PartKey{ID: "huge"}
	x.Confirm(now, "i-1", kept, 800, 1000)
	x.Expect(now, "i-1", huge, 1001, 1000)
	x.Confirm(now, "i-2", huge, 1001, 1000)
	if !x.Contains("i-1", kept) || x.Contains("i-1", huge) || x.Contains("i-2", huge) {
		t.Error("the index does not have the kept part alone")
	}
}
