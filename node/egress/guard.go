package egress

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/node/clock"
)

// deadlineConn does not send the first byte after the deadline, because the
// process may have been paused after the control thread permitted the dispatch.
// It also sets a timeout for each write: net/http starts the timeout for the
// response headers only after the entire request is written. After a failed write it
// reports no end of the response: the kernel reports a reset only once, so the read
// after a write that took the error looks like an ordinary end of the connection.
type deadlineConn struct {
	net.Conn
	deadline time.Time
	// arrived is when the request arrived. The time for which the machine was
	// suspended since then counts towards the deadline.
	arrived      clock.Instant
	writeTimeout time.Duration
	sent         bool
	// writing is held during each write and protects writeFailed.
	writing     sync.Mutex
	writeFailed bool
}

func newDeadlineConn(ctx context.Context, conn net.Conn, writeTimeout time.Duration) *deadlineConn {
	deadline, _ := ctx.Deadline()
	return &deadlineConn{Conn: conn, deadline: deadline, arrived: clock.FromContext(ctx), writeTimeout: writeTimeout}
}

// Write writes to the connection. It returns code.DeadlinePassed when the
// first byte would be sent after the deadline.
func (c *deadlineConn) Write(p []byte) (int, error) {
	now := time.Now()
	if !c.sent && !c.deadline.IsZero() && !now.Add(c.arrived.Suspended()).Before(c.deadline) {
		return 0, code.New(code.DeadlinePassed, "the deadline passed before the first byte was sent")
	}
	c.sent = true
	if err := c.SetWriteDeadline(now.Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// Read reads from the connection. At its end it waits for the write in progress and
// returns io.ErrUnexpectedEOF when a write has failed.
func (c *deadlineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeFailed {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
