// Package engine is a small stand-in for a model engine: a continuous batch,
// a prefix cache in limited memory, and the engine's management calls.
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

// Options sets the speed, the size and the faults of an engine. A zero value
// takes the default.
type Options struct {
	// PrefillRate is in prompt tokens per second, shared by the prefills in
	// progress.
	PrefillRate float64
	// TokenInterval is the time of one decode step of a batch of one.
	TokenInterval time.Duration
	// IntervalPerRun is added to a decode step for each further run.
	IntervalPerRun time.Duration
	// Slots is the number of runs in the batch.
	Slots int
	// MaxWaiting is the number of runs that may wait for a slot.
	MaxWaiting int
	// CacheBlocks is the number of cache blocks that fit into memory.
	CacheBlocks int
	// BytesPerToken is the size of a cache block in bytes per prompt token.
	BytesPerToken int
	// Initial is what the engine serves after a start. An empty model serves
	// every model and weight version.
	Initial engine.Desired
	// Loader fetches weights; nil takes one second.
	Loader weights.Loader
	// OnSwap is called after an order has changed what the engine serves; nil
	// means nobody asks.
	OnSwap func(engine.Desired)
	// Dial opens connections to store VMs; nil means TCP.
	Dial wire.Dialer
	// IgnoreFencing makes the engine accept orders with an old fencing number.
	IgnoreFencing bool
	// LoadLag is how far load reports are behind.
	LoadLag time.Duration
	// EventDelay is how late cache events become visible.
	EventDelay time.Duration
	// DropEvery loses every n-th cache event; 0 loses none.
	DropEvery int
	// CrashMarker kills the engine when it starts a prompt that contains it;
	// empty means none.
	CrashMarker string
	// RestartAfter starts a crashed engine again; 0 waits for Restart.
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

// Engine is one model engine. Its state is owned by one goroutine.
type Engine struct {
	options Options
	ctx     context.Context
	calls   chan func(*state)
}

// New returns an engine that runs until the context ends.
func New(ctx context.Context, options Options) *Engine {
	e := &Engine{options: options.withDefaults(), ctx: ctx, calls: make(chan func(*state))}
	go e.run()
	return e
}

// run is the goroutine that owns the state.
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

// do runs a call on the goroutine of the engine and waits for it. It returns
// false when the engine has stopped.
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
