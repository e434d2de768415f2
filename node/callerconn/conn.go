package callerconn

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"tanagerspread/core/callerconn"
	"tanagerspread/node/memory"
	"tanagerspread/node/sockopt"
)

// The refusals of a head that net/http does not get to see whole.
const (
	refusalNoMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	refusalTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// errClosing is the error of a read after the node has decided to close the connection.
var errClosing = errors.New("the node closes the connection")

// errRefused is the error of a read after the node refused the head.
var errRefused = errors.New("the head was refused")

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	listener *Listener
	// account holds the memory of the connection and of the head of its request. It
	// belongs to the goroutine of the connection.
	account *memory.Account
	// unread holds the receive buffer of the connection. It belongs to the same
	// goroutine.
	unread      *memory.Account
	head        headCounter
	phase       atomic.Pointer[phase]
	transferred atomic.Int64
	admitted    atomic.Bool
	// mark belongs to the goroutine that searches for overdue connections.
	mark callerconn.Mark
}

// phase is a phase of a connection and when it began.
type phase struct {
	name  callerconn.Phase
	since time.Time
}

// setPhase begins a phase. It returns false when the node closes the connection.
func (c *Conn) setPhase(name callerconn.Phase) bool {
	return c.changePhase(&phase{name, time.Now()})
}

func (c *Conn) changePhase(next *phase) bool {
	for {
		current := c.phase.Load()
		if current != nil && current.name == callerconn.Closing {
			return false
		}
		if c.phase.CompareAndSwap(current, next) {
			return true
		}
	}
}

func (c *Conn) view(p *phase) callerconn.View {
	return callerconn.View{Phase: p.name, Since: p.since, Transferred: c.transferred.Load(), Admitted: c.admitted.Load()}
}

// drop closes the connection from another goroutine than its own, which then releases its
// memory. It returns false and does nothing when the phase is no longer the one that the
// decision was based on: a request that has arrived since must not be cut.
func (c *Conn) drop(seen *phase) bool {
	if !c.phase.CompareAndSwap(seen, &phase{callerconn.Closing, time.Now()}) {
		return false
	}
	c.listener.remove(c)
	// The connection may be closed already.
	_ = c.Conn.Close()
	return true
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// setState handles a change of the state that net/http keeps, in the goroutine of the
// connection.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.setPhase(callerconn.Waiting)
	case http.StateIdle:
		c.head = headCounter{}
		c.account.Shrink(c.account.Held() - callerconn.ConnectionBytes)
		c.setPhase(callerconn.Idle)
	case http.StateClosed, http.StateHijacked:
		c.account.Release()
		c.unread.Release()
		c.listener.remove(c)
	}
}

// Read reads from the connection. In a head it reserves the memory that the parsed head
// will take, and refuses a head that is too large or for which there is no memory.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.transferred.Add(int64(n))
	switch c.phase.Load().name {
	case callerconn.Idle:
		if n > 0 && !c.setPhase(callerconn.Head) {
			return 0, errClosing
		}
	case callerconn.Head:
	case callerconn.Closing:
		return 0, errClosing
	default:
		return n, err
	}
	c.head.count(p[:n])
	if c.head.bytes > c.listener.limits.Load().MaxHeaderBytes {
		return 0, c.refuse(refusalTooLarge)
	}
	if !c.reserveHead(headMemory(c.head.bytes, c.head.lines)) {
		return 0, c.refuse(refusalNoMemory)
	}
	return n, err
}

// headCounter counts the bytes and lines of a head up to the empty line that ends it.
type headCounter struct {
	bytes, lines int64
	// line is the number of bytes of the current line without carriage returns.
	line int
	// begun is true after the first line that is not empty. Earlier empty lines end no
	// head: net/http skips one after a POST, and the beginning of a head may have been
	// read together with an earlier request.
	begun, ended bool
}

func (h *headCounter) count(p []byte) {
	for !h.ended && len(p) > 0 {
		text, _, complete := bytes.Cut(p, []byte{'\n'})
		h.bytes += int64(len(text))
		h.line += len(bytes.TrimRight(text, "\r"))
		if !complete {
			return
		}
		p = p[len(text)+1:]
		h.bytes++
		h.lines++
		h.ended = h.begun && h.line == 0
		h.begun = h.begun || h.line > 0
		h.line = 0
	}
}

// headMemory returns the memory of a head.
func headMemory(bytes, lines int64) int64 {
	return headerByteCopies*bytes + headerLineBytes*lines
}

// reserveHead makes the account hold the memory of the head.
func (c *Conn) reserveHead(total int64) bool {
	missing := callerconn.ConnectionBytes + total - c.account.Held()
	return missing <= 0 || c.account.Grow(missing)
}

// refuse writes a refusal and returns an error to which net/http does not respond.
func (c *Conn) refuse(response string) error {
	// The connection is closed in any case.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write([]byte(response))
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
}

// Write writes to the connection in pieces, so that the progress of a slow reader can be
// measured.
func (c *Conn) Write(p []byte) (int, error) {
	before := c.phase.Load()
	c.setPhase(callerconn.Writing)
	defer c.changePhase(before)
	written := 0
	for {
		piece := p[written:min(len(p), written+callerconn.MinProgress)]
		n, err := c.Conn.Write(piece)
		written += n
		c.transferred.Add(int64(n))
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// AdmitHead reserves the memory of the header of a request. It returns false when there
// is none. A head that was read together with an earlier request is not counted before.
func (c *Conn) AdmitHead(header http.Header) bool {
	if c == nil {
		return true
	}
	var bytes, lines int64
	for name, values := range header {
		lines += int64(len(values))
		for _, value := range values {
			bytes += int64(len(name) + len(value))
		}
	}
	return c.reserveHead(headMemory(bytes, lines))
}

// Admitted marks the connection as one of a client whose call was admitted.
func (c *Conn) Admitted() {
	if c != nil {
		c.admitted.Store(true)
	}
}

// BeginBody marks the beginning of the read of a body. Without EndBody the connection
// stays in this phase until its next request: net/http reads the rest of a body that
// nobody has read before it sends the response.
func (c *Conn) BeginBody() {
	if c != nil {
		c.setPhase(callerconn.Body)
	}
}

// EnlargeBuffer makes the receive buffer of the connection large, if there is memory for
// it, because a large body arrives.
func (c *Conn) EnlargeBuffer() {
	if c != nil {
		sockopt.Enlarge(c.Conn, c.unread)
	}
}

// EndBody marks that a body was read to its end. It returns false when the node closes the
// connection, so that the call must not be served.
func (c *Conn) EndBody() bool {
	return c == nil || c.setPhase(callerconn.Waiting)
}
