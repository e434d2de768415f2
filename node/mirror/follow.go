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
	// settlePause is the time between two watches, in which changes that come
	// together are collected.
	settlePause = 100 * time.Millisecond
	// copyWait is how long a peer may wait for a change before it answers.
	copyWait = 2 * time.Second
)

// Peer copies the mirror of another node.
type Peer interface {
	// Copy returns the changes of the peer's mirror after a revision, or all
	// entries when whole is true. It returns code.PeerAway.
	Copy(ctx context.Context, address string, after kv.Revision, wait time.Duration) (changes []kv.Change, at kv.Revision, whole bool, err *code.Error)
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
	options Options
	refresh chan struct{}

	mu sync.Mutex
	// source is the peer to copy from; empty means the service itself.
	source control.PeerTarget
	// restart ends the present watch.
	restart context.CancelFunc
}

// NewFollower returns a follower that does not run yet.
func NewFollower(options Options) *Follower {
	return &Follower{options: options, refresh: make(chan struct{}, 1), restart: func() {}}
}

// SetSource changes where the mirror is copied from.
func (f *Follower) SetSource(source control.PeerTarget) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != source {
		f.source = source
		f.restart()
	}
}

// Refresh reads all entries of the service once. It does not block.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
		// A read is already due.
	}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.runRefresh(ctx) })
	lost := false
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		if err == nil || err.Code == code.HistoryGone {
			lost = false
			continue
		}
		f.options.Mirror.NoteCall(err)
		if !lost {
			eventlog.Write(f.options.Logger, event.EntryFeedFailed, err, "source", f.present().Node, "code", int(err.Code))
		}
		lost = true
		if f.present().Address != "" {
			// The service itself stands in for a peer that does not answer.
			f.SetSource(control.PeerTarget{})
			continue
		}
		if !worker.Sleep(ctx, retryInterval) {
			break
		}
	}
	group.Wait()
}

func (f *Follower) present() control.PeerTarget {
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
	f.restart = cancel
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
		if !worker.Sleep(ctx, settlePause) {
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
	f.options.Mirror.NoteCall(nil)
	f.options.Mirror.Replace(entries, at)
	return at, nil
}

func (f *Follower) copyPeer(ctx context.Context, address string) *code.Error {
	at := kv.Revision(0)
	for ctx.Err() == nil {
		changes, next, whole, err := f.options.Peer.Copy(ctx, address, at, copyWait)
		if err != nil {
			return err
		}
		f.options.Mirror.NoteCall(nil)
		if whole {
			f.options.Mirror.Replace(entriesOf(changes), next)
		} else {
			f.options.Mirror.Apply(changes, next)
		}
		at = next
	}
	return nil
}

func entriesOf(changes []kv.Change) []kv.Entry {
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
		case <-f.refresh:
			if _, err := f.readAll(ctx); err != nil && ctx.Err() == nil {
				f.options.Mirror.NoteCall(err)
				eventlog.Write(f.options.Logger, event.ServiceCallFailed, err, "call", "read all entries", "code", int(err.Code))
			}
		}
	}
}
