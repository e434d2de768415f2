package mirror_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/node/mirror"
)

// brokenWatch is a service whose lists work and whose watches fail at once.
type brokenWatch struct {
	kv.Service
	lists atomic.Int64
}

func (s *brokenWatch) List(context.Context, string) ([]kv.Entry, kv.Revision, *code.Error) {
	s.lists.Add(1)
	return []kv.Entry{entryAt("op/config", 1)}, 1, nil
}

func (s *brokenWatch) Watch(context.Context, string, kv.Revision) ([]kv.Change, kv.Revision, *code.Error) {
	return nil, 0, code.New(code.RateLimited, "refused")
}

// lateWatch is a service that never reports a change.
type lateWatch struct {
	brokenWatch
	watching atomic.Int64
}

func (s *lateWatch) Watch(ctx context.Context, _ string, after kv.Revision) ([]kv.Change, kv.Revision, *code.Error) {
	s.watching.Add(1)
	defer s.watching.Add(-1)
	if !sleep(ctx, time.Second) {
		return nil, 0, code.New(code.KeyValueAway, "stopped")
	}
	return nil, after, nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// peerTimeout is how long a call to a peer that does not respond takes.
const peerTimeout = 2 * time.Second

// switchedPeer is a peer that does not respond until it works.
type switchedPeer struct {
	works  atomic.Bool
	copies atomic.Int64
}

func (p *switchedPeer) Copy(ctx context.Context, _ string, after kv.Revision, wait time.Duration) ([]kv.Change, kv.Revision, bool, *code.Error) {
	if !p.works.Load() {
		sleep(ctx, peerTimeout)
		return nil, 0, false, code.New(code.PeerAway, "no response")
	}
	if !sleep(ctx, wait) {
		return nil, 0, false, code.New(code.PeerAway, "no response")
	}
	p.copies.Add(1)
	return nil, after, after == 0, nil
}

func runFollower(t *testing.T, service kv.Service, peer mirror.Peer) *mirror.Follower {
	return runFollowerOf(t, mirror.Options{Mirror: mirror.New(), Service: service, Peer: peer, Logger: logr.Discard()})
}

func runFollowerOf(t *testing.T, options mirror.Options) *mirror.Follower {
	follower := mirror.NewFollower(options)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return follower
}

// TestFailingWatchIsNotRepeatedAtOnce guards against a node that lists and watches without
// a pause while the service refuses its watches only.
func TestFailingWatchIsNotRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &brokenWatch{}
		runFollower(t, service, nil)
		time.Sleep(10*time.Second + time.Millisecond)
		if lists := service.lists.Load(); lists < 10 || lists > 12 {
			t.Errorf("%d lists in 10 s, want one a second", lists)
		}
	})
}

// TestPeerBypassedUntilItResponds guards against a node that follows nothing while it
// waits for its peer again and again, and against one that never copies from it again.
func TestPeerBypassedUntilItResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, peer := &lateWatch{}, &switchedPeer{}
		follower := runFollower(t, service, peer)
		follower.SetSource(control.PeerTarget{Node: "n2", Address: "n2"})
		time.Sleep(peerTimeout)
		for range 35 {
			time.Sleep(time.Second + 10*time.Millisecond)
			synctest.Wait()
			// Between two watches there is a pause for a burst of changes.
			if service.watching.Load() == 0 {
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
			}
			if service.watching.Load() != 1 {
				t.Fatal("the service is not watched although the peer does not respond")
			}
		}
		peer.works.Store(true)
		time.Sleep(15 * time.Second)
		if peer.copies.Load() == 0 || service.watching.Load() != 0 {
			t.Errorf("%d copies, %d watches, want copies only", peer.copies.Load(), service.watching.Load())
		}
	})
}

// silentStore is a service whose changes reach only the callers that are not cut off. Those
// that are get no response.
type silentStore struct {
	kv.Service
	cutOff  atomic.Bool
	leaving atomic.Bool
}

// watchTimeout is how long a watch without a response takes.
const watchTimeout = 1500 * time.Millisecond

func (s *silentStore) List(ctx context.Context, _ string) ([]kv.Entry, kv.Revision, *code.Error) {
	if s.cutOff.Load() {
		sleep(ctx, time.Minute)
		return nil, 0, code.New(code.KeyValueAway, "no response")
	}
	at := kv.Revision(1)
	if s.leaving.Load() {
		at = 2
	}
	return []kv.Entry{entryAt("servers/i", at)}, at, nil
}

func (s *silentStore) Watch(ctx context.Context, _ string, after kv.Revision) ([]kv.Change, kv.Revision, *code.Error) {
	sleep(ctx, watchTimeout)
	return nil, after, code.New(code.KeyValueAway, "no response")
}

// localPeer copies the mirror of a node in the same process.
type localPeer struct {
	*mirror.Mirror
}

func (p localPeer) Copy(ctx context.Context, _ string, after kv.Revision, wait time.Duration) ([]kv.Change, kv.Revision, bool, *code.Error) {
	return p.Mirror.Copy(ctx, after, wait)
}

// TestCopyOfCutOffNode guards against a node that copies the entries from one that is cut
// off from the store and learns of a change only when its own wait has passed, long after
// that node has noticed; and against one that leaves its source for a single failed watch.
func TestCopyOfCutOffNode(t *testing.T) {
	for _, cutOff := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			source, own := &silentStore{}, &silentStore{}
			sourceMirror, ownMirror := mirror.New(), mirror.New()
			runFollowerOf(t, mirror.Options{Mirror: sourceMirror, Service: source, Logger: logr.Discard()})
			time.Sleep(700 * time.Millisecond)
			follower := runFollowerOf(t, mirror.Options{Mirror: ownMirror, Service: own, Peer: localPeer{sourceMirror}, Logger: logr.Discard()})
			follower.SetSource(control.PeerTarget{Node: "n1", Address: "n1"})
			time.Sleep(time.Millisecond)
			source.cutOff.Store(cutOff)
			own.leaving.Store(true)
			time.Sleep(watchTimeout - 400*time.Millisecond)
			if got := ownMirror.EntryRevision("servers/i"); got == 2 != cutOff {
				t.Errorf("cut off %v: the entry has revision %d 300 ms after the watch of the source has failed", cutOff, got)
			}
		})
	}
}
