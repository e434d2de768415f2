// Package callerconn accepts the connections of callers that are not trusted. It counts
// their memory, bounds their number, and closes those that hold memory without progress
// while memory or connections are scarce.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tanagerspread/core/callerconn"
	"tanagerspread/node/memory"
)

const (
	// headerLineBytes is the memory of a parsed header line beside its bytes, and of
	// its copy for an attempt.
	headerLineBytes = 400
	// headerByteCopies is how many times the bytes of a head are in memory.
	headerByteCopies = 2
	// writeBufferBytes is the size of the write buffer of a connection.
	writeBufferBytes = 64 << 10
	// sweepInterval is the time between two searches for overdue connections.
	sweepInterval = 500 * time.Millisecond
	// refusalTimeout bounds the write of a refusal, which fits into the buffer of a
	// connection that waits for nothing else.
	refusalTimeout = 100 * time.Millisecond
)

// Options configures a Listener.
type Options struct {
	Budget *memory.Budget
	// Unread is the memory of bytes that were received and are not read yet. Each
	// connection takes a small receive buffer of it, which its socket must have; nil has
	// no bound.
	Unread *memory.Budget
	// MaxConnections bounds the connections that are open at once.
	MaxConnections int
}

// Listener accepts connections within the limits of a node.
type Listener struct {
	net.Listener
	options Options
	limits  atomic.Pointer[callerconn.Limits]
	// draining is true once only the connections with progress are kept.
	draining atomic.Bool
	// mu guards the set of open connections; no decision depends on who holds it.
	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewListener returns a listener over another one.
func NewListener(inner net.Listener, options Options) *Listener {
	l := &Listener{Listener: inner, options: options, conns: map[*Conn]struct{}{}}
	l.SetLimits(callerconn.Limits{})
	return l
}

// SetLimits sets the configured limits on requests.
func (l *Listener) SetLimits(configured callerconn.Limits) {
	limits := callerconn.InForce(configured)
	l.limits.Store(&limits)
}

// Drain closes connections without progress from now on, as if memory were scarce, because
// the node stops and waits for the others.
func (l *Listener) Drain() {
	l.draining.Store(true)
}

// Accept returns the next connection. When there is no room for it, it evicts another one,
// or closes the new one if there is none.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.admit(inner); conn != nil {
			return conn, nil
		}
		_ = inner.Close()
	}
}

// admit returns the connection, or nil when there is no room for it.
func (l *Listener) admit(inner net.Conn) *Conn {
	if l.Count() >= l.options.MaxConnections && !l.evict() {
		return nil
	}
	account, unread := l.options.Budget.NewAccount(), l.options.Unread.NewAccount()
	if !account.Grow(callerconn.ConnectionBytes) || !unread.Grow(callerconn.SmallUnread) {
		account.Release()
		// The memory of an evicted connection is released when its goroutine ends, so
		// the new one is refused too.
		l.evict()
		return nil
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		// The connection works with the default size too.
		_ = tcp.SetWriteBuffer(writeBufferBytes)
	}
	conn := &Conn{Conn: inner, listener: l, account: account, unread: unread}
	conn.setPhase(callerconn.Head)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return conn
}

// Count returns the number of open connections.
func (l *Listener) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// open returns the open connections.
func (l *Listener) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// evict closes the connection of the highest rank that is in its phase for longest. It
// returns false when there is none.
func (l *Listener) evict() bool {
	for {
		chosen, seen := l.chooseEviction()
		if chosen == nil {
			return false
		}
		if chosen.drop(seen) {
			return true
		}
	}
}

// chooseEviction returns the connection to evict, or nil, and the phase that it was in.
func (l *Listener) chooseEviction() (chosen *Conn, seen *phase) {
	now, limits := time.Now(), *l.limits.Load()
	highest := callerconn.Never
	for _, c := range l.open() {
		p := c.phase.Load()
		rank := callerconn.EvictionOf(now, c.view(p), limits)
		if rank > highest || rank == highest && chosen != nil && p.since.Before(seen.since) {
			chosen, seen, highest = c, p, rank
		}
	}
	return chosen, seen
}

// Run closes overdue connections until the context ends.
func (l *Listener) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.sweep(now, l.draining.Load() || l.options.Budget.Scarce() || l.options.Unread.Scarce() || l.Count() > l.options.MaxConnections/2)
		}
	}
}

func (l *Listener) sweep(now time.Time, scarce bool) {
	limits := *l.limits.Load()
	for _, c := range l.open() {
		var overdue bool
		p := c.phase.Load()
		if c.mark, overdue = callerconn.Overdue(now, c.mark, c.view(p), limits, scarce); overdue {
			// A connection that has gone on since is not overdue.
			_ = c.drop(p)
		}
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

const (
	// maxHeaderBytes and maxTimeout bound what a configuration can allow.
	maxHeaderBytes = 1 << 20
	maxTimeout     = 10 * time.Minute
)

// Attach makes a server report the requests of connections of a Listener, and leaves the
// limits on heads and idle connections to the Listener.
func Attach(server *http.Server) {
	server.MaxHeaderBytes = maxHeaderBytes
	server.ReadHeaderTimeout = maxTimeout
	server.IdleTimeout = maxTimeout
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok {
			conn.setState(state)
		}
	}
}

// FromContext returns the connection of a request, or nil when it was not accepted by a
// Listener. The methods of a nil connection do nothing.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}
