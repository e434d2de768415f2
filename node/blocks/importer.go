package blocks

import (
	"context"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/client/store"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/placement"
	"tanagerspread/core/request"
)

// pinTime bounds how long an import keeps the blocks of a store from being
// freed, should the node die before it ends the pin.
const pinTime = time.Minute

// Importer brings cache blocks into an engine before an attempt.
type Importer struct {
	control     Asker
	connections connections
}

// NewImporter returns an importer that opens connections with dial.
func NewImporter(asker Asker, dial wire.Dialer) *Importer {
	return &Importer{control: asker, connections: connections{dial: dial}}
}

// Order describes one import.
type Order struct {
	Request   request.ID
	Attempt   request.AttemptID
	Namespace string
	// Engine and Store are IP numbers with ports.
	Engine string
	Plan   placement.ImportPlan
}

// Import runs the import of an attempt. It returns when the blocks are in the
// engine or the import has failed; a failure only means that the engine
// computes the prompt itself.
func (i *Importer) Import(ctx context.Context, order Order) {
	client := i.connections.store(order.Plan.Address)
	defer client.Close()
	done := control.ImportDone{Request: order.Request, Attempt: order.Attempt}
	manifest, err := client.Find(ctx, EncodeKeys(order.Plan.Keys))
	if err == nil {
		done.MovedBlocks, done.MovedBytes, err = i.transfer(ctx, client, order, manifest)
	}
	done.Failed = err != nil
	done.StoreUnreachable = err != nil && err.Code == code.StoreAway
	i.control.Tell(done)
}

// transfer pins the verified blocks and orders the engine to read them.
func (i *Importer) transfer(ctx context.Context, client *store.Client, order Order, manifest store.Manifest) (int, int64, *code.Error) {
	verified, err := i.verify(ctx, order, manifest)
	if err != nil {
		return 0, 0, err
	}
	pin, err := client.Pin(ctx, keysOf(verified), pinTime)
	if err != nil {
		return 0, 0, err
	}
	// A pin that cannot be ended expires by itself.
	defer func() { _ = client.Unpin(context.WithoutCancel(ctx), pin) }()
	target := i.connections.engine(order.Engine)
	defer target.Close()
	reply, err := target.Import(ctx, engine.TransferRequest{
		Store:     order.Plan.Address,
		Namespace: order.Namespace,
		Keys:      EncodeKeys(order.Plan.Keys),
		Expected:  verified,
	})
	if err != nil {
		return 0, 0, err
	}
	if reply.Code != 0 {
		err = code.New(code.Code(reply.Code), reply.Detail)
	}
	return reply.Moved, reply.Bytes, err
}

// verify asks the control thread which of the found blocks may be imported.
func (i *Importer) verify(ctx context.Context, order Order, manifest store.Manifest) ([]store.Meta, *code.Error) {
	decision, err := i.control.Ask(ctx, control.ImportFound{
		Request: order.Request,
		Attempt: order.Attempt,
		Blocks:  decodeBlocks(manifest.Blocks),
	})
	if err != nil {
		return nil, err
	}
	allowed, ok := decision.(control.ImportBlocks)
	if !ok {
		return nil, code.New(code.BlockInvalid, "no found block may be imported")
	}
	return encodeBlocks(allowed.Blocks), nil
}
