package control

import (
	"strings"
	"testing"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/core/kvcache"
)

// storedBlocks returns blocks of the keys, each of the given length in bytes.
func storedBlocks(keys []cachekey.Key, length int) []kvcache.Block {
	var blocks []kvcache.Block
	for _, key := range keys {
		blocks = append(blocks, kvcache.Block{Key: key, Length: length, Checksum: strings.Repeat("0", 64), Generation: 1})
	}
	return blocks
}

// TestImportOnlyWhenCheaper guards against a transfer that takes longer than
// computing the blocks or costs more than it saves, and against an import of
// blocks of another prompt.
func TestImportOnlyWhenCheaper(t *testing.T) {
	keys := []cachekey.Key{{1}, {2}}
	for name, c := range map[string]struct {
		rate   float64
		price  time.Duration
		blocks []kvcache.Block
		want   int
	}{
		"fast link":       {rate: 1 << 30, blocks: storedBlocks(keys, 1<<20), want: 2},
		"slow link":       {rate: 1 << 20, blocks: storedBlocks(keys, 1<<20)},
		"dear link":       {rate: 1 << 30, price: 200 * time.Millisecond, blocks: storedBlocks(keys, 1<<20)},
		"nothing found":   {rate: 1 << 30},
		"other prompt":    {rate: 1 << 30, blocks: storedBlocks([]cachekey.Key{{3}, {4}}, 1<<20)},
		"first key found": {rate: 1 << 30, blocks: storedBlocks([]cachekey.Key{{1}, {4}}, 1<<20), want: 1},
	} {
		rules := rulesFor(1, "")
		rules.Policy.LinkPrice = c.price
		s := newState(t, 1, vms(2, 0, 1), rules)
		s.storeList[0].LinkRate = c.rate
		r := completion("r1", 0, testStart.Add(time.Minute))
		d, ok := admitAndPlace(t, s, testStart, r, keys...).(Dispatch)
		if !ok || d.Import == nil {
			t.Fatalf("%s: no import planned: %+v", name, d)
		}
		reply := replyTo(t, s.Handle(testStart, ImportFound{Request: r.ID, Attempt: d.Attempt, Blocks: c.blocks}), r.ID)
		switch decision := reply.(type) {
		case ImportBlocks:
			if len(decision.Blocks) != c.want {
				t.Errorf("%s: %d blocks, want %d", name, len(decision.Blocks), c.want)
			}
		case Refusal:
			if c.want != 0 || decision.Err.Code != code.BlockInvalid {
				t.Errorf("%s: refused with %v", name, decision.Err)
			}
		}
		s.Handle(testStart, ImportDone{Request: r.ID, Attempt: d.Attempt, Failed: c.want == 0})
		if pending := s.storeList[0].PendingBytes; pending != 0 {
			t.Errorf("%s: %d bytes pending after the import", name, pending)
		}
	}
}

// TestManifestWritten guards against a manifest that lists other blocks than the
// wanted ones, and against an export that stays in progress when its report never
// arrives.
func TestManifestWritten(t *testing.T) {
	keys := []cachekey.Key{{1}, {2}}
	for name, c := range map[string]struct {
		written         []kvcache.Block
		manifestAllowed bool
	}{
		"complete":  {storedBlocks(keys, 10), true},
		"part":      {storedBlocks(keys[:1], 10), false},
		"incorrect": {storedBlocks([]cachekey.Key{{1}, {3}}, 10), false},
	} {
		s := newState(t, 1, vms(1, 0, 1), rulesFor(1, ""))
		r := completion("r1", 0, testStart.Add(time.Minute))
		d := admitAndPlace(t, s, testStart, r, keys...).(Dispatch)
		connect(t, s, testStart, r.ID, d)
		out := s.Handle(testStart, AttemptDone{Request: r.ID, Attempt: d.Attempt, Outcome: Succeeded})
		export := exportOf(t, out)
		decision := replyTo(t, s.Handle(testStart, ExportWritten{ID: export.ID, Blocks: c.written}), export.ID)
		if _, allowed := decision.(Proceed); allowed != c.manifestAllowed {
			t.Errorf("%s: decision %+v", name, decision)
		}
		s.Handle(testStart.Add(time.Hour), Tick{})
		if len(s.runningExports) != 0 || s.exports.Running() != 0 {
			t.Errorf("%s: %d exports left, %d running", name, len(s.runningExports), s.exports.Running())
		}
	}
}

func exportOf(t *testing.T, out Output) ExportBlocks {
	t.Helper()
	for _, command := range out.Commands {
		if export, ok := command.(ExportBlocks); ok {
			return export
		}
	}
	t.Fatal("no export commanded")
	return ExportBlocks{}
}
