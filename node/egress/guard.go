package egress

import (
	"context"
	"net"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/node/clock"
)

// deadlineConn refuses the first byte after the deadline, because the process
// may have been paused since the control thread let the request be sent. It
// also bounds each write: net/http starts the wait for response headers only
// after the whole request is written.
type deadlineConn struct {
	net.Conn
	deadline time.Time
	// arrived is when the request arrived; the machine may have been suspended
	// since.
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
