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
	// exportQueue bounds the exports that wait for a worker.
	exportQueue = 16
	// exportWorkers is the number of exports at a time.
	exportWorkers = 2
)

// Exporter carries out exports that the control thread commands.
type Exporter struct {
	control     Asker
	connections connections
	queue       chan control.ExportBlocks
}

// NewExporter returns an exporter that opens connections with dial.
func NewExporter(asker Asker, dial wire.Dialer) *Exporter {
	return &Exporter{control: asker, connections: connections{dial: dial}, queue: make(chan control.ExportBlocks, exportQueue)}
}

// Offer hands over an export without blocking. It reports false when the
// queue is full.
func (e *Exporter) Offer(order control.ExportBlocks) bool {
	select {
	case e.queue <- order:
		return true
	default:
		return false
	}
}

// Run starts the workers and waits until the context ends.
func (e *Exporter) Run(ctx context.Context) {
	for range exportWorkers - 1 {
		go e.work(ctx)
	}
	e.work(ctx)
}

func (e *Exporter) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-e.queue:
			e.export(ctx, order)
		}
	}
}

// export writes the missing blocks and, last, the manifest. Without a
// manifest no block is ever imported.
func (e *Exporter) export(ctx context.Context, order control.ExportBlocks) {
	client := e.connections.store(order.StoreAddress)
	defer client.Close()
	done := control.ExportDone{ID: order.ID}
	manifest, reply, err := e.write(ctx, client, order)
	if err == nil {
		found := len(manifest.Blocks) - len(reply.Written)
		err = e.seal(ctx, client, order, manifest, found)
	}
	done.MovedBlocks = reply.Moved
	done.MovedBytes = reply.Bytes
	done.ManifestWritten = err == nil
	done.StoreFull = err != nil && err.Code == code.StoreFull
	done.StoreUnreachable = err != nil && err.Code == code.StoreAway
	e.control.Tell(done)
}

func (e *Exporter) write(ctx context.Context, client *store.Client, order control.ExportBlocks) (store.Manifest, engine.TransferReply, *code.Error) {
	keys := EncodeKeys(order.Keys)
	manifest, err := client.Find(ctx, keys)
	if err != nil && err.Code != code.BlockMissing {
		return manifest, engine.TransferReply{}, err
	}
	source := e.connections.engine(order.EngineAddress)
	defer source.Close()
	reply, err := source.Export(ctx, engine.TransferRequest{
		Store:      order.StoreAddress,
		Namespace:  EncodeKey(order.Namespace),
		Keys:       keys,
		Skip:       len(manifest.Blocks),
		Generation: order.Generation,
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

// seal asks the control thread whether the written blocks are the wanted ones
// and writes the manifests behind the number of blocks that were found.
func (e *Exporter) seal(ctx context.Context, client *store.Client, order control.ExportBlocks, manifest store.Manifest, found int) *code.Error {
	decision, err := e.control.Ask(ctx, control.ExportWritten{ID: order.ID, Blocks: decodeBlocks(manifest.Blocks)})
	if err != nil {
		return err
	}
	if _, ok := decision.(control.Proceed); !ok {
		return code.New(code.BlockInvalid, "the written blocks are not the wanted ones")
	}
	return e.sealPrefixes(ctx, client, manifest, found)
}

// sealPrefixes writes a manifest for each prefix that the store did not list.
// Another prompt with the same beginning then finds the shared blocks and does
// not write them again, which would make the store drop the manifests that
// list them.
func (e *Exporter) sealPrefixes(ctx context.Context, client *store.Client, manifest store.Manifest, found int) *code.Error {
	for n := found + 1; n <= len(manifest.Blocks); n++ {
		prefix := store.Manifest{Key: manifest.Blocks[n-1].Key, Blocks: manifest.Blocks[:n]}
		if err := client.PutManifest(ctx, prefix); err != nil {
			return err
		}
	}
	return nil
}
