package blocks

import (
	"context"

	"tanagerspread/client/engine"
	"tanagerspread/client/store"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
)

const (
	// exportQueueSize is the maximum number of exports that wait for a worker.
	exportQueueSize = 16
	// exportWorkers is the number of exports that run concurrently.
	exportWorkers = 2
)

// Exporter executes the exports that the control thread commands.
type Exporter struct {
	control ControlThread
	clients clientFactory
	queue   chan control.ExportBlocks
}

// NewExporter returns an exporter that opens connections with dial; Run starts
// it.
func NewExporter(thread ControlThread, dial wire.Dialer) *Exporter {
	return &Exporter{control: thread, clients: clientFactory{dial: dial}, queue: make(chan control.ExportBlocks, exportQueueSize)}
}

// Offer queues an export without blocking. It returns false when the queue is
// full.
func (e *Exporter) Offer(command control.ExportBlocks) bool {
	select {
	case e.queue <- command:
		return true
	default:
		return false
	}
}

// Run executes exports until the context is cancelled.
func (e *Exporter) Run(ctx context.Context) {
	for range exportWorkers - 1 {
		go e.runWorker(ctx)
	}
	e.runWorker(ctx)
}

func (e *Exporter) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-e.queue:
			e.export(ctx, command)
		}
	}
}

// export writes the blocks that the store does not have and, at the end, their
// manifests, and reports the result to the control thread. A block without a
// manifest is never imported.
func (e *Exporter) export(ctx context.Context, command control.ExportBlocks) {
	client := e.clients.newStoreClient(command.StoreAddress)
	defer client.Close()
	result := control.ExportDone{ID: command.ID}
	manifest, reply, err := e.writeMissingBlocks(ctx, client, command)
	if err == nil {
		existing := len(manifest.Blocks) - len(reply.Written)
		err = e.verifyAndPutManifests(ctx, client, command, manifest, existing)
	}
	result.MovedBlocks = reply.Moved
	result.MovedBytes = reply.Bytes
	result.ManifestWritten = err == nil
	result.StoreFull = err != nil && err.Code == code.StoreFull
	result.StoreUnreachable = err != nil && err.Code == code.StoreAway
	e.control.Tell(result)
}

// writeMissingBlocks lets the engine write the blocks that the store does not
// list. It returns a manifest of all blocks of the export, and the reply of the
// engine.
func (e *Exporter) writeMissingBlocks(ctx context.Context, client *store.Client, command control.ExportBlocks) (store.Manifest, engine.TransferReply, *code.Error) {
	keys := EncodeKeys(command.Keys)
	manifest, err := client.Find(ctx, keys)
	if err != nil && err.Code != code.BlockMissing {
		return manifest, engine.TransferReply{}, err
	}
	source := e.clients.newEngineClient(command.EngineAddress)
	defer source.Close()
	reply, err := source.Export(ctx, engine.TransferRequest{
		Store:      command.StoreAddress,
		Namespace:  EncodeKey(command.Namespace),
		Keys:       keys,
		Skip:       len(manifest.Blocks),
		Generation: command.Generation,
	})
	if err != nil {
		return manifest, reply, err
	}
	if reply.Code != 0 {
		return manifest, reply, code.New(code.Code(reply.Code), reply.Detail)
	}
	manifest.Blocks = append(manifest.Blocks, reply.Written...)
	return manifest, reply, nil
}

// verifyAndPutManifests asks the control thread whether the written blocks are
// the wanted ones and, if so, writes the manifests. The first existing blocks of
// the manifest were in the store before the export.
func (e *Exporter) verifyAndPutManifests(ctx context.Context, client *store.Client, command control.ExportBlocks, manifest store.Manifest, existing int) *code.Error {
	decision, err := e.control.Ask(ctx, control.ExportWritten{ID: command.ID, Blocks: decodeBlocks(manifest.Blocks)})
	if err != nil {
		return err
	}
	if _, ok := decision.(control.Proceed); !ok {
		return code.New(code.BlockInvalid, "the written blocks are not the wanted ones")
	}
	return e.putPrefixManifests(ctx, client, manifest, existing)
}

// putPrefixManifests writes a manifest for each prefix that is longer than the
// existing blocks. The export of another prompt with the same prefix then finds
// the shared blocks and does not write them again, which would make the store
// remove the manifests that list them.
func (e *Exporter) putPrefixManifests(ctx context.Context, client *store.Client, manifest store.Manifest, existing int) *code.Error {
	for n := existing + 1; n <= len(manifest.Blocks); n++ {
		prefix := store.Manifest{Key: manifest.Blocks[n-1].Key, Blocks: manifest.Blocks[:n]}
		if err := client.PutManifest(ctx, prefix); err != nil {
			return err
		}
	}
	return nil
}
