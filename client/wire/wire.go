// Package wire holds the HTTP and JSON plumbing that the clients of the
// platform's services and their stand-ins share.
package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"tanagerspread/core/code"
)

const (
	// MaxMessageBytes bounds one JSON message. Base64 makes a value of 1 MiB
	// a third longer.
	MaxMessageBytes = 4 << 20
	// DefaultTimeout bounds one call unless the options say otherwise.
	DefaultTimeout = 2 * time.Second
	// maxIdleConns bounds the idle connections to one service.
	maxIdleConns = 4
	// idleTimeout closes an unused connection.
	idleTimeout = 30 * time.Second
)

// Dialer opens connections; tests replace it.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a client.
type Options struct {
	// Address is the IP number and port of the service.
	Address string
	// Dial opens connections; nil means TCP.
	Dial Dialer
	// Timeout bounds one call; 0 means DefaultTimeout.
	Timeout time.Duration
	// UnreachableCode is the code of a call that got no usable response.
	UnreachableCode code.Code
	// StatusError names the meaning of a status other than 200; nil means that the
	// service sends a code in the body.
	StatusError func(status int) *code.Error
}

// Client makes calls to one service. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
}

// NewClient returns a client that opens connections on demand.
func NewClient(options Options) *Client {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	// The transport asks for compressed responses and decompresses them; the
	// bound on a message applies to the decompressed bytes.
	transport := &http.Transport{
		DialContext:         options.Dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{options: options, transport: transport}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Timeout returns the bound on one call.
func (c *Client) Timeout() time.Duration {
	return c.options.Timeout
}

// Call sends in as JSON, if it is not nil, and decodes the response into
// out, if it is not nil. It returns the code that the service sent, or the
// client's UnreachableCode.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) *code.Error {
	return c.CallWithin(ctx, c.options.Timeout, method, path, in, out)
}

// CallWithin is Call with a timeout of its own.
func (c *Client) CallWithin(ctx context.Context, timeout time.Duration, method, path string, in, out any) *code.Error {
	message := Message{Method: method, Path: path, Header: http.Header{"Content-Type": {"application/json"}}}
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return code.Wrap(code.Internal, "the message cannot be encoded", err)
		}
		message.Body = data
	}
	response, err := c.Send(ctx, timeout, message)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return code.Wrap(c.options.UnreachableCode, "the response is malformed", err)
	}
	return nil
}

// Message is a request whose body need not be JSON.
type Message struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Response is the whole response to a Message.
type Response struct {
	// Status is http.StatusOK or http.StatusAccepted.
	Status int
	Header http.Header
	Body   []byte
	// NotModified is true when the service confirmed the entity tag of the
	// message instead of sending a body.
	NotModified bool
}

// Send sends a message and reads its whole response within timeout. After a
// failure the idle connections are closed, because one of them may have gone
// silent.
func (c *Client) Send(ctx context.Context, timeout time.Duration, message Message) (Response, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, message.Method, "http://"+c.options.Address+message.Path, bytes.NewReader(message.Body))
	if err != nil {
		return Response{}, code.Wrap(code.Internal, "the call cannot be encoded", err)
	}
	request.GetBody = nil
	if message.Header != nil {
		request.Header = message.Header
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		c.transport.CloseIdleConnections()
		return Response{}, code.Wrap(c.options.UnreachableCode, "no response", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxMessageBytes+1))
	if err != nil {
		c.transport.CloseIdleConnections()
		return Response{}, code.Wrap(c.options.UnreachableCode, "the response broke off", err)
	}
	if len(data) > MaxMessageBytes {
		return Response{}, code.Newf(c.options.UnreachableCode, "the response is larger than %d bytes", MaxMessageBytes)
	}
	if response.StatusCode == http.StatusNotModified {
		return Response{Header: response.Header, NotModified: true}, nil
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusAccepted {
		return Response{}, c.responseError(response.StatusCode, data)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: data}, nil
}

// responseError decodes an error response.
func (c *Client) responseError(status int, data []byte) *code.Error {
	if c.options.StatusError != nil {
		return c.options.StatusError(status)
	}
	var errorBody Error
	if err := json.Unmarshal(data, &errorBody); err != nil || errorBody.Code == 0 {
		return code.Newf(c.options.UnreachableCode, "the service responded with status %d", status)
	}
	return code.New(errorBody.Code, errorBody.Detail)
}
