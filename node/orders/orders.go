// Package orders executes the commands of the issuer of orders: calls of the
// key-value service for its lease, and management calls of engines. The number
// of workers and the length of their queues are bounded. All decisions are made
// by the control thread.
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
	"tanagerspread/core/fleet"
	"tanagerspread/node/clock"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/worker"
)

const (
	// leaseQueueSize is the maximum number of commands that wait for the lease
	// worker.
	leaseQueueSize = 4
	// engineQueueSize is the maximum number of commands that wait for the send
	// workers, and for the read workers.
	engineQueueSize = 64
	// sendWorkers is the number of orders that are sent concurrently.
	sendWorkers = 4
	// readWorkers is the number of engines that are read concurrently. The read
	// of an unreachable engine occupies a worker for the whole call timeout.
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
	// Order sends an order. It returns code.OrderRefused when the engine refuses
	// an old fencing number, and code.EngineAway when the engine may have
	// accepted the order.
	Order(ctx context.Context, command control.SendOrder) (control.EngineResponse, *code.Error)
	// Status returns the state of an engine.
	Status(ctx context.Context, command control.ReadEngine) (control.EngineResponse, *code.Error)
}

// Workers execute the commands of one node.
type Workers struct {
	options Options
	// processID distinguishes the claims of this process from those of earlier
	// processes of the same node.
	processID string
	// lastConfirmed is the clock.Instant of the start of the last successful call
	// for the lease.
	lastConfirmed  atomic.Value
	issuerCommands chan control.IssuerCommand
	sendCommands   chan control.SendOrder
	readCommands   chan control.ReadEngine
	markCommands   chan control.MarkNamed
}

// New returns workers; Run starts them.
func New(options Options) *Workers {
	return &Workers{
		options:        options,
		processID:      uuid.NewString(),
		issuerCommands: make(chan control.IssuerCommand, leaseQueueSize),
		sendCommands:   make(chan control.SendOrder, engineQueueSize),
		readCommands:   make(chan control.ReadEngine, engineQueueSize),
		markCommands:   make(chan control.MarkNamed, leaseQueueSize),
	}
}

// Run executes commands until the context is cancelled.
func (w *Workers) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { handleCommands(ctx, w.issuerCommands, w.handleIssuerCommand) })
	group.Go(func() { handleCommands(ctx, w.markCommands, w.handleMarkNamed) })
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

// Submit queues a command for its workers without blocking. When the queue is
// full, the command is dropped, and the control thread issues it again after a
// timeout. Submit returns false for a command of another package.
func (w *Workers) Submit(command control.Command) bool {
	switch c := command.(type) {
	case control.IssuerCommand:
		worker.Enqueue(w.options.Logger, w.issuerCommands, c)
	case control.MarkNamed:
		worker.Enqueue(w.options.Logger, w.markCommands, c)
	case control.SendOrder:
		worker.Enqueue(w.options.Logger, w.sendCommands, c)
	case control.ReadEngine:
		worker.Enqueue(w.options.Logger, w.readCommands, c)
	default:
		return false
	}
	return true
}

func (w *Workers) tell(message control.Message) {
	worker.Tell(w.options.Control, w.options.Logger, message)
}

// handleIssuerCommand executes one step of the issuer and reports its result to
// the control thread.
func (w *Workers) handleIssuerCommand(ctx context.Context, command control.IssuerCommand) {
	askedAt := time.Now()
	startInstant := clock.Now()
	result := w.runIssuerStep(ctx, command)
	if result.Err == nil {
		w.lastConfirmed.Store(startInstant)
	}
	result.Step = command.Step
	result.Attempt = command.Attempt
	result.AskedAt = askedAt
	if result.Err != nil {
		eventlog.Write(w.options.Logger, event.IssuerCallFailed, result.Err, "step", string(command.Step), "code", int(result.Err.Code))
	}
	w.tell(result)
}

// handleSendOrder sends an order, unless the lease may have expired, and reports
// the result to the control thread.
func (w *Workers) handleSendOrder(ctx context.Context, command control.SendOrder) {
	result := control.EngineStatus{Engine: command.Engine, Call: command.Call}
	response, err := w.sendOrder(ctx, command)
	result.Status, result.Err = response.Status, err
	w.passNotice(command.Engine, command.Address, response.Notice)
	w.reportStatus(result)
}

func (w *Workers) handleReadEngine(ctx context.Context, command control.ReadEngine) {
	result := control.EngineStatus{Engine: command.Engine, Call: command.Call}
	response, err := w.options.Engines.Status(ctx, command)
	result.Status, result.Err = response.Status, err
	w.passNotice(command.Engine, command.Address, response.Notice)
	w.reportStatus(result)
}

// passNotice passes what an engine says about itself to the control thread.
func (w *Workers) passNotice(engine fleet.ServerID, address string, notice control.Notice) {
	if notice != (control.Notice{}) {
		w.tell(control.ManagementNotice{Server: engine, Address: address, Notice: notice})
	}
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
