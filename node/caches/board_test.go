package caches

import (
	"testing"
	"time"

	"tanagerspread/core/control"
)

// TestBoard guards against a copy that misses an event, keeps a part that is
// gone, or looks newer than it is.
func TestBoard(t *testing.T) {
	b := NewBoards()
	asked := time.Now().Add(-time.Second)
	record := func(epoch uint64, whole bool, events ...control.PartEvent) {
		b.record(control.CacheEvents{Target: "s", Epoch: epoch, Snapshot: whole, Events: events, Asked: asked, Received: asked})
	}
	part := func(id string, added bool) control.PartEvent {
		return control.PartEvent{Added: added, Salt: "m/1/", ID: id, Tokens: 7}
	}
	held := map[string]bool{}
	var epoch, next uint64
	sync := func(want ...string) {
		t.Helper()
		copied, err := b.Copy(t.Context(), "s", epoch, next, 0)
		if err != nil {
			t.Fatal(err)
		}
		if copied.Events.Snapshot {
			clear(held)
		}
		for _, e := range copied.Events.Events {
			held[e.ID] = e.Added
		}
		epoch, next = copied.Events.Epoch, copied.Next
		if copied.Age < time.Second {
			t.Errorf("age %v of a call that began a second ago", copied.Age)
		}
		count := 0
		for _, there := range held {
			if there {
				count++
			}
		}
		for _, id := range want {
			if !held[id] {
				t.Errorf("part %s is missing", id)
			}
		}
		if count != len(want) {
			t.Errorf("holds %v, want %v", held, want)
		}
	}
	if _, err := b.Copy(t.Context(), "s", 0, 0, 0); err == nil {
		t.Error("a target that is not followed is copied")
	}
	record(1, false, part("a", true), part("b", true))
	sync("a", "b")
	record(1, false, part("a", false), part("c", true))
	sync("b", "c")
	sync("b", "c")
	for range boardLog {
		record(1, false, part("d", true))
	}
	record(1, false, part("b", false))
	sync("c", "d")
	record(2, false)
	sync()
	record(2, false, part("e", true))
	sync("e")
	record(2, true, part("f", true))
	sync("f")
}
