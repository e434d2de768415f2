// Package engine is a stand-in for a model engine with continuous batching, a
// prefix cache of limited size and the engine's management calls. It supports
// fault injection.
package engine

import (
	"context"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/client/weights"
	"tanagerspread/client/wire"
)

// The defaults of Options.
const (
	defaultPrefillRate   = 10_000
	defaultTokenInterval = 20 * time.Millisecond
	defaultSlots         = 16
	defaultMaxWaiting    = 64
	defaultCacheBlocks   = 64
	defaultBytesPerToken = 16
	defaultLoadTime      = time.Second
)

// Options configures the speed, the size and the faults of an engine. Fields
// with a default use it when they are zero.
type Options struct {
	// PrefillRate is the number of prompt tokens processed per second. All
	// prefills in progress share it.
	PrefillRate float64
	// TokenInterval is the duration of a decode step with one decoding run.
	TokenInterval time.Duration
	// IntervalPerRun is added to the duration of a decode step for each further
	// decoding run.
	IntervalPerRun time.Duration
	// Slots is the largest number of runs that are processed at once.
	Slots int
	// MaxWaiting is the largest number of runs that may wait for a slot.
	MaxWaiting int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// BytesPerToken is the size of cached data in bytes per prompt token.
	BytesPerToken int
	// Initial is the state after a start. An engine whose model is empty serves
	// every model and weight version.
	Initial engine.Desired
	// Loader fetches weights. If it is nil, each load takes one second.
	Loader weights.Loader
	// OnSwap is called after the engine has loaded the weights of an order and
	// serves them. It may be nil.
	OnSwap func(engine.Desired)
	// Dial opens connections to store VMs. Nil uses TCP.
	Dial wire.Dialer
	// IgnoreFencing makes the engine accept orders with an old fencing number.
	IgnoreFencing bool
	// LoadLag is the age of the load in load reports.
	LoadLag time.Duration
	// EventDelay is the time after which a cache event becomes visible.
	EventDelay time.Duration
	// DropEvery drops every n-th cache event; 0 drops none.
	DropEvery int
	// CrashMarker makes the engine crash when it starts a prompt that contains
	// this text. The empty string disables the fault.
	CrashMarker string
	// RestartAfter is the time after which the engine is restarted when
	// CrashMarker made it crash; 0 means that only Restart starts it again.
	RestartAfter time.Duration
}

func (o Options) withDefaults() Options {
	o.PrefillRate = orDefault(o.PrefillRate, defaultPrefillRate)
	o.TokenInterval = orDefault(o.TokenInterval, defaultTokenInterval)
	o.Slots = orDefault(o.Slots, defaultSlots)
	o.MaxWaiting = orDefault(o.MaxWaiting, defaultMaxWaiting)
	o.CacheBlocks = orDefault(o.CacheBlocks, defaultCacheBlocks)
	o.BytesPerToken = orDefault(o.BytesPerToken, defaultBytesPerToken)
	return o
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Engine is one model engine. Its state is confined to one goroutine.
type Engine struct {
	options Options
	ctx     context.Context
	calls   chan func(*state)
}

// New starts an engine that runs until the context is cancelled.
func New(ctx context.Context, options Options) *Engine {
	e := &Engine{options: options.withDefaults(), ctx: ctx, calls: make(chan func(*state))}
	go e.run()
	return e
}

// run owns the state. It executes calls and advances the batch until the context
// is cancelled.
func (e *Engine) run() {
	s := newState(e.options, time.Now())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s.resetTimer(timer)
		select {
		case <-e.ctx.Done():
			s.crash()
			return
		case call := <-e.calls:
			s.advance(time.Now())
			call(s)
		case <-timer.C:
			s.advance(time.Now())
		}
		if s.batch.crashMarkerSeen {
			s.crash()
			e.scheduleRestart()
		}
		s.recordLoad(time.Now())
	}
}

// do executes a call on the goroutine that owns the state and waits until it
// returns. It returns false, without executing the call, when the context of the
// engine is cancelled.
func (e *Engine) do(call func(*state)) bool {
	done := make(chan struct{})
	wrapped := func(s *state) {
		call(s)
		close(done)
	}
	select {
	case e.calls <- wrapped:
		<-done
		return true
	case <-e.ctx.Done():
		return false
	}
}

func (e *Engine) scheduleRestart() {
	if e.options.RestartAfter > 0 {
		time.AfterFunc(e.options.RestartAfter, e.Restart)
	}
}
