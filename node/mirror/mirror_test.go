package mirror_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/node/mirror"
)

func entryAt(key string, revision kv.Revision) kv.Entry {
	return kv.Entry{Key: key, Value: fmt.Appendf(nil, "%s at %d", key, revision), Revision: revision}
}

// keysOf returns the keys of changes with their revisions.
func keysOf(changes []kv.Change) map[string]kv.Revision {
	keys := map[string]kv.Revision{}
	for _, change := range changes {
		keys[change.Entry.Key] = change.Entry.Revision
	}
	return keys
}

// TestLateChangeReachesWatchers guards against a change that watchers and copies never
// receive, because a list of several pages had brought newer revisions of other keys
// before it.
func TestLateChangeReachesWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New()
		_ = m.Replace([]kv.Entry{entryAt("op/config", 50)}, 50)
		_, copied, _, err := m.Copy(t.Context(), 0, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		// The configuration changes to revision 101 after its page was read, the server's
		// entry to 102 before its page is read.
		_ = m.Replace([]kv.Entry{entryAt("op/config", 50), entryAt("servers/i-1", 102)}, 100)
		_, copied, _, err = m.Copy(t.Context(), copied, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		_ = m.Apply([]kv.Change{{Entry: entryAt("op/config", 101)}}, 102)
		changes, _, snapshot, err := m.Copy(t.Context(), copied, time.Second)
		if err != nil || snapshot || keysOf(changes)["op/config"] != 101 {
			t.Errorf("a copy got %v, snapshot %t, error %v, want the configuration at 101", keysOf(changes), snapshot, err)
		}
	})
}

// TestManyKeysKeepDeletions guards against a deletion that a watcher or a copy never
// learns of, because the mirror holds more keys than usual and a further write follows.
func TestManyKeysKeepDeletions(t *testing.T) {
	const keys = 6000
	m := mirror.New()
	var entries []kv.Entry
	for i := range keys {
		entries = append(entries, entryAt(fmt.Sprintf("servers/i-%d", i), 1))
	}
	_ = m.Replace(entries, 1)
	_, at, err := m.List(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	_ = m.Apply([]kv.Change{{Entry: entryAt("servers/i-0", 2), Deleted: true}, {Entry: entryAt("servers/new", 3)}}, 3)
	changes, _, err := m.Watch(t.Context(), "servers/", at, time.Second)
	if err != nil || len(changes) != 2 {
		t.Errorf("%d changes, error %v, want the deletion and the new entry", len(changes), err)
	}
}

// TestOldPositionsListAgain guards against a watcher or a copy that misses deletions
// because the mirror no longer remembers them.
func TestOldPositionsListAgain(t *testing.T) {
	const deletions = 10000
	m := mirror.New()
	_ = m.Replace([]kv.Entry{entryAt("op/config", 1)}, 1)
	_, at, err := m.List(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	for i := range deletions {
		revision := kv.Revision(2 * (i + 1))
		key := fmt.Sprintf("servers/i-%d", i)
		_ = m.Apply([]kv.Change{{Entry: entryAt(key, revision)}}, revision)
		_ = m.Apply([]kv.Change{{Entry: entryAt(key, revision+1), Deleted: true}}, revision+1)
	}
	if changes, _, err := m.Watch(t.Context(), "servers/", at, time.Second); err == nil || err.Code != code.HistoryGone {
		t.Errorf("a watcher got %d changes, error %v, want code %d", len(changes), err, code.HistoryGone)
	}
	changes, _, snapshot, err := m.Copy(t.Context(), at, time.Second)
	if err != nil || !snapshot || len(changes) != 1 {
		t.Errorf("a copy got %d changes, snapshot %t, error %v, want all entries", len(changes), snapshot, err)
	}
}
