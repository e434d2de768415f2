package kv_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	"tanagerspread/standin/fault"
	standin "tanagerspread/standin/kv"
	"tanagerspread/standin/pipe"
)

func codeOf(err *code.Error) code.Code {
	if err == nil {
		return 0
	}
	return err.Code
}

func put(t *testing.T, s kv.Service, key string, expected kv.Revision, lease kv.LeaseID) kv.Revision {
	t.Helper()
	revision, err := s.Put(context.Background(), kv.Write{Key: key, Value: []byte(key), Expected: expected, Lease: lease})
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// TestClient guards against a client and a service that implement the protocol
// differently: escaped keys, compare-and-swap, large values, watches and codes.
func TestClient(t *testing.T) {
	ctx := context.Background()
	server := httptest.NewServer(standin.NewStore(standin.Options{}).Handler())
	defer server.Close()
	client := kv.NewClient(wire.Options{Address: strings.TrimPrefix(server.URL, "http://")})
	defer client.Close()
	key := "once/castlereagh/a//b %?"
	revision := put(t, client, key, kv.Absent, "")
	if _, err := client.Put(ctx, kv.Write{Key: key, Expected: kv.Absent}); codeOf(err) != code.CompareFailed {
		t.Errorf("second create: got %v, want compare-failed", err)
	}
	large := kv.Write{Key: key, Value: make([]byte, kv.MaxValueBytes), Expected: revision}
	second, err := client.Put(ctx, large)
	if err != nil {
		t.Fatal(err)
	}
	entry, err := client.Get(ctx, key)
	if err != nil || len(entry.Value) != kv.MaxValueBytes || entry.Revision != second {
		t.Errorf("get: %d bytes, revision %d, error %v", len(entry.Value), entry.Revision, err)
	}
	changes, _, err := client.Watch(ctx, "once/", revision)
	if err != nil || len(changes) != 1 || changes[0].Entry.Key != key {
		t.Errorf("watch: got %d changes, error %v", len(changes), err)
	}
	if err := client.Delete(ctx, key, revision); codeOf(err) != code.CompareFailed {
		t.Errorf("delete of an old revision: got %v, want compare-failed", err)
	}
	if err := client.Delete(ctx, key, second); err != nil {
		t.Error(err)
	}
	if _, err := client.Get(ctx, key); codeOf(err) != code.KeyMissing {
		t.Errorf("get after delete: got %v, want key-missing", err)
	}
}

// TestLeaseExpiry guards against keys that are not deleted when their lease
// expires, and against an expiry that watches do not return.
func TestLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := standin.NewStore(standin.Options{})
		lease, err := s.Grant(ctx, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		revision := put(t, s, "nodes/n1", kv.Absent, lease)
		time.Sleep(9 * time.Second)
		if err := s.Renew(ctx, lease); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		changes, _, err := s.Watch(ctx, "nodes/", revision)
		if err != nil || len(changes) != 1 || !changes[0].Deleted {
			t.Fatalf("watch: %+v, error %v", changes, err)
		}
		if waited := time.Since(start); waited != 10*time.Second {
			t.Errorf("the lease expired after %v, want 10s after its renewal", waited)
		}
		if err := s.Renew(ctx, lease); codeOf(err) != code.LeaseLapsed {
			t.Errorf("renewal after the expiry: got %v, want lease-lapsed", err)
		}
	})
}

// TestFaults guards against injected faults that do not have the effect on which
// the tests of the nodes rely: lost responses, an unreachable service, restored
// snapshots and rate limits.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := standin.NewStore(standin.Options{WriteRate: 2})
		s.LoseNextResponses(1)
		if _, err := s.Put(ctx, kv.Write{Key: "a"}); codeOf(err) != code.KeyValueAway {
			t.Errorf("lost response: got %v, want key-value-away", err)
		}
		if entry, err := s.Get(ctx, "a"); err != nil || entry.Revision != 1 {
			t.Errorf("the write of a lost response did not take effect: %v", err)
		}
		snapshot := s.Snapshot()
		put(t, s, "b", kv.Absent, "")
		if _, err := s.Put(ctx, kv.Write{Key: "c"}); codeOf(err) != code.RateLimited {
			t.Errorf("third write in one second: got %v, want rate-limited", err)
		}
		s.Restore(snapshot)
		start := time.Now()
		if changes, revision, err := s.Watch(ctx, "", 2); err != nil || len(changes) != 0 || revision != 1 {
			t.Errorf("watch after a restore: %+v, revision %d, error %v", changes, revision, err)
		}
		if waited := time.Since(start); waited != 0 {
			t.Errorf("the watch waited %v, want an immediate return", waited)
		}
		s.SetUnreachable(true)
		if _, err := s.Get(ctx, "a"); codeOf(err) != code.KeyValueAway {
			t.Errorf("unreachable service: got %v, want key-value-away", err)
		}
		if calls := s.Calls(); calls[standin.OpPut] != 3 || calls[standin.OpWatch] != 1 {
			t.Errorf("calls: %v", calls)
		}
	})
}

// TestDelayAndLostResponses guards against injected faults that do not have the
// effect on which the tests of leases and of read-back rely: delayed calls, a lost
// response of every n-th write, and a lease that expires immediately.
func TestDelayAndLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := standin.NewStore(standin.Options{})
		lease, err := s.Grant(ctx, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		put(t, s, "leased", kv.Absent, lease)
		s.ExpireLease(lease)
		if _, err := s.Get(ctx, "leased"); codeOf(err) != code.KeyMissing {
			t.Errorf("key of an expired lease: got %v, want key-missing", err)
		}
		s.LoseResponseEvery(2)
		put(t, s, "a", kv.Absent, "")
		if _, err := s.Put(ctx, kv.Write{Key: "b"}); codeOf(err) != code.KeyValueAway {
			t.Errorf("second write: got %v, want key-value-away", err)
		}
		s.SetDelay(3 * time.Second)
		start := time.Now()
		if _, err := s.Get(ctx, "b"); err != nil || time.Since(start) != 3*time.Second {
			t.Errorf("delayed call: error %v after %v", err, time.Since(start))
		}
	})
}

// TestStalledConnections guards against a client that continues to use its idle
// connections after one of them has stalled without an error.
func TestStalledConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipe.NewNetwork()
		listener := fault.Wrap(network.Listen("kv:80"))
		s := standin.NewStore(standin.Options{})
		server := &http.Server{Handler: s.Handler()}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		client := kv.NewClient(wire.Options{Address: "kv:80", Dial: network.Dial})
		defer client.Close()
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { _, _, _ = client.Watch(t.Context(), "", 0) })
		}
		synctest.Wait()
		put(t, s, "a", kv.Absent, "")
		wg.Wait()
		listener.Stall()
		start := time.Now()
		if _, err := client.Get(t.Context(), "a"); codeOf(err) != code.KeyValueAway || time.Since(start) != wire.DefaultTimeout {
			t.Errorf("stalled connection: got %v after %v", err, time.Since(start))
		}
		if _, err := client.Get(t.Context(), "a"); err != nil {
			t.Errorf("next call: %v", err)
		}
	})
}
