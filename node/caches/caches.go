// Package caches follows the events of stores of KV cache and of engines and
// reports them to the control thread. It decides nothing.
package caches

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/worker"
)

// retryInterval is the time before a failed call is repeated.
const retryInterval = 500 * time.Millisecond

// Client reads the events of one store or engine.
type Client interface {
	// Events waits for events from a position on and returns the position of
	// the next call, and whether events before the returned ones are gone.
	Events(ctx context.Context, since uint64) (events control.CacheEvents, next uint64, lost bool, err *code.Error)
	// List returns all parts and the position of the next events.
	List(ctx context.Context) (events control.CacheEvents, next uint64, err *code.Error)
	// Close closes the connections.
	Close()
}

// Options configures the followers of a node.
type Options struct {
	Control worker.Teller
	Logger  logr.Logger
	// Connect returns the client of the store or engine at an address.
	Connect func(address string) Client
}

// Followers follow what the control thread names.
type Followers struct {
	options Options
	targets chan []control.CacheTarget
}

// New returns followers that do not run yet.
func New(options Options) *Followers {
	return &Followers{options: options, targets: make(chan []control.CacheTarget, 1)}
}

// Follow replaces what is followed without blocking.
func (f *Followers) Follow(command control.FollowCaches) {
	for {
		select {
		case f.targets <- command.Targets:
			return
		default:
		}
		// Only the newest list counts.
		select {
		case <-f.targets:
		default:
		}
	}
}

// Run follows them until the context ends.
func (f *Followers) Run(ctx context.Context) {
	running := map[control.CacheTarget]context.CancelFunc{}
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case targets := <-f.targets:
			wanted := map[control.CacheTarget]bool{}
			for _, target := range targets {
				wanted[target] = true
				if running[target] != nil {
					continue
				}
				followContext, cancel := context.WithCancel(ctx)
				running[target] = cancel
				group.Go(func() { f.follow(followContext, target) })
			}
			for target, cancel := range running {
				if !wanted[target] {
					cancel()
					delete(running, target)
				}
			}
		}
	}
}

// follow reports the events of one target until the context ends.
func (f *Followers) follow(ctx context.Context, target control.CacheTarget) {
	client := f.options.Connect(target.Address)
	defer client.Close()
	position := position{}
	failed := false
	for ctx.Err() == nil {
		err := f.step(ctx, client, target, &position)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failed = false
			if target.Pause > 0 && !worker.Pause(ctx, target.Pause) {
				return
			}
			continue
		}
		if !failed {
			eventlog.Write(f.options.Logger, event.CacheStoreLost, err, "target", target.Name, "code", int(err.Code))
		}
		failed = true
		if !worker.Pause(ctx, retryInterval) {
			return
		}
	}
}

// position is how far the events are known.
type position struct {
	epoch uint64
	next  uint64
}

// step makes one call. After a restart, or when events are lost,
// it reads all parts.
func (f *Followers) step(ctx context.Context, client Client, target control.CacheTarget, at *position) *code.Error {
	events, next, lost, err := client.Events(ctx, at.next)
	if err != nil {
		return err
	}
	restarted := at.epoch != 0 && events.Epoch != at.epoch
	if lost || restarted {
		if events, next, err = client.List(ctx); err != nil {
			return err
		}
	}
	at.epoch = events.Epoch
	at.next = next
	events.Target = target.Name
	worker.Tell(f.options.Control, f.options.Logger, control.Message(events))
	return nil
}
