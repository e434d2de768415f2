package engine

import (
	"bytes"
	"context"
	"net/http"

	"tanagerspread/client/engine"
	"tanagerspread/client/store"
	"tanagerspread/client/wire"
	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
)

// transfer is one export or import of cache blocks.
type transfer struct {
	engine  *Engine
	client  *store.Client
	request engine.TransferRequest
	// blocks are the cached blocks whose reference counts the transfer holds.
	blocks []*block
	reply  engine.TransferReply
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	e.handleTransfer(w, r, (*transfer).exportBlocks)
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	e.handleTransfer(w, r, (*transfer).importBlocks)
}

// handleTransfer executes a transfer. The reply states the number of transferred
// blocks also when the transfer fails.
func (e *Engine) handleTransfer(w http.ResponseWriter, r *http.Request, move func(*transfer, context.Context) *code.Error) {
	t := &transfer{engine: e}
	if !wire.Decode(w, r, &t.request) {
		return
	}
	if len(t.request.Keys) > store.MaxKeys {
		wire.ReplyError(w, code.Newf(code.TooManyItems, "more than %d keys", store.MaxKeys))
		return
	}
	t.client = store.NewClient(wire.Options{Address: t.request.Store, Dial: e.options.Dial})
	defer t.client.Close()
	e.do(func(s *state) { t.blocks = s.cache.acquirePrefix(t.request.Namespace, t.request.Keys) })
	defer e.do(func(s *state) { s.cache.release(t.blocks) })
	if err := move(t, r.Context()); err != nil {
		t.reply.Code = int(err.Code)
		t.reply.Detail = err.Detail
	}
	wire.Reply(w, t.reply)
}

// exportBlocks writes the cached blocks after the skipped ones to the store VM.
func (t *transfer) exportBlocks(ctx context.Context) *code.Error {
	t.reply.Blocks = min(t.request.Skip, len(t.blocks))
	for _, b := range t.blocks[t.reply.Blocks:] {
		content := t.content(b.id)
		meta := store.NewMeta(b.id.key, t.request.Generation, content)
		if err := t.client.PutBlock(ctx, meta, content); err != nil {
			return err
		}
		t.countMoved(content)
		t.reply.Written = append(t.reply.Written, meta)
		t.reply.Blocks++
	}
	return nil
}

// importBlocks reads the expected blocks that are not cached from the store VM.
func (t *transfer) importBlocks(ctx context.Context) *code.Error {
	t.reply.Blocks = len(t.blocks)
	if len(t.request.Expected) <= len(t.blocks) {
		return nil
	}
	for _, meta := range t.request.Expected[len(t.blocks):] {
		if err := t.importBlock(ctx, meta); err != nil {
			return err
		}
		t.reply.Blocks = len(t.blocks)
	}
	return nil
}

// importBlock reads the next block and verifies it against its metadata.
func (t *transfer) importBlock(ctx context.Context, meta store.Meta) *code.Error {
	next := len(t.blocks)
	if next >= len(t.request.Keys) || t.request.Keys[next] != meta.Key {
		return code.New(code.BlockInvalid, "the import expects another block")
	}
	stored, content, err := t.client.GetBlock(ctx, meta.Key)
	if err != nil {
		return err
	}
	if stored != meta {
		return code.New(code.BlockInvalid, "the block is another one than expected")
	}
	t.countMoved(content)
	return t.storeBlock(blockID{t.request.Namespace, meta.Key}, content)
}

// storeBlock adds a block to the cache and marks it as invalid when the content
// is wrong.
func (t *transfer) storeBlock(id blockID, content []byte) *code.Error {
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

func (t *transfer) countMoved(content []byte) {
	t.reply.Moved++
	t.reply.Bytes += int64(len(content))
}

func (t *transfer) content(id blockID) []byte {
	return blockContent(id, t.engine.options.BytesPerToken*cachekey.BlockTokens)
}
