// Package pipe provides a network of in-memory connections, over which net/http
// works in the virtual time of testing/synctest.
package pipe

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Network connects dialers with listeners by address. The mutex guards the
// listeners.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// links are the open connections.
	links map[*link]bool
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*listener), links: make(map[*link]bool)}
}

// Listen returns a listener on an address, which may be any string. It replaces an
// earlier listener on the address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to the listener on an address. It returns syscall.ECONNREFUSED
// when there is none, and the error of the context when that ends before the
// listener accepts.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	client, server := n.connect()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SilenceConnections makes all open connections half-open: from now on neither end
// receives anything, not even that the other end has closed, and no write fails. New
// connections work.
func (n *Network) SilenceConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		l.silent.Store(true)
	}
	clear(n.links)
}

// connect returns both ends of a new connection.
func (n *Network) connect() (client, server net.Conn) {
	l := &link{network: n}
	near, far := net.Pipe()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[l] = true
	return &conn{Conn: near, link: l}, &conn{Conn: far, link: l}
}

// link is what both ends of a connection share.
type link struct {
	network *Network
	silent  atomic.Bool
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	link *link
}

// Write discards the data of a silent connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.link.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes this end. The other end of a silent connection does not notice.
func (c *conn) Close() error {
	if c.link.silent.Load() {
		return c.SetDeadline(time.Unix(1, 0))
	}
	c.link.network.mu.Lock()
	delete(c.link.network.links, c.link)
	c.link.network.mu.Unlock()
	return c.Conn.Close()
}

// listener accepts the connections to one address.
type listener struct {
	network   *Network
	address   string
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes later dials fail. Accepted connections stay open.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr {
	return address(l.address)
}

// address is an address of the network.
type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }
