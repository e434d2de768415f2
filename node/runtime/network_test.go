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

// network connects nodes in memory. A cut link drops what is written to it,
// as a connection that has gone silent does.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[string]bool
	// halves holds the addresses of one of two halves between which nothing
	// passes.
	halves  map[string]bool
	written atomic.Int64
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, cut: map[string]bool{}}
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

type listener struct {
	net     *network
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (n *network) listen(at string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{net: n, address: at, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[at] = l
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

// setCut cuts or heals all links of an address.
func (n *network) setCut(at string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[at] = cut
}

func (n *network) isCut(ends ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, end := range ends {
		if n.cut[end] || n.halves[end] != n.halves[ends[0]] {
			return true
		}
	}
	return false
}

// setHalves separates the given addresses from those that are not given; none
// heals the network. Only peers may be given, since all else is in one half.
func (n *network) setHalves(half ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.halves = map[string]bool{}
	for _, at := range half {
		n.halves[at] = true
	}
}

// dialer returns the dial function of the node at an address.
func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		to = strings.TrimSuffix(to, ":80")
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil || n.isCut(from, to) {
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

type link struct {
	net.Conn
	net  *network
	ends []string
}

func (l *link) Write(p []byte) (int, error) {
	if l.net.isCut(l.ends...) {
		return len(p), nil
	}
	l.net.written.Add(int64(len(p)))
	return l.Conn.Write(p)
}

// gate is one node's way to the key-value service.
type gate struct {
	kv.Service
	shut atomic.Bool
}

func (g *gate) err() *code.Error {
	if g.shut.Load() {
		return code.New(code.KeyValueAway, "cut off")
	}
	return nil
}

func (g *gate) Get(ctx context.Context, key string) (kv.Entry, *code.Error) {
	if err := g.err(); err != nil {
		return kv.Entry{}, err
	}
	return g.Service.Get(ctx, key)
}

func (g *gate) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, *code.Error) {
	if err := g.err(); err != nil {
		return nil, 0, err
	}
	return g.Service.List(ctx, prefix)
}

func (g *gate) Put(ctx context.Context, w kv.Write) (kv.Revision, *code.Error) {
	if err := g.err(); err != nil {
		return 0, err
	}
	return g.Service.Put(ctx, w)
}

func (g *gate) Delete(ctx context.Context, key string, expected kv.Revision) *code.Error {
	if err := g.err(); err != nil {
		return err
	}
	return g.Service.Delete(ctx, key, expected)
}

func (g *gate) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, *code.Error) {
	if err := g.err(); err != nil {
		return "", err
	}
	return g.Service.Grant(ctx, ttl)
}

func (g *gate) Renew(ctx context.Context, lease kv.LeaseID) *code.Error {
	if err := g.err(); err != nil {
		return err
	}
	return g.Service.Renew(ctx, lease)
}

// Watch holds back changes that arrive while the gate is shut.
func (g *gate) Watch(ctx context.Context, prefix string, after kv.Revision) ([]kv.Change, kv.Revision, *code.Error) {
	if err := g.err(); err != nil {
		return nil, 0, err
	}
	changes, revision, err := g.Service.Watch(ctx, prefix, after)
	if away := g.err(); away != nil {
		return nil, 0, away
	}
	return changes, revision, err
}
