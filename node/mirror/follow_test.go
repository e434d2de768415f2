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
	follower := mirror.NewFollower(mirror.Options{Mirror: mirror.New(), Service: service, Peer: peer, Logger: logr.Discard()})
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
