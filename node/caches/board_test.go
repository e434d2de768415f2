package caches

import (
	"testing"
	"time"

	"tanagerspread/core/control"
)

// TestFeedCopy guards against a copy that misses an event, keeps a part that the
// target no longer has, or looks newer than it is.
func TestFeedCopy(t *testing.T) {
	feeds := NewFeeds()
	askedAt := time.Now().Add(-time.Second)
	record := func(epoch uint64, snapshot bool, events ...control.PartEvent) {
		feeds.record(control.CacheEvents{Target: "s", Epoch: epoch, Snapshot: snapshot, Events: events, AskedAt: askedAt, ReceivedAt: askedAt})
	}
	part := func(id string, added bool) control.PartEvent {
		return control.PartEvent{Added: added, Salt: "m/1/", ID: id, Tokens: 7}
	}
	present := map[string]bool{}
	var epoch, next uint64
	checkCopy := func(want ...string) {
		t.Helper()
		feedCopy, err := feeds.Copy(t.Context(), "s", epoch, next, 0)
		if err != nil {
			t.Fatal(err)
		}
		if feedCopy.Events.Snapshot {
			clear(present)
		}
		for _, e := range feedCopy.Events.Events {
			present[e.ID] = e.Added
		}
		epoch, next = feedCopy.Events.Epoch, feedCopy.Next
		if feedCopy.Age < time.Second {
			t.Errorf("age %v of a call that started one second ago", feedCopy.Age)
		}
		count := 0
		for _, isPresent := range present {
			if isPresent {
				count++
			}
		}
		for _, id := range want {
			if !present[id] {
				t.Errorf("part %s is missing", id)
			}
		}
		if count != len(want) {
			t.Errorf("the copy contains %v, want %v", present, want)
		}
	}
	if _, err := feeds.Copy(t.Context(), "s", 0, 0, 0); err == nil {
		t.Error("Copy of a target that is not followed returned no error")
	}
	record(1, false, part("a", true), part("b", true))
	checkCopy("a", "b")
	record(1, false, part("a", false), part("c", true))
	checkCopy("b", "c")
	checkCopy("b", "c")
	for range maxFeedEvents {
		record(1, false, part("d", true))
	}
	record(1, false, part("b", false))
	checkCopy("c", "d")
	record(2, false)
	checkCopy()
	record(2, false, part("e", true))
	checkCopy("e")
	record(2, true, part("f", true))
	checkCopy("f")
}
