// Package wire contains the HTTP and JSON functions that are shared by the
// clients of the platform's services and by the stand-ins of those services.
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
	// MaxMessageBytes bounds one JSON message. Base64 encoding makes a value of
	// 1 MiB a third longer.
	MaxMessageBytes = 4 << 20
	// DefaultTimeout bounds one call unless Options.Timeout is set.
	DefaultTimeout = 2 * time.Second
	// maxIdleConns bounds the idle connections to one service.
	maxIdleConns = 4
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 30 * time.Second
)

// Dialer opens a connection. Tests replace it.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a client.
type Options struct {
	// Address is the IP address and port of the service.
	Address string
	// Dial opens connections; nil means TCP.
	Dial Dialer
	// Timeout bounds one call; 0 means DefaultTimeout.
	Timeout time.Duration
	// UnreachableCode is the code of the error for a call without a usable
	// response.
	UnreachableCode code.Code
	// StatusError returns the error for an HTTP status other than 200, 202 and
	// 304; nil means that the service sends an Error in the body.
	StatusError func(status int) *code.Error
}

// Client makes calls to one service. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	// singleUse opens a connection for each call.
	singleUse *http.Transport
}

// maxHeaderBytes bounds the status line and the headers of a response. Without it,
// net/http accepts 10 MiB of a server in trouble.
const maxHeaderBytes = 64 << 10

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

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	singleUse := transport.Clone()
	singleUse.DisableKeepAlives = true
	return &Client{options: options, transport: transport, singleUse: singleUse}
}

// Close closes the idle connections and ends the opening of those that no call waits
// for.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Timeout returns the default timeout of a call.
func (c *Client) Timeout() time.Duration {
	return c.options.Timeout
}

// Call sends in as JSON, unless it is nil, and decodes the response into out,
// unless it is nil. It returns the error that the service sent, or
// Options.UnreachableCode.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) *code.Error {
	return c.CallWithin(ctx, c.options.Timeout, method, path, in, out)
}

// CallWithin is Call with the given timeout instead of Options.Timeout.
func (c *Client) CallWithin(ctx context.Context, timeout time.Duration, method, path string, in, out any) *code.Error {
	_, err := c.Exchange(ctx, timeout, Message{Method: method, Path: path}, in, out)
	return err
}

// Exchange sends a message with the body in, decodes the response into out and returns
// the header of the response, also with the error of a status.
func (c *Client) Exchange(ctx context.Context, timeout time.Duration, message Message, in, out any) (http.Header, *code.Error) {
	message.Header = http.Header{"Content-Type": {"application/json"}}
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, code.Wrap(code.Internal, "the message cannot be encoded", err)
		}
		message.Body = data
	}
	response, err := c.Send(ctx, timeout, message)
	if err != nil {
		return response.Header, err
	}
	if out == nil {
		return response.Header, nil
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return response.Header, code.Wrap(c.options.UnreachableCode, "the response is malformed", err)
	}
	return response.Header, nil
}

// Message is a request to a service. The body may be other than JSON.
type Message struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// NewConnection sends the message on a connection of its own, because a kept one
	// may have gone silent without being closed.
	NewConnection bool
}

// Response is the complete response to a Message.
type Response struct {
	// Status is http.StatusOK or http.StatusAccepted, 0 when NotModified is true, or
	// the status behind the error of Send.
	Status int
	Header http.Header
	Body   []byte
	// NotModified is true when the service responded with status 304 because the
	// entity tag in the message is current. The body is then empty.
	NotModified bool
}

// Send sends a message and reads the complete response within timeout. After a
// failure it closes the idle connections, because they may be broken without
// notice. With the error for a status it returns that status and the headers.
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
	transport := c.transport
	if message.NewConnection {
		transport = c.singleUse
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		c.Close()
		return Response{}, code.Wrap(c.options.UnreachableCode, "no response", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxMessageBytes+1))
	if err != nil {
		c.Close()
		return Response{}, code.Wrap(c.options.UnreachableCode, "the response is truncated", err)
	}
	if len(data) > MaxMessageBytes {
		return Response{}, code.Newf(c.options.UnreachableCode, "the response is larger than %d bytes", MaxMessageBytes)
	}
	if response.StatusCode == http.StatusNotModified {
		return Response{Header: response.Header, NotModified: true}, nil
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusAccepted {
		return Response{Status: response.StatusCode, Header: response.Header}, c.responseError(response.StatusCode, data)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: data}, nil
}

// responseError returns the error for a response whose status is not a success.
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
