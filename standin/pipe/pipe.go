// Package pipe provides a network of in-memory connections, over which net/http
// works in the virtual time of testing/synctest.
package pipe

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects dialers with listeners by address. The mutex guards the
// listeners.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*listener)}
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
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
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
