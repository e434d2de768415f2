// Package orders carries out the commands of the issuer of orders: calls of
// the key-value service for its lease, and management calls of engines. The
// workers are bounded and decide nothing.
package orders

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/order"
	"tanagerspread/node/clock"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/worker"
)

const (
	// leaseQueueSize bounds the commands that wait for the lease worker.
	leaseQueueSize = 4
	// engineQueueSize bounds the commands that wait for the workers of a kind.
	engineQueueSize = 64
	// sendWorkers is the number of orders that are sent at a time.
	sendWorkers = 4
	// readWorkers is the number of engines that are read at a time. Reads of
	// silent engines occupy a worker for the whole call timeout.
	readWorkers = 8
)

// Options configures the workers of one node.
type Options struct {
	Control worker.Teller
	Service kv.Service
	// LeaseTime is the time to live of the issuer's lease.
	LeaseTime time.Duration
	// Engines makes the management calls of engines.
	Engines Engines
	Logger  logr.Logger
}

// Engines makes the management calls of engines.
type Engines interface {
	// Order sends an order. It returns code.OrderRefused for an old fencing
	// number, and code.EngineAway when the engine may have taken the order.
	Order(ctx context.Context, command control.SendOrder) (order.Status, *code.Error)
	// Status reads the state of an engine.
	Status(ctx context.Context, command control.ReadEngine) (order.Status, *code.Error)
}

// Workers carry out the commands of one node.
type Workers struct {
	options Options
	// processID tells the claims of this processID from those of an earlier one
	// of the same node.
	processID string
	// lastConfirmed is when the lease was last lastConfirmed, a clock.Mark.
	lastConfirmed  atomic.Value
	issuerCommands chan control.IssuerCommand
	sendCommands   chan control.SendOrder
	readCommands   chan control.ReadEngine
}

// New returns workers that do not run yet.
func New(options Options) *Workers {
	return &Workers{
		options:        options,
		processID:      uuid.NewString(),
		issuerCommands: make(chan control.IssuerCommand, leaseQueueSize),
		sendCommands:   make(chan control.SendOrder, engineQueueSize),
		readCommands:   make(chan control.ReadEngine, engineQueueSize),
	}
}

// Run carries out commands until the context ends.
func (w *Workers) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { handleCommands(ctx, w.issuerCommands, w.handleIssuerCommand) })
	for range sendWorkers {
		group.Go(func() { handleCommands(ctx, w.sendCommands, w.handleSendOrder) })
	}
	for range readWorkers {
		group.Go(func() { handleCommands(ctx, w.readCommands, w.handleReadEngine) })
	}
	group.Wait()
}

func handleCommands[T any](ctx context.Context, queue <-chan T, handle func(context.Context, T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-queue:
			handle(ctx, command)
		}
	}
}

// Submit hands a command to its worker without blocking. A command that finds its
// queue full is dropped; the control thread issues it again after a timeout.
// Submit reports false for a command of another kind.
func (w *Workers) Submit(command control.Command) bool {
	switch c := command.(type) {
	case control.IssuerCommand:
		worker.Offer(w.options.Logger, w.issuerCommands, c)
	case control.SendOrder:
		worker.Offer(w.options.Logger, w.sendCommands, c)
	case control.ReadEngine:
		worker.Offer(w.options.Logger, w.readCommands, c)
	default:
		return false
	}
	return true
}

func (w *Workers) tell(message control.Message) {
	worker.Tell(w.options.Control, w.options.Logger, message)
}

// handleIssuerCommand makes one call for the lease and reports its result.
func (w *Workers) handleIssuerCommand(ctx context.Context, command control.IssuerCommand) {
	askedAt := time.Now()
	startMark := clock.Now()
	result := w.runIssuerStep(ctx, command)
	if result.Err == nil {
		w.lastConfirmed.Store(startMark)
	}
	result.Step = command.Step
	result.Attempt = command.Attempt
	result.AskedAt = askedAt
	if result.Err != nil {
		eventlog.Write(w.options.Logger, event.IssuerCallFailed, result.Err, "step", string(command.Step), "code", int(result.Err.Code))
	}
	w.tell(result)
}

// handleSendOrder sends an order unless the lease may have been taken over.
func (w *Workers) handleSendOrder(ctx context.Context, command control.SendOrder) {
	result := control.EngineStatus{Engine: command.Engine, Call: command.Call}
	result.Status, result.Err = w.sendOrder(ctx, command)
	w.reportStatus(result)
}

func (w *Workers) handleReadEngine(ctx context.Context, command control.ReadEngine) {
	result := control.EngineStatus{Engine: command.Engine, Call: command.Call}
	result.Status, result.Err = w.options.Engines.Status(ctx, command)
	w.reportStatus(result)
}

func (w *Workers) reportStatus(result control.EngineStatus) {
	if result.Err != nil {
		w.logCallFailure(result, result.Err)
	}
	w.tell(result)
}

func (w *Workers) logCallFailure(result control.EngineStatus, err *code.Error) {
	eventlog.Write(w.options.Logger, event.EngineCallFailed, err, "server", string(result.Engine), "code", int(err.Code))
}
