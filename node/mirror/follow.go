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
	// peerCopyWait is the time that a peer waits for a change before it responds. A peer
	// that does not respond is left soon enough after it that a server that leaves gets
	// nothing two seconds after the service accepted its leaving.
	peerCopyWait = 800 * time.Millisecond
	// peerRetryInterval is the time after which a peer that did not respond is asked
	// again; the service is watched until then.
	peerRetryInterval = 10 * time.Second
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
	// ConfigKey is the key of the configuration, whose revisions are logged.
	ConfigKey string
}

// The ways in which an entry reaches the mirror, as logged.
const (
	sourceList    = "list"
	sourceWatch   = "watch"
	sourceRefresh = "refresh"
	sourcePeer    = "peer"
)

// Follower keeps a mirror up to date with the service or with the mirror of a
// peer.
type Follower struct {
	options         Options
	refreshRequests chan struct{}

	mu sync.Mutex
	// source is the peer to copy from; the zero value means the service itself.
	source control.PeerTarget
	// assigned is the source that SetSource set last. It differs from source while
	// that peer does not respond.
	assigned control.PeerTarget
	// cancelFollow cancels the call of follow in progress.
	cancelFollow context.CancelFunc
	// failing is true after a failed call of follow, until the next successful one.
	failing bool
	// loggedConfig is the newest revision of the configuration that was logged.
	loggedConfig kv.Revision
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
	f.assigned = source
	f.switchTo(source)
}

// switchTo changes the current source. The caller holds mu.
func (f *Follower) switchTo(source control.PeerTarget) {
	if f.source != source {
		f.source = source
		f.cancelFollow()
	}
}

// bypassPeer follows the service itself until the peer responds again, when the
// current source is a peer, and reports whether it is one.
func (f *Follower) bypassPeer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isPeer := f.source.Address != ""
	f.switchTo(control.PeerTarget{})
	return isPeer
}

// runPeerRetry returns to the assigned peer once it responds again.
func (f *Follower) runPeerRetry(ctx context.Context) {
	for worker.Sleep(ctx, peerRetryInterval) {
		f.mu.Lock()
		assigned, bypassed := f.assigned, f.source != f.assigned
		f.mu.Unlock()
		if !bypassed {
			continue
		}
		// Without a wait, the peer returns at once what this mirror lacks.
		if _, _, _, err := f.options.Peer.Copy(ctx, assigned.Address, f.options.Mirror.Revision(), 0); err != nil {
			continue
		}
		f.mu.Lock()
		if f.assigned == assigned {
			f.switchTo(assigned)
		}
		f.mu.Unlock()
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
	group.Go(func() { f.runPeerRetry(ctx) })
	var retriedAt time.Time
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		// After code.HistoryGone, follow reads all entries again.
		if err == nil || err.Code == code.HistoryGone {
			continue
		}
		f.recordFailure(err)
		if f.bypassPeer() {
			continue
		}
		// The service is read again at once, because a watch that has gone silent fails
		// when changes may be due already, but no more often than retryInterval.
		if time.Since(retriedAt) < retryInterval && !worker.Sleep(ctx, retryInterval) {
			break
		}
		retriedAt = time.Now()
	}
	group.Wait()
}

// recordFailure records a failed call to the current source. It logs the first one
// after a successful call.
func (f *Follower) recordFailure(err *code.Error) {
	f.options.Mirror.RecordCall(err)
	f.mu.Lock()
	first, source := !f.failing, f.source.Node
	f.failing = true
	f.mu.Unlock()
	if first {
		eventlog.Write(f.options.Logger, event.EntryFeedFailed, err, "source", source, "code", int(err.Code))
	}
}

// recordSuccess records a successful call to the current source. It logs the first one
// after a failed call.
func (f *Follower) recordSuccess() {
	f.options.Mirror.RecordCall(nil)
	f.mu.Lock()
	recovered, source := f.failing, f.source.Node
	f.failing = false
	f.mu.Unlock()
	if recovered {
		eventlog.Write(f.options.Logger, event.EntryFeedRecovered, nil, "source", source)
	}
}

// logConfig logs a new revision of the configuration with the way in which it reached
// the mirror and the peer that it was copied from, if any.
func (f *Follower) logConfig(way, peer string) {
	revision := f.options.Mirror.EntryRevision(f.options.ConfigKey)
	f.mu.Lock()
	isNew := revision > f.loggedConfig
	f.loggedConfig = max(f.loggedConfig, revision)
	f.mu.Unlock()
	if isNew {
		eventlog.Write(f.options.Logger, event.ConfigReceived, nil, "revision", uint64(revision), "source", way, "peer", peer)
	}
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
		err = f.copyPeer(ctx, source)
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
	at, err := f.readAll(ctx, sourceList)
	for err == nil {
		var changes []kv.Change
		changes, at, err = f.options.Service.Watch(ctx, "", at)
		if err != nil {
			return err
		}
		if err := f.options.Mirror.Apply(changes, at); err != nil {
			return err
		}
		f.logConfig(sourceWatch, "")
		if !worker.Sleep(ctx, batchDelay) {
			return nil
		}
	}
	return err
}

// readAll reads all entries of the service and returns the revision of the list. way is
// the way in which the entries reach the mirror, for the log.
func (f *Follower) readAll(ctx context.Context, way string) (kv.Revision, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, at, err := f.options.Service.List(ctx, "")
	if err != nil {
		return 0, err
	}
	f.recordSuccess()
	if err := f.options.Mirror.Replace(entries, at); err != nil {
		return 0, err
	}
	f.logConfig(way, "")
	return at, nil
}

// copyPeer copies the mirror of a peer until the context is cancelled or a call
// fails. The first call, from revision 0, returns all entries.
func (f *Follower) copyPeer(ctx context.Context, source control.PeerTarget) *code.Error {
	at := kv.Revision(0)
	for ctx.Err() == nil {
		changes, next, snapshot, err := f.options.Peer.Copy(ctx, source.Address, at, peerCopyWait)
		if err != nil {
			return err
		}
		f.recordSuccess()
		if snapshot {
			err = f.options.Mirror.Replace(existingEntries(changes), next)
		} else {
			err = f.options.Mirror.Apply(changes, next)
		}
		if err != nil {
			return err
		}
		f.logConfig(sourcePeer, source.Node)
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
			if _, err := f.readAll(ctx, sourceRefresh); err != nil && ctx.Err() == nil {
				f.options.Mirror.RecordCall(err)
				eventlog.Write(f.options.Logger, event.ServiceCallFailed, err, "call", "read all entries", "code", int(err.Code))
			}
		}
	}
}
