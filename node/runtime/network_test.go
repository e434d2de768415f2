package runtime_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
)

// network connects nodes in memory. Writes to a connection between separated
// addresses are dropped without an error, like packets on a broken link.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	isolated  map[string]bool
	// partition holds the addresses on one side of a network partition.
	partition    map[string]bool
	writtenBytes atomic.Int64
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, isolated: map[string]bool{}}
}

// address is the net.Addr of a listener.
type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// listener accepts the connections that dialers open to its address.
type listener struct {
	net     *network
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (n *network) listen(addr string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{net: n, address: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

// setIsolated starts or stops dropping all traffic from and to an address.
func (n *network) setIsolated(addr string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[addr] = isolated
}

// separated reports whether no traffic passes between the addresses.
func (n *network) separated(ends ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, end := range ends {
		if n.isolated[end] || n.partition[end] != n.partition[ends[0]] {
			return true
		}
	}
	return false
}

// setPartition separates the given addresses from all others; a call without
// addresses heals the partition. Only peer addresses may be given, because all
// other addresses must stay on one side.
func (n *network) setPartition(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partition = map[string]bool{}
	for _, addr := range addresses {
		n.partition[addr] = true
	}
}

// dialer returns the dial function of the node at an address. A dial to an
// unreachable address blocks until its context ends.
func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		// net/http appends the default port to an address without one, while
		// listeners are registered by the address alone.
		to = strings.TrimSuffix(to, ":80")
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil || n.separated(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, far := net.Pipe()
		select {
		case l.conns <- &link{Conn: far, net: n, ends: []string{from, to}}:
			return &link{Conn: near, net: n, ends: []string{from, to}}, nil
		case <-l.closed:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// link is one end of a connection. It drops writes while the ends are separated.
type link struct {
	net.Conn
	net  *network
	ends []string
}

func (l *link) Write(p []byte) (int, error) {
	if l.net.separated(l.ends...) {
		return len(p), nil
	}
	l.net.writtenBytes.Add(int64(len(p)))
	return l.Conn.Write(p)
}

// kvConnection is the connection of one node to the key-value service.
type kvConnection struct {
	kv.Service
	unreachable atomic.Bool
}

// err returns code.KeyValueAway while the service is unreachable for the node.
func (c *kvConnection) err() *code.Error {
	if c.unreachable.Load() {
		return code.New(code.KeyValueAway, "unreachable")
	}
	return nil
}

func (c *kvConnection) Get(ctx context.Context, key string) (kv.Entry, *code.Error) {
	if err := c.err(); err != nil {
		return kv.Entry{}, err
	}
	return c.Service.Get(ctx, key)
}

func (c *kvConnection) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, *code.Error) {
	if err := c.err(); err != nil {
		return nil, 0, err
	}
	return c.Service.List(ctx, prefix)
}

func (c *kvConnection) Put(ctx context.Context, w kv.Write) (kv.Revision, *code.Error) {
	if err := c.err(); err != nil {
		return 0, err
	}
	return c.Service.Put(ctx, w)
}

func (c *kvConnection) Delete(ctx context.Context, key string, expected kv.Revision) *code.Error {
	if err := c.err(); err != nil {
		return err
	}
	return c.Service.Delete(ctx, key, expected)
}

func (c *kvConnection) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, *code.Error) {
	if err := c.err(); err != nil {
		return "", err
	}
	return c.Service.Grant(ctx, ttl)
}

func (c *kvConnection) Renew(ctx context.Context, lease kv.LeaseID) *code.Error {
	if err := c.err(); err != nil {
		return err
	}
	return c.Service.Renew(ctx, lease)
}

// Watch fails instead of returning changes that arrive while the service is
// unreachable.
func (c *kvConnection) Watch(ctx context.Context, prefix string, after kv.Revision) ([]kv.Change, kv.Revision, *code.Error) {
	if err := c.err(); err != nil {
		return nil, 0, err
	}
	changes, revision, err := c.Service.Watch(ctx, prefix, after)
	if connErr := c.err(); connErr != nil {
		return nil, 0, connErr
	}
	return changes, revision, err
}
