package store_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/client/store"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	"tanagerspread/standin/pipe"
	standin "tanagerspread/standin/store"
)

const blockBytes = 1000

func codeOf(err *code.Error) code.Code {
	if err == nil {
		return 0
	}
	return err.Code
}

// startStore serves a store VM on an in-memory network and returns a client of it.
func startStore(t *testing.T, s *standin.Store) *store.Client {
	t.Helper()
	network := pipe.NewNetwork()
	server := &http.Server{Handler: s.Handler()}
	listener := network.Listen("store:80")
	go func() { _ = server.Serve(listener) }()
	client := store.NewClient(wire.Options{Address: "store:80", Dial: network.Dial})
	t.Cleanup(func() {
		client.Close()
		_ = server.Close()
	})
	return client
}

func content(key string) []byte {
	return bytes.Repeat([]byte(key), blockBytes)[:blockBytes]
}

func put(client *store.Client, key string) *code.Error {
	return client.PutBlock(context.Background(), store.NewMeta(key, 1, content(key)), content(key))
}

// TestPins guards against freeing a pinned block that an import uses, and against
// pins that do not expire.
func TestPins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		// Each of the two tiers has room for one block, so two blocks fill the store.
		client := startStore(t, standin.New(standin.Options{MemoryBytes: blockBytes, DiskBytes: blockBytes}))
		for _, key := range []string{"a", "b"} {
			if err := put(client, key); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := client.Pin(ctx, []string{"a", "b"}, time.Minute); err != nil {
			t.Fatal(err)
		}
		if err := put(client, "c"); codeOf(err) != code.StoreFull {
			t.Errorf("all blocks pinned: got %v, want store-full", err)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if err := put(client, "c"); err != nil {
			t.Errorf("after the pin expired: %v", err)
		}
		if _, _, err := client.GetBlock(ctx, "a"); codeOf(err) != code.BlockMissing {
			t.Errorf("least recently used block: got %v, want block-missing", err)
		}
	})
}

// TestPartialWrite guards against serving a block that was partly received, is
// truncated or is corrupted.
func TestPartialWrite(t *testing.T) {
	ctx := context.Background()
	s := standin.New(standin.Options{MemoryBytes: 1 << 20})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client := store.NewClient(wire.Options{Address: strings.TrimPrefix(server.URL, "http://")})
	defer client.Close()
	meta := store.NewMeta("a", 1, content("a"))
	if err := client.PutBlock(ctx, meta, content("a")[:blockBytes/2]); codeOf(err) != code.BlockInvalid {
		t.Errorf("block cut in half: got %v, want block-invalid", err)
	}
	manifest := store.Manifest{Key: "a", Blocks: []store.Meta{meta}}
	if err := client.PutManifest(ctx, manifest); codeOf(err) != code.BlockMissing {
		t.Errorf("manifest without its block: got %v, want block-missing", err)
	}
	for _, damage := range []func(){func() { s.TruncateBlock("a", blockBytes/2) }, func() { s.CorruptBlock("a") }} {
		if err := put(client, "a"); err != nil {
			t.Fatal(err)
		}
		damage()
		if _, _, err := client.GetBlock(ctx, "a"); codeOf(err) != code.BlockInvalid {
			t.Errorf("truncated or corrupted block: got %v, want block-invalid", err)
		}
	}
	s.SetFull(true)
	if err := put(client, "b"); codeOf(err) != code.StoreFull {
		t.Errorf("full store: got %v, want store-full", err)
	}
	s.Crash()
	if err := put(client, "a"); codeOf(err) != code.StoreAway {
		t.Errorf("crashed store VM: got %v, want store-away", err)
	}
}

// TestManifest guards against a manifest that outlives one of its blocks.
func TestManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		// The memory tier has room for two blocks and there is no disk tier, so a
		// third block replaces the least recently used one.
		client := startStore(t, standin.New(standin.Options{MemoryBytes: 2 * blockBytes}))
		manifest := store.Manifest{Key: "b"}
		for _, key := range []string{"a", "b"} {
			if err := put(client, key); err != nil {
				t.Fatal(err)
			}
			manifest.Blocks = append(manifest.Blocks, store.NewMeta(key, 1, content(key)))
		}
		if err := client.PutManifest(ctx, manifest); err != nil {
			t.Fatal(err)
		}
		longest, err := client.Find(ctx, []string{"a", "b", "c"})
		if err != nil || longest.Key != "b" || len(longest.Blocks) != 2 {
			t.Errorf("find: %+v, error %v", longest, err)
		}
		if err := put(client, "c"); err != nil {
			t.Fatal(err)
		}
		if _, err := client.Find(ctx, []string{"a", "b", "c"}); codeOf(err) != code.BlockMissing {
			t.Errorf("after a block was freed: got %v, want block-missing", err)
		}
	})
}

// TestLink guards against a link without rate limit and against an ignored delay.
func TestLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Options{MemoryBytes: 1 << 20, LinkRate: 1000})
		client := startStore(t, s)
		start := time.Now()
		if err := put(client, "a"); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took < 900*time.Millisecond || took > 1100*time.Millisecond {
			t.Errorf("1000 bytes at 1000 bytes/s took %v", took)
		}
		s.SetLinkRate(100)
		s.SetDelay(5 * time.Second)
		start = time.Now()
		if _, _, err := client.GetBlock(context.Background(), "a"); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took < 14*time.Second {
			t.Errorf("1000 bytes at 100 bytes/s after a delay of 5s took %v", took)
		}
	})
}
