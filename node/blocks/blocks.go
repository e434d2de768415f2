// Package blocks transfers cache blocks between engines and block store VMs on
// behalf of the control thread. The blocks are sent directly between engine and
// store; a node only requests the transfers and asks the control thread before
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

// ControlThread is the part of the control thread that transfers use.
type ControlThread interface {
	Ask(ctx context.Context, question control.Question) (control.Decision, *code.Error)
	Tell(message control.Message) bool
}

// clientFactory creates clients of block stores and engines. Each transfer gets
// its own clients, so that it does not reuse a connection that no longer
// responds.
type clientFactory struct {
	dial wire.Dialer
}

func (c clientFactory) newStoreClient(address string) *store.Client {
	return store.NewClient(wire.Options{Address: address, Dial: c.dial})
}

func (c clientFactory) newEngineClient(address string) *engine.Client {
	return engine.NewClient(wire.Options{Address: address, Dial: c.dial})
}

// EncodeKey returns a key as hexadecimal text.
func EncodeKey(key cachekey.Key) string {
	return hex.EncodeToString(key[:])
}

// EncodeKeys returns keys as hexadecimal texts.
func EncodeKeys(keys []cachekey.Key) []string {
	texts := make([]string, 0, len(keys))
	for _, key := range keys {
		texts = append(texts, EncodeKey(key))
	}
	return texts
}

// decodeBlocks converts block descriptions from a store or an engine. A malformed
// key becomes the zero key, which matches no wanted block.
func decodeBlocks(metas []store.Meta) []kvcache.Block {
	blocks := make([]kvcache.Block, 0, len(metas))
	for _, meta := range metas {
		block := kvcache.Block{Length: meta.Length, Checksum: meta.Checksum, Generation: meta.Generation}
		if data, err := hex.DecodeString(meta.Key); err == nil && len(data) == cachekey.KeyBytes {
			copy(block.Key[:], data)
		}
		blocks = append(blocks, block)
	}
	return blocks
}

func encodeBlocks(blocks []kvcache.Block) []store.Meta {
	metas := make([]store.Meta, 0, len(blocks))
	for _, block := range blocks {
		metas = append(metas, store.Meta{
			Key:        EncodeKey(block.Key),
			Length:     block.Length,
			Checksum:   block.Checksum,
			Generation: block.Generation,
		})
	}
	return metas
}

// metaKeys returns the keys of block descriptions.
func metaKeys(metas []store.Meta) []string {
	keys := make([]string, 0, len(metas))
	for _, meta := range metas {
		keys = append(keys, meta.Key)
	}
	return keys
}
