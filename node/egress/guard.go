package egress

import (
	"context"
	"net"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/node/clock"
)

// guardedConn refuses the first byte after the deadline, because the process
// may have been paused since the control thread let the request be sent. It
// also bounds each write: net/http starts the wait for response headers only
// after the whole request is written.
type guardedConn struct {
	net.Conn
	deadline time.Time
	// mark is when the request arrived; the machine may have been suspended
	// since.
	mark  clock.Mark
	wait  time.Duration
	begun bool
}

func newGuardedConn(ctx context.Context, conn net.Conn, wait time.Duration) *guardedConn {
	deadline, _ := ctx.Deadline()
	return &guardedConn{Conn: conn, deadline: deadline, mark: clock.From(ctx), wait: wait}
}

// Write writes to the connection. It returns code.DeadlinePassed when the
// first byte would be sent after the deadline.
func (c *guardedConn) Write(p []byte) (int, error) {
	now := time.Now()
	if !c.begun && !c.deadline.IsZero() && !now.Add(c.mark.Suspended()).Before(c.deadline) {
		return 0, code.New(code.DeadlinePassed, "the deadline passed before the first byte was sent")
	}
	c.begun = true
	if err := c.SetWriteDeadline(now.Add(c.wait)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
