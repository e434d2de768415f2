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

// maxCopyWait is how long a peer may wait for events before it answers.
const maxCopyWait = 400 * time.Millisecond

// freeQueueSize bounds the calls that free parts and wait.
const freeQueueSize = 32

// retryInterval is the time before a failed call is repeated.
const retryInterval = 500 * time.Millisecond

// Client reads the events of one store or engine.
type Client interface {
	// Events waits up to wait for events from a position on and returns the
	// position of the next call, and whether events before the returned ones are gone.
	Events(ctx context.Context, since uint64, wait time.Duration) (events control.CacheEvents, next uint64, gap bool, err *code.Error)
	// List returns all parts and the position of the next events.
	List(ctx context.Context) (events control.CacheEvents, next uint64, err *code.Error)
	// Free frees parts, or returns code.CompareFailed.
	Free(ctx context.Context, command control.FreeParts) *code.Error
	// Close closes the connections.
	Close()
}

// Options configures the followers of a node.
type Options struct {
	Control worker.Teller
	Logger  logr.Logger
	// Connect returns the client of the store or engine at an address.
	Connect func(address string) Client
	// Peers copies the boards of peers.
	Peers Peers
}

// Peers copies the boards of peers.
type Peers interface {
	// Parts copies the board of a target at a peer, or returns code.PeerAway.
	Parts(ctx context.Context, address, target string, epoch, since uint64, wait time.Duration) (FeedCopy, *code.Error)
}

// Followers follow what the control thread names.
type Followers struct {
	options      Options
	feeds        *Feeds
	targets      chan []control.CacheTarget
	freeCommands chan control.FreeParts
}

// New returns followers that do not run yet.
func New(options Options) *Followers {
	return &Followers{options: options, feeds: NewFeeds(), targets: make(chan []control.CacheTarget, 1), freeCommands: make(chan control.FreeParts, freeQueueSize)}
}

// Feeds returns what this node follows itself, for peers to copy.
func (f *Followers) Feeds() *Feeds {
	return f.feeds
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

// Free hands a call to its worker without blocking.
func (f *Followers) Free(command control.FreeParts) {
	worker.Offer(f.options.Logger, f.freeCommands, command)
}

func (f *Followers) runFreeCommands(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-f.freeCommands:
			f.freeParts(ctx, command)
		}
	}
}

// freeParts makes one call. One that fails is repeated in a later turn.
func (f *Followers) freeParts(ctx context.Context, command control.FreeParts) {
	client := f.options.Connect(command.Address)
	defer client.Close()
	if err := client.Free(ctx, command); err != nil {
		eventlog.Write(f.options.Logger, event.PartsNotFreed, err, "store", command.Store, "parts", len(command.Parts), "code", int(err.Code))
		return
	}
	eventlog.Write(f.options.Logger, event.PartsFreed, nil, "store", command.Store, "parts", len(command.Parts))
}

// Run follows them until the context ends.
func (f *Followers) Run(ctx context.Context) {
	running := map[control.CacheTarget]context.CancelFunc{}
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { f.runFreeCommands(ctx) })
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
	defer f.feeds.remove(target.Name)
	pos := feedPosition{}
	failing := false
	for ctx.Err() == nil {
		err := f.readNextEvents(ctx, client, target, &pos)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failing = false
			if target.Pause > 0 && !worker.Pause(ctx, target.Pause) {
				return
			}
			continue
		}
		if !failing {
			eventlog.Write(f.options.Logger, event.CacheStoreLost, err, "target", target.Name, "code", int(err.Code))
		}
		failing = true
		if !worker.Pause(ctx, retryInterval) {
			return
		}
	}
}

// copyFromPeer makes one call of the peer that follows the target.
func (f *Followers) copyFromPeer(ctx context.Context, target control.CacheTarget, from *feedPosition) *code.Error {
	askedAt := time.Now()
	feedCopy, err := f.options.Peers.Parts(ctx, target.Source.Address, target.Name, from.epoch, from.next, maxCopyWait)
	if err != nil {
		return err
	}
	from.epoch = feedCopy.Events.Epoch
	from.next = feedCopy.Next
	// Both times count from before the call, so that a slow answer never makes
	// the events look newer than they are.
	feedCopy.Events.Asked = askedAt.Add(-feedCopy.Age)
	feedCopy.Events.Received = time.Now().Add(-feedCopy.ClockAge)
	worker.Tell(f.options.Control, f.options.Logger, control.Message(feedCopy.Events))
	return nil
}

// feedPosition is how far the events are known.
type feedPosition struct {
	epoch uint64
	next  uint64
}

// readNextEvents makes one call of the target, or of the peer that follows it.
func (f *Followers) readNextEvents(ctx context.Context, client Client, target control.CacheTarget, from *feedPosition) *code.Error {
	if target.Source.Address != "" {
		return f.copyFromPeer(ctx, target, from)
	}
	return f.readTargetEvents(ctx, client, target, from)
}

// readTargetEvents makes one call of the target. After a restart, or when events are lost,
// it reads all parts.
func (f *Followers) readTargetEvents(ctx context.Context, client Client, target control.CacheTarget, from *feedPosition) *code.Error {
	events, next, gap, err := client.Events(ctx, from.next, target.Wait)
	if err != nil {
		return err
	}
	restarted := from.epoch != 0 && events.Epoch != from.epoch
	if gap || restarted {
		if events, next, err = client.List(ctx); err != nil {
			return err
		}
	}
	from.epoch = events.Epoch
	from.next = next
	events.Target = target.Name
	f.feeds.record(events)
	worker.Tell(f.options.Control, f.options.Logger, control.Message(events))
	return nil
}
