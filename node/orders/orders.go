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
	// leaseQueue bounds the commands that wait for the lease worker.
	leaseQueue = 4
	// engineQueue bounds the commands that wait for the workers of a kind.
	engineQueue = 64
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
	// process tells the claims of this process from those of an earlier one
	// of the same node.
	process string
	// confirmed is when the lease was last confirmed, a clock.Mark.
	confirmed atomic.Value
	leases    chan control.IssuerCommand
	sends     chan control.SendOrder
	reads     chan control.ReadEngine
}

// New returns workers that do not run yet.
func New(options Options) *Workers {
	return &Workers{
		options: options,
		process: uuid.NewString(),
		leases:  make(chan control.IssuerCommand, leaseQueue),
		sends:   make(chan control.SendOrder, engineQueue),
		reads:   make(chan control.ReadEngine, engineQueue),
	}
}

// Run carries out commands until the context ends.
func (w *Workers) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { consume(ctx, w.leases, w.step) })
	for range sendWorkers {
		group.Go(func() { consume(ctx, w.sends, w.send) })
	}
	for range readWorkers {
		group.Go(func() { consume(ctx, w.reads, w.read) })
	}
	group.Wait()
}

func consume[T any](ctx context.Context, queue <-chan T, do func(context.Context, T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-queue:
			do(ctx, command)
		}
	}
}

// Do hands a command to its worker without blocking. A command that finds its
// queue full is dropped; the control thread issues it again after a timeout.
// Do reports false for a command of another kind.
func (w *Workers) Do(command control.Command) bool {
	switch c := command.(type) {
	case control.IssuerCommand:
		worker.Enqueue(w.options.Logger, w.leases, c)
	case control.SendOrder:
		worker.Enqueue(w.options.Logger, w.sends, c)
	case control.ReadEngine:
		worker.Enqueue(w.options.Logger, w.reads, c)
	default:
		return false
	}
	return true
}

func (w *Workers) tell(message control.Message) {
	worker.Tell(w.options.Control, w.options.Logger, message)
}

// step makes one call for the lease and reports its result.
func (w *Workers) step(ctx context.Context, command control.IssuerCommand) {
	asked := time.Now()
	mark := clock.Now()
	result := w.call(ctx, command)
	if result.Err == nil {
		w.confirmed.Store(mark)
	}
	result.Step = command.Step
	result.Attempt = command.Attempt
	result.AskedAt = asked
	if result.Err != nil {
		eventlog.Write(w.options.Logger, event.IssuerCallFailed, result.Err, "step", string(command.Step), "code", int(result.Err.Code))
	}
	w.tell(result)
}

// send sends an order unless the lease may have been taken over.
func (w *Workers) send(ctx context.Context, command control.SendOrder) {
	result := control.EngineStatus{Engine: command.Engine, Call: command.Call}
	result.Status, result.Err = w.sendOrder(ctx, command)
	w.report(result)
}

func (w *Workers) read(ctx context.Context, command control.ReadEngine) {
	result := control.EngineStatus{Engine: command.Engine, Call: command.Call}
	result.Status, result.Err = w.options.Engines.Status(ctx, command)
	w.report(result)
}

func (w *Workers) report(result control.EngineStatus) {
	if result.Err != nil {
		w.failed(result, result.Err)
	}
	w.tell(result)
}

func (w *Workers) failed(result control.EngineStatus, err *code.Error) {
	eventlog.Write(w.options.Logger, event.EngineCallFailed, err, "server", string(result.Engine), "code", int(err.Code))
}
