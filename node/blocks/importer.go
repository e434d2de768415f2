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

// pinTTL is the time after which a pin expires if the node crashes before it
// removes it. Until then the store does not free the pinned blocks.
const pinTTL = time.Minute

// Importer imports cache blocks into an engine before an attempt.
type Importer struct {
	control ControlThread
	clients clientFactory
}

// NewImporter returns an importer that opens connections with dial.
func NewImporter(thread ControlThread, dial wire.Dialer) *Importer {
	return &Importer{control: thread, clients: clientFactory{dial: dial}}
}

// ImportSpec describes one import.
type ImportSpec struct {
	Request   request.ID
	Attempt   request.AttemptID
	Namespace string
	// Engine is the IP address of the engine with its port.
	Engine string
	Plan   placement.ImportPlan
}

// Import runs the import of an attempt and reports the result to the control
// thread. It returns when the engine has the blocks or the import has failed.
// After a failure the engine computes the prompt itself.
func (i *Importer) Import(ctx context.Context, spec ImportSpec) {
	client := i.clients.newStoreClient(spec.Plan.Address)
	defer client.Close()
	result := control.ImportDone{Request: spec.Request, Attempt: spec.Attempt}
	manifest, err := client.Find(ctx, EncodeKeys(spec.Plan.Keys))
	if err == nil {
		result.MovedBlocks, result.MovedBytes, err = i.transferBlocks(ctx, client, spec, manifest)
	}
	result.Failed = err != nil
	result.StoreUnreachable = err != nil && err.Code == code.StoreAway
	i.control.Tell(result)
}

// transferBlocks pins the verified blocks in the store and lets the engine read
// them. It returns the number of blocks and of bytes that were transferred.
func (i *Importer) transferBlocks(ctx context.Context, client *store.Client, spec ImportSpec, manifest store.Manifest) (int, int64, *code.Error) {
	verified, err := i.verifyBlocks(ctx, spec, manifest)
	if err != nil {
		return 0, 0, err
	}
	pin, err := client.Pin(ctx, metaKeys(verified), pinTTL)
	if err != nil {
		return 0, 0, err
	}
	// A pin that cannot be removed expires after pinTTL.
	defer func() { _ = client.Unpin(context.WithoutCancel(ctx), pin) }()
	target := i.clients.newEngineClient(spec.Engine)
	defer target.Close()
	reply, err := target.Import(ctx, engine.TransferRequest{
		Store:     spec.Plan.Address,
		Namespace: spec.Namespace,
		Keys:      EncodeKeys(spec.Plan.Keys),
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

// verifyBlocks asks the control thread which blocks of the manifest may be
// imported, and returns their descriptions.
func (i *Importer) verifyBlocks(ctx context.Context, spec ImportSpec, manifest store.Manifest) ([]store.Meta, *code.Error) {
	decision, err := i.control.Ask(ctx, control.ImportFound{
		Request: spec.Request,
		Attempt: spec.Attempt,
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
