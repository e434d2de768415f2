package blocks

import (
	"encoding/json"
	"fmt"
	"testing"

	"tanagerspread/client/store"
	"tanagerspread/core/cachekey"
	"tanagerspread/core/kvcache"
)

// maxManifestEntryBytes is the maximum size of a block's entry in a manifest that
// docs/CAPACITY.md assumes.
const maxManifestEntryBytes = 256

// TestManifestBytes guards against manifests that are larger than the capacity
// of the stores is planned for, and prints the size that docs/CAPACITY.md states.
func TestManifestBytes(t *testing.T) {
	var blocks []kvcache.Block
	for i := range 10 {
		blocks = append(blocks, kvcache.Block{Key: cachekey.Key{byte(i)}, Length: 64 << 20, Checksum: fmt.Sprintf("%064x", i), Generation: 1 << 40})
	}
	manifest := store.Manifest{Key: EncodeKey(blocks[9].Key), Blocks: encodeBlocks(blocks)}
	data, err := json.Marshal(manifest)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("a manifest of 10 blocks has %d bytes", len(data))
	if len(data) > len(blocks)*maxManifestEntryBytes {
		t.Errorf("a manifest of 10 blocks has %d bytes, want at most %d", len(data), len(blocks)*maxManifestEntryBytes)
	}
}
