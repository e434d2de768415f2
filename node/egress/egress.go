// Package egress sends attempts to backend servers over net/http.
//
// Each attempt uses a new connection. A reused connection may be dead without
// notice, and net/http retries requests on reused connections by itself, below
// the level at which retries are decided.
package egress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"tanagerspread/core/code"
)

// Timeouts bounds the waits of one attempt.
type Timeouts struct {
	// Dial bounds the opening of the connection.
	Dial time.Duration
	// Header bounds the wait for the response headers.
	Header time.Duration
	// Gap bounds the wait between two reads of the response body.
	Gap time.Duration
}

// SendCheck is called after the connection is open and before any byte is sent.
// If it returns an error, the request is not sent.
type SendCheck func(ctx context.Context) error

// notSentError wraps an error that occurred before the first byte was sent.
type notSentError struct {
	cause error
}

func (e *notSentError) Error() string { return "not sent: " + e.cause.Error() }
func (e *notSentError) Unwrap() error { return e.cause }

// NotSent reports whether the error happened before any byte of the request
// was sent.
func NotSent(err error) bool {
	var notSent *notSentError
	return errors.As(err, &notSent)
}

// maxResponseHeaderBytes bounds the status line and the headers of a response, those of
// informational responses included. Without it, net/http accepts 10 MiB.
const maxResponseHeaderBytes = 64 << 10

// Dialer opens connections; tests replace it.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends attempts to backend servers.
type Client struct {
	dial Dialer
}

// NewClient returns a client that opens connections with dial.
func NewClient(dial Dialer) *Client {
	return &Client{dial: dial}
}

// serverConn is the connection of one attempt.
type serverConn struct {
	transport *http.Transport
	// socket is the connection as the dialer returned it.
	socket net.Conn
}

// close closes the connection after its response.
func (s *serverConn) close() {
	s.transport.CloseIdleConnections()
}

// send sends the request on a new connection. It returns the response and the connection,
// which the caller closes.
func (c *Client) send(request *http.Request, timeouts Timeouts, checkSend SendCheck) (*http.Response, *serverConn, error) {
	request.GetBody = nil
	conn := &serverConn{}
	conn.transport = &http.Transport{
		DialContext:           c.checkedDial(request, timeouts, checkSend, conn),
		DisableKeepAlives:     true,
		DisableCompression:    true,
		ResponseHeaderTimeout: timeouts.Header,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	response, err := conn.transport.RoundTrip(request)
	if err != nil {
		conn.close()
		return nil, nil, err
	}
	return response, conn, nil
}

// checkedDial returns a dial function that closes a new connection and returns an
// error with NotSent if checkSend returns an error. It sets opened.socket to the new
// connection.
func (c *Client) checkedDial(request *http.Request, timeouts Timeouts, checkSend SendCheck, opened *serverConn) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dialContext, cancel := context.WithTimeout(ctx, timeouts.Dial)
		defer cancel()
		conn, err := c.dial(dialContext, network, address)
		if err != nil {
			return nil, &notSentError{cause: err}
		}
		if err := checkSend(ctx); err != nil {
			return nil, &notSentError{cause: errors.Join(err, conn.Close())}
		}
		opened.socket = conn
		return newTargetConn(newDeadlineConn(ctx, conn, timeouts.Header), request), nil
	}
}

// classify returns the coded error for a transport error.
func classify(err error) *code.Error {
	var coded *code.Error
	if errors.As(err, &coded) {
		return coded
	}
	if NotSent(err) {
		return code.Wrap(code.DialRefused, "no connection to the backend server could be opened", err)
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return code.Wrap(code.BackendSilent, "the backend server stopped sending", err)
	}
	return code.Wrap(code.BackendLost, "the backend server failed during the request", err)
}
