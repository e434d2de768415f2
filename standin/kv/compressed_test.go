package kv_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"tanagerspread/client/kv"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	standin "tanagerspread/standin/kv"
)

// countingConn counts the bytes that a client reads and writes.
type countingConn struct {
	net.Conn
	total *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.total.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// TestCompressedValue guards against sending the configuration uncompressed to
// each node. It logs the byte counts that docs/CAPACITY.md lists.
func TestCompressedValue(t *testing.T) {
	s := standin.NewStore(standin.Options{})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	total := &atomic.Int64{}
	client := kv.NewClient(wire.Options{
		Address: strings.TrimPrefix(server.URL, "http://"),
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, total}, err
		},
	})
	defer client.Close()
	value := []byte(strings.Repeat("organisation-0001 = rate=10/s burst=20 ; M. Tasker\n", 6000))
	if _, err := s.Put(t.Context(), kv.Write{Key: "config/current", Value: value}); err != nil {
		t.Fatal(err)
	}
	measure := func(name string, run func() *code.Error) int64 {
		before := total.Load()
		if err := run(); err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d bytes with headers", name, total.Load()-before)
		return total.Load() - before
	}
	watch := func() *code.Error {
		changes, _, err := client.Watch(t.Context(), "config/current", 0)
		if err == nil && string(changes[0].Entry.Value) != string(value) {
			t.Error("the watch returned another value")
		}
		return err
	}
	read := func() *code.Error {
		_, err := client.Get(t.Context(), "config/current")
		return err
	}
	if got := measure("watch", watch); got > int64(len(value)/5) {
		t.Errorf("a watch took %d bytes for a value of %d", got, len(value))
	}
	measure("first read", read)
	measure("unchanged read", read)
	lease, err := client.Grant(t.Context(), kv.WatchWait)
	if err != nil {
		t.Fatal(err)
	}
	measure("renewal", func() *code.Error { return client.Renew(t.Context(), lease) })
}
