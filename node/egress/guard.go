package egress

import (
	"context"
	"net"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/node/clock"
)

// deadlineConn does not send the first byte after the deadline, because the
// process may have been paused after the control thread permitted the dispatch.
// It also sets a timeout for each write: net/http starts the timeout for the
// response headers only after the entire request is written.
type deadlineConn struct {
	net.Conn
	deadline time.Time
	// arrived is when the request arrived. The time for which the machine was
	// suspended since then counts towards the deadline.
	arrived      clock.Instant
	writeTimeout time.Duration
	sent         bool
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
	return c.Conn.Write(p)
}
