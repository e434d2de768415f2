package egress

import (
	"net"
	"net/http"
	"slices"
	"strings"
)

// targetConn sends the target of a request without the scheme that net/http writes before
// an opaque target that begins with "//". With it, the server would read the target as one
// in absolute form, whose host is the first segment of the path.
type targetConn struct {
	net.Conn
	// The bytes from omitFrom to omitTo of those that net/http writes are not sent.
	omitFrom, omitTo int
	written          int
}

// newTargetConn returns a connection on which net/http sends the opaque target of the
// request unchanged.
func newTargetConn(conn net.Conn, request *http.Request) net.Conn {
	// net/http writes no scheme before the target of the method CONNECT.
	if !strings.HasPrefix(request.URL.Opaque, "//") || request.Method == http.MethodConnect {
		return conn
	}
	start := len(request.Method + " ")
	return &targetConn{Conn: conn, omitFrom: start, omitTo: start + len(request.URL.Scheme+":")}
}

// Write writes to the connection without the omitted bytes, which count as written.
func (c *targetConn) Write(p []byte) (int, error) {
	from := min(max(c.omitFrom-c.written, 0), len(p))
	to := min(max(c.omitTo-c.written, 0), len(p))
	c.written += len(p)
	if from == to {
		return c.Conn.Write(p)
	}
	if n, err := c.Conn.Write(slices.Concat(p[:from], p[to:])); err != nil {
		return min(n, from), err
	}
	return len(p), nil
}
