package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/worker"
)

const (
	// listTimeout bounds one read of all entries.
	listTimeout = 2 * time.Second
	// retryInterval is the time before a failed read or watch is repeated.
	retryInterval = time.Second
	// batchDelay is the time between two watches, in which changes that come
	// together are collected.
	batchDelay = 100 * time.Millisecond
	// peerCopyWait is how long a peer may wait for a change before it answers.
	peerCopyWait = 2 * time.Second
)

// Peer copies the mirror of another node.
type Peer interface {
	// Copy returns the changes of the peer's mirror after a revision, or all
	// entries when whole is true. It returns code.PeerAway.
	Copy(ctx context.Context, address string, after kv.Revision, wait time.Duration) (changes []kv.Change, at kv.Revision, snapshot bool, err *code.Error)
}

// Options configures a follower.
type Options struct {
	Mirror  *Mirror
	Service kv.Service
	Peer    Peer
	Logger  logr.Logger
}

// Follower keeps a mirror up to date.
type Follower struct {
	options         Options
	refreshRequests chan struct{}

	mu sync.Mutex
	// source is the peer to copy from; empty means the service itself.
	source control.PeerTarget
	// cancelFollow ends the present watch.
	cancelFollow context.CancelFunc
}

// NewFollower returns a follower that does not run yet.
func NewFollower(options Options) *Follower {
	return &Follower{options: options, refreshRequests: make(chan struct{}, 1), cancelFollow: func() {}}
}

// SetSource changes where the mirror is copied from.
func (f *Follower) SetSource(source control.PeerTarget) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != source {
		f.source = source
		f.cancelFollow()
	}
}

// Refresh reads all entries of the service once. It does not block.
func (f *Follower) Refresh() {
	select {
	case f.refreshRequests <- struct{}{}:
	default:
		// A read is already due.
	}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.runRefresh(ctx) })
	unreachable := false
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		if err == nil || err.Code == code.HistoryGone {
			unreachable = false
			continue
		}
		f.options.Mirror.RecordCall(err)
		if !unreachable {
			eventlog.Write(f.options.Logger, event.EntriesLost, err, "source", f.currentSource().Node, "code", int(err.Code))
		}
		unreachable = true
		if f.currentSource().Address != "" {
			// The service itself stands in for a peer that does not answer.
			f.SetSource(control.PeerTarget{})
			continue
		}
		if !worker.Pause(ctx, retryInterval) {
			break
		}
	}
	group.Wait()
}

func (f *Follower) currentSource() control.PeerTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source
}

// follow copies from the present source until it changes or a call fails.
func (f *Follower) follow(parent context.Context) *code.Error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	f.mu.Lock()
	source := f.source
	f.cancelFollow = cancel
	f.mu.Unlock()
	var err *code.Error
	if source.Address == "" {
		err = f.watchService(ctx)
	} else {
		err = f.copyPeer(ctx, source.Address)
	}
	if ctx.Err() != nil && parent.Err() == nil {
		// The source has changed.
		return nil
	}
	return err
}

func (f *Follower) watchService(ctx context.Context) *code.Error {
	at, err := f.readAll(ctx)
	for err == nil {
		var changes []kv.Change
		changes, at, err = f.options.Service.Watch(ctx, "", at)
		if err != nil {
			return err
		}
		f.options.Mirror.Apply(changes, at)
		if !worker.Pause(ctx, batchDelay) {
			return nil
		}
	}
	return err
}

// readAll reads all entries of the service.
func (f *Follower) readAll(ctx context.Context) (kv.Revision, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, at, err := f.options.Service.List(ctx, "")
	if err != nil {
		return 0, err
	}
	f.options.Mirror.RecordCall(nil)
	f.options.Mirror.Replace(entries, at)
	return at, nil
}

func (f *Follower) copyPeer(ctx context.Context, address string) *code.Error {
	at := kv.Revision(0)
	for ctx.Err() == nil {
		changes, next, snapshot, err := f.options.Peer.Copy(ctx, address, at, peerCopyWait)
		if err != nil {
			return err
		}
		f.options.Mirror.RecordCall(nil)
		if snapshot {
			f.options.Mirror.Replace(existingEntries(changes), next)
		} else {
			f.options.Mirror.Apply(changes, next)
		}
		at = next
	}
	return nil
}

func existingEntries(changes []kv.Change) []kv.Entry {
	entries := make([]kv.Entry, 0, len(changes))
	for _, change := range changes {
		if !change.Deleted {
			entries = append(entries, change.Entry)
		}
	}
	return entries
}

func (f *Follower) runRefresh(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.refreshRequests:
			if _, err := f.readAll(ctx); err != nil && ctx.Err() == nil {
				f.options.Mirror.RecordCall(err)
				eventlog.Write(f.options.Logger, event.ServiceCallFailed, err, "call", "read all entries", "code", int(err.Code))
			}
		}
	}
}
