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
	// retryInterval is the time after a failed read or watch before the next one.
	retryInterval = time.Second
	// batchDelay is the pause between two watches, so that one watch returns all
	// changes of a burst.
	batchDelay = 100 * time.Millisecond
	// peerCopyWait is the time that a peer waits for a change before it responds.
	peerCopyWait = 2 * time.Second
)

// Peer copies the mirror of another node.
type Peer interface {
	// Copy returns the changes of the peer's mirror after a revision, or all
	// entries when snapshot is true. The peer waits up to wait for a change. Copy
	// returns code.PeerAway when the call fails.
	Copy(ctx context.Context, address string, after kv.Revision, wait time.Duration) (changes []kv.Change, at kv.Revision, snapshot bool, err *code.Error)
}

// Options configures a follower.
type Options struct {
	Mirror  *Mirror
	Service kv.Service
	Peer    Peer
	Logger  logr.Logger
}

// Follower keeps a mirror up to date with the service or with the mirror of a
// peer.
type Follower struct {
	options         Options
	refreshRequests chan struct{}

	mu sync.Mutex
	// source is the peer to copy from; the zero value means the service itself.
	source control.PeerTarget
	// cancelFollow cancels the call of follow in progress.
	cancelFollow context.CancelFunc
}

// NewFollower returns a follower. Run starts it.
func NewFollower(options Options) *Follower {
	return &Follower{options: options, refreshRequests: make(chan struct{}, 1), cancelFollow: func() {}}
}

// SetSource sets the peer from which the mirror is copied; the zero value means
// the service itself.
func (f *Follower) SetSource(source control.PeerTarget) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != source {
		f.source = source
		f.cancelFollow()
	}
}

// Refresh requests one read of all entries of the service. It does not block.
func (f *Follower) Refresh() {
	select {
	case f.refreshRequests <- struct{}{}:
	default:
		// A read is already requested.
	}
}

// Run keeps the mirror up to date until the context is cancelled.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.runRefresh(ctx) })
	unreachable := false
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		// After code.HistoryGone, follow reads all entries again.
		if err == nil || err.Code == code.HistoryGone {
			unreachable = false
			continue
		}
		f.options.Mirror.RecordCall(err)
		if !unreachable {
			eventlog.Write(f.options.Logger, event.EntryFeedFailed, err, "source", f.currentSource().Node, "code", int(err.Code))
		}
		unreachable = true
		if f.currentSource().Address != "" {
			// The peer is unreachable; continue with the service itself.
			f.SetSource(control.PeerTarget{})
			continue
		}
		if !worker.Sleep(ctx, retryInterval) {
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

// follow copies from the current source until the source changes, for which it
// returns nil, or a call fails.
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

// watchService reads all entries of the service and applies its changes until the
// context is cancelled or a call fails.
func (f *Follower) watchService(ctx context.Context) *code.Error {
	at, err := f.readAll(ctx)
	for err == nil {
		var changes []kv.Change
		changes, at, err = f.options.Service.Watch(ctx, "", at)
		if err != nil {
			return err
		}
		f.options.Mirror.Apply(changes, at)
		if !worker.Sleep(ctx, batchDelay) {
			return nil
		}
	}
	return err
}

// readAll reads all entries of the service and returns the revision of the list.
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

// copyPeer copies the mirror of a peer until the context is cancelled or a call
// fails. The first call, from revision 0, returns all entries.
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

// existingEntries returns the entries of the changes that are not deletions.
func existingEntries(changes []kv.Change) []kv.Entry {
	entries := make([]kv.Entry, 0, len(changes))
	for _, change := range changes {
		if !change.Deleted {
			entries = append(entries, change.Entry)
		}
	}
	return entries
}

// runRefresh reads all entries whenever a read is requested.
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
