// Package fault provides a listener whose connections can fail like those of a VM
// that crashes or is cut off from the network.
package fault

import (
	"net"
	"sync"
)

// Listener wraps another listener and injects faults into its connections. The
// mutex guards the fields below it.
type Listener struct {
	net.Listener

	mu      sync.Mutex
	open    map[*conn]struct{}
	crashed bool
}

// Wrap returns a listener that accepts the connections of another one, without
// faults at first.
func Wrap(listener net.Listener) *Listener {
	return &Listener{Listener: listener, open: make(map[*conn]struct{})}
}

// Accept returns the next connection. While the listener is crashed, it closes
// each new connection at once.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.register(accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// Crash closes all open connections, and each new one until Restart.
func (l *Listener) Crash() {
	l.mu.Lock()
	l.crashed = true
	l.mu.Unlock()
	l.CloseConnections()
}

// Restart ends a crash: new connections work again.
func (l *Listener) Restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed = false
}

// CloseConnections closes the open connections. New connections work.
func (l *Listener) CloseConnections() {
	for _, c := range l.connections() {
		_ = c.Close()
	}
}

// Stall stalls the open connections permanently, as when the network drops all
// packets: nothing arrives on either side and no error is reported. New
// connections work.
func (l *Listener) Stall() {
	for _, c := range l.connections() {
		c.stallOnce.Do(func() { close(c.stalled) })
	}
}

// register returns the wrapped connection, or nil while the listener is crashed.
func (l *Listener) register(accepted net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashed {
		return nil
	}
	c := &conn{Conn: accepted, listener: l, stalled: make(chan struct{}), closed: make(chan struct{})}
	l.open[c] = struct{}{}
	return c
}

func (l *Listener) connections() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	return open
}

func (l *Listener) unregister(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is one accepted connection. The channel stalled is closed by Stall.
type conn struct {
	net.Conn
	listener  *Listener
	stalled   chan struct{}
	stallOnce sync.Once
	closed    chan struct{}
	closeOnce sync.Once
}

// Read discards the bytes that arrive on a stalled connection and blocks until the
// connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isStalled() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write discards the bytes on a stalled connection and reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.isStalled() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and ends a blocked Read.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.listener.unregister(c)
	return c.Conn.Close()
}

func (c *conn) isStalled() bool {
	select {
	case <-c.stalled:
		return true
	default:
		return false
	}
}
