package engine

import (
	"context"
	"net/http"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/client/weights"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
)

// orderState is the newest order of an engine and its progress.
type orderState struct {
	order  engine.Order
	state  string
	detail string
	cancel context.CancelFunc
}

// cancelLoad cancels the load of the order if one is in progress.
func (o *orderState) cancelLoad() {
	if o.cancel != nil {
		o.cancel()
	}
}

func (e *Engine) handleStatus(w http.ResponseWriter, _ *http.Request) {
	var status engine.Status
	e.do(func(s *state) { status = s.status() })
	wire.Reply(w, status)
}

func (s *state) status() engine.Status {
	return engine.Status{
		Current:    s.current,
		OrderID:    s.order.order.ID,
		OrderState: s.order.state,
		Detail:     s.order.detail,
		Fencing:    s.fencing,
	}
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !wire.Decode(w, r, &order) {
		return
	}
	var status engine.Status
	var refusal *code.Error
	e.do(func(s *state) {
		refusal = e.acceptOrder(s, order)
		status = s.status()
	})
	wire.ReplyOrError(w, status, refusal)
}

// acceptOrder accepts an order unless its fencing number is older than the newest
// one seen. Repeating the newest order does not start it again. A new order
// cancels a load in progress.
func (e *Engine) acceptOrder(s *state, order engine.Order) *code.Error {
	if order.Fencing < s.fencing && !e.options.IgnoreFencing {
		return code.Newf(code.OrderRefused, "the fencing number %d is older than %d", order.Fencing, s.fencing)
	}
	s.fencing = max(s.fencing, order.Fencing)
	if order.ID == s.order.order.ID {
		return nil
	}
	s.order.cancelLoad()
	s.order = orderState{order: order, state: engine.OrderLoading}
	if sameWeights(s.current, order.Desired) {
		s.current = order.Desired
		s.order.state = engine.OrderDone
		return nil
	}
	deadline := time.Duration(order.DeadlineMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(e.ctx, deadline)
	s.order.cancel = cancel
	go e.loadAndSwap(ctx, cancel, s.crashed, order)
	return nil
}

func sameWeights(a, b engine.Desired) bool {
	return a.Model == b.Model && a.Adapter == b.Adapter && a.Weights == b.Weights
}

// loadAndSwap loads the weights of an order and then makes the engine serve them,
// unless the engine crashed or accepted another order in the meantime.
func (e *Engine) loadAndSwap(ctx context.Context, cancel context.CancelFunc, crashed chan struct{}, order engine.Order) {
	defer cancel()
	desired := order.Desired
	swapped := false
	loadErr := e.loadWeights(ctx, weights.Name{Model: desired.Model, Adapter: desired.Adapter, Version: desired.Weights})
	e.do(func(s *state) {
		if s.crashed != crashed || s.down || s.order.order.ID != order.ID {
			return
		}
		if loadErr != nil {
			s.order.state = engine.OrderFailed
			s.order.detail = loadErr.Error()
			return
		}
		s.order.state = engine.OrderDone
		s.current = desired
		s.cache.clear()
		swapped = true
	})
	if swapped && e.options.OnSwap != nil {
		e.options.OnSwap(desired)
	}
}

func (e *Engine) loadWeights(ctx context.Context, name weights.Name) *code.Error {
	if e.options.Loader != nil {
		return e.options.Loader.Load(ctx, name)
	}
	timer := time.NewTimer(defaultLoadTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return code.Wrap(code.EngineAway, "the load was given up", ctx.Err())
	case <-timer.C:
		return nil
	}
}
