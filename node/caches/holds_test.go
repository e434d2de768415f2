package caches_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/node/caches"
)

// countingClient counts the calls for events.
type countingClient struct {
	calls atomic.Int32
}

func (c *countingClient) Events(ctx context.Context, _ uint64, wait time.Duration) (events control.CacheEvents, next uint64, gap bool, _ *code.Error) {
	c.calls.Add(1)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return control.CacheEvents{}, 0, false, nil
}

func (c *countingClient) List(context.Context) (events control.CacheEvents, next uint64, _ *code.Error) {
	return control.CacheEvents{}, 0, nil
}
func (c *countingClient) Free(context.Context, control.FreeParts) *code.Error { return nil }
func (c *countingClient) Close()                                              {}

type ignoringControl struct{}

func (ignoringControl) Tell(control.Message) bool { return true }

// TestHoldEndsEarly guards against a follower that calls a target in the time for which
// it wants none, and against one that waits until its end although another process has
// replaced the target.
func TestHoldEndsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &countingClient{}
		followers := caches.New(caches.Options{
			Control: ignoringControl{}, Logger: logr.Discard(), Connect: func(string) caches.Client { return client },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			followers.Run(ctx)
		}()
		followers.Follow(control.FollowCaches{Targets: []control.CacheTarget{{Name: "e", Address: "a:1", Wait: time.Second}}})
		time.Sleep(1500 * time.Millisecond)
		hold := control.HoldCacheCalls{Target: "e", Address: "a:1", Until: time.Now().Add(time.Minute)}
		followers.Hold(hold)
		time.Sleep(time.Second)
		before := client.calls.Load()
		time.Sleep(10 * time.Second)
		if calls := client.calls.Load() - before; calls != 0 {
			t.Errorf("%d calls in the time for which the target wants none", calls)
		}
		hold.Until = time.Now()
		followers.Hold(hold)
		time.Sleep(time.Second)
		if client.calls.Load() == before {
			t.Error("no call a second after the hold has ended")
		}
		cancel()
		<-done
	})
}
