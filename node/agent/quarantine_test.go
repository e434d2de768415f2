package agent

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/core/control"
	"tanagerspread/core/quarantine"
	"tanagerspread/node/confkv"
	"tanagerspread/standin/kv"
)

// TestClearedQuarantineLeavesStore guards against the record of a wrong quarantine that stays
// in the key-value service after a run was served, and against a pause that is stored.
func TestClearedQuarantineLeavesStore(t *testing.T) {
	store := kv.NewStore(kv.Options{})
	a := New(Options{Service: store, Control: &messageLog{}, Logger: logr.Discard()})
	until := time.Now().Add(time.Minute)
	for i, step := range []struct {
		entry quarantine.Entry
		keys  int
	}{
		{quarantine.Entry{Kind: quarantine.Quarantined}, 0},
		{quarantine.Entry{Kind: quarantine.Quarantined, Stored: true}, 1},
		{quarantine.Entry{Kind: quarantine.Cleared}, 1},
		{quarantine.Entry{Kind: quarantine.Cleared, Stored: true}, 0},
		{quarantine.Entry{Kind: quarantine.Cleared, Stored: true}, 0},
	} {
		step.entry.ExpiresAt = until
		a.Submit(control.PublishQuarantine{Entries: []quarantine.Entry{step.entry}})
		for len(a.quarantineWrites) > 0 {
			if write := <-a.quarantineWrites; !a.storeQuarantined(t.Context(), write) {
				t.Fatalf("step %d: not stored", i)
			}
		}
		entries, _, _, err := confkv.ListQuarantined(t.Context(), store)
		if err != nil || len(entries) != step.keys {
			t.Errorf("step %d: %d keys, %v; want %d", i, len(entries), err, step.keys)
		}
	}
}
