package engine

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/platform/engine"
	"tanagerspread/platform/store"
	"tanagerspread/platform/wire"
)

// pinTime bounds how long an import keeps blocks of a store from being freed.
const pinTime = time.Minute

// transfer is one export or import.
type transfer struct {
	engine  *Engine
	client  *store.Client
	request engine.TransferRequest
	// blocks are the engine's blocks that the transfer uses.
	blocks []*block
	reply  engine.TransferReply
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	e.handleTransfer(w, r, (*transfer).export)
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	e.handleTransfer(w, r, (*transfer).fetch)
}

// handleTransfer runs a transfer and reports how far it came.
func (e *Engine) handleTransfer(w http.ResponseWriter, r *http.Request, move func(*transfer, context.Context) *code.Error) {
	t := &transfer{engine: e}
	if !wire.Decode(w, r, &t.request) {
		return
	}
	if len(t.request.Keys) > store.MaxKeys {
		wire.Refuse(w, code.Newf(code.TooManyItems, "more than %d keys", store.MaxKeys))
		return
	}
	t.client = store.NewClient(wire.Options{Address: t.request.Store, Dial: e.options.Dial})
	defer t.client.Close()
	e.do(func(s *state) { t.blocks = s.cache.leading(t.request.Namespace, t.request.Keys) })
	defer e.do(func(s *state) { s.cache.release(t.blocks) })
	if err := move(t, r.Context()); err != nil {
		t.reply.Code = int(err.Code)
		t.reply.Detail = err.Detail
	}
	wire.Reply(w, t.reply)
}

// export writes the blocks that the store does not hold and, after them, the
// manifest.
func (t *transfer) export(ctx context.Context) *code.Error {
	found, err := t.client.Find(ctx, t.request.Keys)
	if err != nil && err.Code != code.BlockMissing {
		return err
	}
	manifest := store.Manifest{Blocks: found.Blocks}
	t.reply.Blocks = len(found.Blocks)
	if len(t.blocks) <= len(found.Blocks) {
		return nil
	}
	var stopped *code.Error
	for _, b := range t.blocks[len(found.Blocks):] {
		content := t.content(b.id)
		meta := store.NewMeta(b.id.key, t.request.Generation, content)
		if stopped = t.client.PutBlock(ctx, meta, content); stopped != nil {
			break
		}
		t.moved(content)
		manifest.Blocks = append(manifest.Blocks, meta)
	}
	if len(manifest.Blocks) == len(found.Blocks) {
		return stopped
	}
	manifest.Key = manifest.Blocks[len(manifest.Blocks)-1].Key
	if err := t.client.PutManifest(ctx, manifest); err != nil {
		return err
	}
	t.reply.Blocks = len(manifest.Blocks)
	return stopped
}

// fetch reads the blocks of the longest exported prefix that the engine does
// not hold.
func (t *transfer) fetch(ctx context.Context) *code.Error {
	t.reply.Blocks = len(t.blocks)
	manifest, err := t.client.Find(ctx, t.request.Keys)
	if err != nil {
		return err
	}
	if len(manifest.Blocks) <= len(t.blocks) {
		return nil
	}
	missing := manifest.Blocks[len(t.blocks):]
	pin, err := t.client.Pin(ctx, keysOf(missing), pinTime)
	if err != nil {
		return err
	}
	defer func() { _ = t.client.Unpin(ctx, pin) }()
	for _, meta := range missing {
		if err := t.fetchBlock(ctx, meta); err != nil {
			return err
		}
		t.reply.Blocks = len(t.blocks)
	}
	return nil
}

// fetchBlock reads and verifies the next block against the manifest.
func (t *transfer) fetchBlock(ctx context.Context, meta store.Meta) *code.Error {
	next := len(t.blocks)
	if next >= len(t.request.Keys) || t.request.Keys[next] != meta.Key {
		return code.New(code.BlockInvalid, "the manifest lists another block")
	}
	held, content, err := t.client.GetBlock(ctx, meta.Key)
	if err != nil {
		return err
	}
	if held != meta {
		return code.New(code.BlockInvalid, "the block is another one than the manifest says")
	}
	t.moved(content)
	return t.install(blockID{t.request.Namespace, meta.Key}, content)
}

func (t *transfer) install(id blockID, content []byte) *code.Error {
	var stored *block
	t.engine.do(func(s *state) {
		stored = s.cache.store(id)
		if stored != nil && !bytes.Equal(content, t.content(id)) {
			stored.invalid = true
		}
	})
	if stored == nil {
		return code.New(code.StoreFull, "the engine's memory is full of blocks in use")
	}
	t.blocks = append(t.blocks, stored)
	return nil
}

func (t *transfer) moved(content []byte) {
	t.reply.Moved++
	t.reply.Bytes += int64(len(content))
}

func (t *transfer) content(id blockID) []byte {
	return blockContent(id, t.engine.options.BytesPerToken*cachekey.BlockTokens)
}

func keysOf(blocks []store.Meta) []string {
	keys := make([]string, 0, len(blocks))
	for _, meta := range blocks {
		keys = append(keys, meta.Key)
	}
	return keys
}
