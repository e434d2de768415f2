// Package caches follows the event feeds of cache stores and of engines, which
// report the prompt parts that were added to and evicted from their caches. It
// passes the events to the control thread, which makes all decisions, and to the
// peers that copy the feeds.
package caches

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/worker"
)

// maxCopyWait is the maximum time that a peer waits for events before it responds
// to a call for a copy of its feed.
const maxCopyWait = 400 * time.Millisecond

// freeQueueSize is the maximum number of queued commands to free parts.
const freeQueueSize = 32

// retryInterval is the time before a failed call is repeated.
const retryInterval = 500 * time.Millisecond

// Client calls one cache store or engine.
type Client interface {
	// Events returns the events from a position on and the position for the next
	// call. Without events it waits for them up to the given time. It returns a
	// gap when events before the returned ones are no longer available. The notice
	// of the events is also set when the target responded with an error.
	Events(ctx context.Context, since uint64, wait time.Duration) (events control.CacheEvents, next uint64, gap bool, err *code.Error)
	// List returns all parts and the position for the next call of Events.
	List(ctx context.Context) (events control.CacheEvents, next uint64, err *code.Error)
	// Free frees parts of a cache store. It returns code.CompareFailed when the
	// store has restarted or the call arrived too late.
	Free(ctx context.Context, command control.FreeParts) *code.Error
	// Close closes the connections.
	Close()
}

// Options configures the followers of a node.
type Options struct {
	Control worker.Teller
	Logger  logr.Logger
	// Connect returns the client of the cache store or engine at an address.
	Connect func(address string) Client
	// Peers copies the event feeds of peers.
	Peers Peers
}

// Peers copies the event feeds of peers.
type Peers interface {
	// Parts copies the feed of a target from a peer. It returns code.PeerAway
	// when the call fails.
	Parts(ctx context.Context, address, target string, epoch, since uint64, wait time.Duration) (FeedCopy, *code.Error)
}

// Followers follow the targets that the control thread specifies.
type Followers struct {
	options      Options
	feeds        *Feeds
	targets      chan []control.CacheTarget
	freeCommands chan control.FreeParts
	holds        *holds
}

// New returns followers; Run starts them.
func New(options Options) *Followers {
	return &Followers{options: options, feeds: NewFeeds(), targets: make(chan []control.CacheTarget, 1), freeCommands: make(chan control.FreeParts, freeQueueSize), holds: newHolds()}
}

// Feeds returns the event feeds of the targets that this node follows itself, for
// peers to copy.
func (f *Followers) Feeds() *Feeds {
	return f.feeds
}

// Follow replaces the list of followed targets without blocking.
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

// Free queues a command for its worker without blocking. It is dropped when the
// queue is full.
func (f *Followers) Free(command control.FreeParts) {
	worker.Enqueue(f.options.Logger, f.freeCommands, command)
}

// runFreeCommands executes commands to free parts one after the other.
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

// freeParts makes one call that frees parts and logs the result. It does not
// repeat a failed call: the control thread issues the command again when the node
// next reads all entries.
func (f *Followers) freeParts(ctx context.Context, command control.FreeParts) {
	client := f.options.Connect(command.Address)
	defer client.Close()
	if err := client.Free(ctx, command); err != nil {
		eventlog.Write(f.options.Logger, event.PartsNotFreed, err, "store", command.Store, "parts", len(command.Parts), "code", int(err.Code))
		return
	}
	eventlog.Write(f.options.Logger, event.PartsFreed, nil, "store", command.Store, "parts", len(command.Parts))
}

// Run follows the targets and frees parts until the context is cancelled.
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

// follow reports the events of one target until the context is cancelled. It logs
// the first of consecutive failures.
func (f *Followers) follow(ctx context.Context, target control.CacheTarget) {
	client := f.options.Connect(target.Address)
	defer client.Close()
	defer f.feeds.remove(target.Name)
	position := feedPosition{}
	failing := false
	for ctx.Err() == nil {
		err := f.readNextEvents(ctx, client, target, &position)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failing = false
			if target.Pause > 0 && !worker.Sleep(ctx, target.Pause) {
				return
			}
			continue
		}
		if !failing {
			eventlog.Write(f.options.Logger, event.CacheFeedFailed, err, "target", target.Name, "code", int(err.Code))
		}
		failing = true
		if !worker.Sleep(ctx, retryInterval) {
			return
		}
	}
}

// copyFromPeer makes one call of the peer that follows the target.
func (f *Followers) copyFromPeer(ctx context.Context, target control.CacheTarget, position *feedPosition) *code.Error {
	askedAt := time.Now()
	feedCopy, err := f.options.Peers.Parts(ctx, target.Source.Address, target.Name, position.epoch, position.next, maxCopyWait)
	if err != nil {
		return err
	}
	position.epoch = feedCopy.Events.Epoch
	position.next = feedCopy.Next
	// Asked counts from before the call, so that a slow response never makes the
	// events look newer than they are. Received counts from the end of the call,
	// so that the clock of the target is never estimated ahead.
	feedCopy.Events.AskedAt = askedAt.Add(-feedCopy.Age)
	feedCopy.Events.ReceivedAt = time.Now().Add(-feedCopy.ClockAge)
	worker.Tell(f.options.Control, f.options.Logger, control.Message(feedCopy.Events))
	return nil
}

// feedPosition is the epoch of a target and the position of its next event.
type feedPosition struct {
	epoch uint64
	next  uint64
}

// readNextEvents makes one call of the target, or of the peer that follows it. The
// target itself is called when it wants calls again.
func (f *Followers) readNextEvents(ctx context.Context, client Client, target control.CacheTarget, position *feedPosition) *code.Error {
	if target.Source.Address != "" {
		return f.copyFromPeer(ctx, target, position)
	}
	for wait := f.holds.wait(target); wait > 0; wait = f.holds.wait(target) {
		// A hold may end before its time.
		if !worker.Sleep(ctx, min(wait, retryInterval)) {
			return code.Wrap(code.StoreAway, "the target is not called yet", ctx.Err())
		}
	}
	return f.readTargetEvents(ctx, client, target, position)
}

// readTargetEvents reads the next events of the target. After a restart of the
// target or a gap in the events it reads all parts instead. It records the result
// for peers and reports it to the control thread.
func (f *Followers) readTargetEvents(ctx context.Context, client Client, target control.CacheTarget, position *feedPosition) *code.Error {
	events, next, gap, err := client.Events(ctx, position.next, target.Wait)
	f.passNotice(target, events.Notice)
	if err != nil {
		return err
	}
	restarted := position.epoch != 0 && events.Epoch != position.epoch
	if gap || restarted {
		events, next, err = client.List(ctx)
		f.passNotice(target, events.Notice)
		if err != nil {
			return err
		}
	}
	position.epoch = events.Epoch
	position.next = next
	events.Target = target.Name
	f.feeds.record(events)
	worker.Tell(f.options.Control, f.options.Logger, control.Message(events))
	return nil
}

// passNotice passes what a target says about itself to the control thread.
func (f *Followers) passNotice(target control.CacheTarget, notice control.Notice) {
	if notice == (control.Notice{}) {
		return
	}
	worker.Tell(f.options.Control, f.options.Logger, control.Message(control.ManagementNotice{
		Server: fleet.ServerID(target.Name), Address: target.Address, Notice: notice,
	}))
}

// Hold lets no call for the events of a target begin until the time of the command. A
// call in progress continues.
func (f *Followers) Hold(command control.HoldCacheCalls) {
	f.holds.set(command)
}
