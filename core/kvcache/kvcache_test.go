package kvcache

import (
	"strings"
	"testing"
	"time"

	"tanagerspread/core/cachekey"
)

func testKeys(n int) []cachekey.Key {
	return cachekey.Chain(cachekey.Scope{Organisation: "a", Model: "m", Weights: 1}, []byte(strings.Repeat("x", n*cachekey.BlockBytes)))
}

func testBlocks(keys []cachekey.Key) []Block {
	var blocks []Block
	for _, key := range keys {
		blocks = append(blocks, Block{Key: key, Length: 10, Checksum: strings.Repeat("0", checksumHexLength), Generation: 1})
	}
	return blocks
}

// TestUsable guards against importing blocks that are invalid, out of order or of
// another prompt.
func TestUsable(t *testing.T) {
	keys := testKeys(3)
	for name, test := range map[string]struct {
		change func([]Block) []Block
		want   int
	}{
		"complete":      {func(b []Block) []Block { return b }, 3},
		"shorter":       {func(b []Block) []Block { return b[:2] }, 2},
		"longer":        {func(b []Block) []Block { return append(b, b[0]) }, 3},
		"out of order":  {func(b []Block) []Block { b[0], b[1] = b[1], b[0]; return b }, 0},
		"no length":     {func(b []Block) []Block { b[1].Length = 0; return b }, 1},
		"no checksum":   {func(b []Block) []Block { b[2].Checksum = ""; return b }, 2},
		"no generation": {func(b []Block) []Block { b[0].Generation = 0; return b }, 0},
	} {
		if got := len(Usable(keys, test.change(testBlocks(keys)))); got != test.want {
			t.Errorf("%s: usable blocks: got %d, want %d", name, got, test.want)
		}
	}
}

// TestKeysDifferBetweenScopes guards against cache keys that two organisations,
// models, adapters or weight versions share.
func TestKeysDifferBetweenScopes(t *testing.T) {
	prompt := []byte(strings.Repeat("x", cachekey.BlockBytes))
	scopes := []cachekey.Scope{
		{Organisation: "a", Model: "m", Weights: 1},
		{Organisation: "b", Model: "m", Weights: 1},
		{Organisation: "a", Model: "n", Weights: 1},
		{Organisation: "a", Model: "m", Weights: 2},
		{Organisation: "a", Model: "m", Adapter: "x", Weights: 1},
		{Organisation: "am", Model: "", Weights: 1},
	}
	seen := map[cachekey.Key]int{}
	for i, scope := range scopes {
		key := cachekey.Chain(scope, prompt)[0]
		if j, shared := seen[key]; shared {
			t.Errorf("scopes %d and %d share a key", i, j)
		}
		seen[key] = i
	}
}

// TestExports guards against repeated exports and against exports over the
// link budget.
func TestExports(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewExports()
	keys := testKeys(3)
	e.RecordExported(now, keys[:2])
	if got := len(e.Unexported(now, keys)); got != 3 {
		t.Errorf("unexported keys after 2 of 3 were exported: got %d, want 3", got)
	}
	e.RecordExported(now, keys)
	if got := e.Unexported(now, keys); got != nil {
		t.Errorf("unexported keys after all were exported: got %d, want none", len(got))
	}
	if got := len(e.Unexported(now.Add(exportedBlockTTL), keys)); got != 3 {
		t.Errorf("unexported keys %s after the export: got %d, want 3", exportedBlockTTL, got)
	}
	const budget = 100.0
	if !e.Start(now, "s", budget, 3000) {
		t.Error("export within the accumulated budget was refused")
	}
	if e.Start(now, "s", budget, 1) {
		t.Error("export over the budget was allowed")
	}
}
