package orders

import (
	"context"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/order"
)

// sendOrder sends an order with the time that is left for it. The call ends
// before the lease can be taken over, so that a process that was paused sends
// nothing afterwards.
func (w *Workers) sendOrder(ctx context.Context, command control.SendOrder) (order.Status, *code.Error) {
	left := time.Until(command.Deadline)
	if left <= 0 || time.Until(command.NotAfter) <= 0 {
		return order.Status{}, code.New(code.EngineAway, "the order was not sent because its time or the lease has ended")
	}
	ctx, cancel := context.WithDeadline(ctx, command.NotAfter)
	defer cancel()
	client := w.client(command.Address)
	defer client.Close()
	status, err := client.Order(ctx, engine.Order{
		ID:         command.ID,
		Fencing:    command.Fencing,
		DeadlineMS: left.Milliseconds(),
		Desired:    engine.Desired(command.Desired),
	})
	return decode(status), err
}

func (w *Workers) readStatus(ctx context.Context, address string) (order.Status, *code.Error) {
	client := w.client(address)
	defer client.Close()
	status, err := client.Status(ctx)
	return decode(status), err
}

// client returns a client of its own for each call, which keeps the call off
// connections that have gone silent.
func (w *Workers) client(address string) *engine.Client {
	return engine.NewClient(wire.Options{Address: address, Dial: w.options.Dial})
}

func decode(status engine.Status) order.Status {
	return order.Status{
		Current: order.Desired(status.Current),
		OrderID: status.OrderID,
		Phase:   order.Phase(status.OrderState),
		Fencing: status.Fencing,
	}
}
