package orders

import (
	"context"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/order"
	"tanagerspread/node/clock"
)

// sendOrder sends an order, unless its deadline has passed or the lease may
// have expired. The call is cancelled at command.NotAfter, before another node
// can hold the lease, so that a paused process sends nothing after that time.
func (w *Workers) sendOrder(ctx context.Context, command control.SendOrder) (control.EngineResponse, *code.Error) {
	if time.Until(command.Deadline) <= 0 || time.Until(command.NotAfter) <= 0 {
		return control.EngineResponse{}, code.New(code.EngineAway, "the order was not sent because its deadline has passed or the lease has expired")
	}
	// The lease also expires while the machine is suspended, when the monotonic
	// clock stops.
	if confirmedAt, ok := w.lastConfirmed.Load().(clock.Instant); ok && confirmedAt.Suspended() >= time.Until(command.NotAfter) {
		return control.EngineResponse{}, code.New(code.EngineAway, "the order was not sent because the machine was suspended")
	}
	ctx, cancel := context.WithDeadline(ctx, command.NotAfter)
	defer cancel()
	return w.options.Engines.Order(ctx, command)
}

// OwnEngines makes management calls in the protocol of the product's own
// engines.
type OwnEngines struct {
	// Dial opens connections to engines; nil means TCP.
	Dial wire.Dialer
}

// Order sends an order with the time that remains until its deadline.
func (o OwnEngines) Order(ctx context.Context, command control.SendOrder) (control.EngineResponse, *code.Error) {
	client := o.client(command.Address)
	defer client.Close()
	status, err := client.Order(ctx, engine.Order{
		ID:         command.ID,
		Fencing:    command.Fencing,
		DeadlineMS: time.Until(command.Deadline).Milliseconds(),
		Desired:    engine.Desired(command.Desired),
	})
	return control.EngineResponse{Status: decodeStatus(status)}, err
}

// Status returns the state of an engine.
func (o OwnEngines) Status(ctx context.Context, command control.ReadEngine) (control.EngineResponse, *code.Error) {
	client := o.client(command.Address)
	defer client.Close()
	status, err := client.Status(ctx)
	return control.EngineResponse{Status: decodeStatus(status)}, err
}

// client returns a new client for each call, so that no call reuses a
// connection that no longer responds.
func (o OwnEngines) client(address string) *engine.Client {
	return engine.NewClient(wire.Options{Address: address, Dial: o.Dial})
}

func decodeStatus(status engine.Status) order.Status {
	return order.Status{
		Current: order.Desired(status.Current),
		OrderID: status.OrderID,
		Phase:   order.Phase(status.OrderState),
		Fencing: status.Fencing,
	}
}
