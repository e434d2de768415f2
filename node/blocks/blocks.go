// Package blocks moves cache blocks between engines and store VMs on behalf
// of the control thread. The blocks themselves travel directly between the
// two; a node only orders the transfers and asks the control thread before
// each step that makes blocks usable.
package blocks

import (
	"context"
	"encoding/hex"

	"tanagerspread/client/engine"
	"tanagerspread/client/store"
	"tanagerspread/client/wire"
	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/kvcache"
)

// Asker is the control thread as the transfers see it.
type Asker interface {
	Ask(ctx context.Context, question control.Question) (control.Decision, *code.Error)
	Tell(message control.Message) bool
}

// connections opens clients of stores and engines for one transfer. A client
// of its own keeps a transfer off connections that have gone silent.
type connections struct {
	dial wire.Dialer
}

func (c connections) store(address string) *store.Client {
	return store.NewClient(wire.Options{Address: address, Dial: c.dial})
}

func (c connections) engine(address string) *engine.Client {
	return engine.NewClient(wire.Options{Address: address, Dial: c.dial})
}

// EncodeKey writes a key as hexadecimal text.
func EncodeKey(key cachekey.Key) string {
	return hex.EncodeToString(key[:])
}

// EncodeKeys writes keys as hexadecimal text.
func EncodeKeys(keys []cachekey.Key) []string {
	out := make([]string, 0, len(keys))
	for _, key := range keys {
		out = append(out, EncodeKey(key))
	}
	return out
}

// decodeBlocks converts descriptions from a store or engine. A malformed key
// becomes the zero key, which matches no wanted block.
func decodeBlocks(metas []store.Meta) []kvcache.Block {
	out := make([]kvcache.Block, 0, len(metas))
	for _, meta := range metas {
		block := kvcache.Block{Length: meta.Length, Checksum: meta.Checksum, Generation: meta.Generation}
		if data, err := hex.DecodeString(meta.Key); err == nil && len(data) == cachekey.KeyBytes {
			copy(block.Key[:], data)
		}
		out = append(out, block)
	}
	return out
}

func encodeBlocks(blocks []kvcache.Block) []store.Meta {
	out := make([]store.Meta, 0, len(blocks))
	for _, block := range blocks {
		out = append(out, store.Meta{
			Key:        EncodeKey(block.Key),
			Length:     block.Length,
			Checksum:   block.Checksum,
			Generation: block.Generation,
		})
	}
	return out
}

// keysOf lists the keys of described blocks.
func keysOf(metas []store.Meta) []string {
	out := make([]string, 0, len(metas))
	for _, meta := range metas {
		out = append(out, meta.Key)
	}
	return out
}
