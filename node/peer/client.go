package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/membership"
	"tanagerspread/node/caches"
)

const (
	// callTimeout bounds the opening of a connection and a short call. A
	// connection on which a call takes longer counts as silent and is closed.
	callTimeout = 2 * time.Second
	// configTimeout bounds the transfer of a configuration.
	configTimeout = 5 * time.Second
)

// Dialer opens connections; tests replace it.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls peers over connections that it keeps open.
type Client struct {
	dial Dialer
	// tls is nil for plain connections.
	tls *tls.Config

	// mu guards open, which caches connections and decides nothing.
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client that opens connections with dial. With a TLS
// configuration it proves its own certificate and checks the peer's.
func NewClient(dial Dialer, tlsConfig *tls.Config) *Client {
	return &Client{dial: dial, tls: tlsConfig, conns: map[string]*jsonrpc2.Conn{}}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// Digest sends the own digest and returns the peer's, or code.PeerAway.
func (c *Client) Digest(ctx context.Context, address string, own membership.Digest) (membership.Digest, *code.Error) {
	var result digestWire
	if err := c.call(ctx, address, methodDigest, callTimeout, digestToWire(own), &result); err != nil {
		return membership.Digest{}, err
	}
	return digestFromWire(result), nil
}

// Work tells a peer the prompt work of this node, without an answer. It returns
// code.PeerAway when no connection could be opened.
func (c *Client) Work(ctx context.Context, address, node string, work []control.ServerWork) *code.Error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := c.connection(ctx, address)
	if err != nil {
		return code.Wrap(code.PeerAway, "no connection to the peer could be opened", err)
	}
	if err := conn.Notify(ctx, methodWork, workToWire(node, work)); err != nil {
		c.closeConnection(address, conn)
		return code.Wrap(code.PeerAway, "the peer did not take the message", err)
	}
	return nil
}

// Copy returns the changes of the peer's entries of the key-value service after
// a revision, or all entries when whole is true. It returns code.PeerAway.
func (c *Client) Copy(ctx context.Context, address string, after kv.Revision, wait time.Duration) (changes []kv.Change, at kv.Revision, snapshot bool, _ *code.Error) {
	params := copyParams{After: uint64(after), WaitMS: wait.Milliseconds()}
	var result copyResult
	if err := c.call(ctx, address, methodCopy, wait+callTimeout, params, &result); err != nil {
		return nil, 0, false, err
	}
	return result.Changes, kv.Revision(result.At), result.Snapshot, nil
}

// Parts copies what a peer knows of a store or engine that it follows, or
// returns code.PeerAway.
func (c *Client) Parts(ctx context.Context, address, target string, epoch, since uint64, wait time.Duration) (caches.Copied, *code.Error) {
	params := partsParams{Target: target, Epoch: epoch, Since: since, WaitMS: wait.Milliseconds()}
	var result partsResult
	if err := c.call(ctx, address, methodParts, wait+callTimeout, params, &result); err != nil {
		return caches.Copied{}, err
	}
	return partsFromWire(target, result), nil
}

// Ping checks a connection and replaces a silent one. It returns
// code.PeerAway when a new connection does not answer either.
func (c *Client) Ping(ctx context.Context, address string) *code.Error {
	err := c.call(ctx, address, methodPing, callTimeout, struct{}{}, nil)
	if err == nil {
		return nil
	}
	return c.call(ctx, address, methodPing, callTimeout, struct{}{}, nil)
}

// Config returns the peer's configuration, or code.PeerAway. The connection
// is checked by a ping first, because the transfer may take longer than the
// wait that detects a silent connection.
func (c *Client) Config(ctx context.Context, address string) (config.Current, *code.Error) {
	if err := c.Ping(ctx, address); err != nil {
		return config.Current{}, err
	}
	var result configResult
	if err := c.call(ctx, address, methodConfig, configTimeout, struct{}{}, &result); err != nil {
		return config.Current{}, err
	}
	return result.Document.Current(), nil
}

// call runs one call within the timeout. A connection on which a call failed
// is closed, so the next call opens a new one.
func (c *Client) call(ctx context.Context, address, method string, timeout time.Duration, params, result any) *code.Error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.connection(ctx, address)
	if err != nil {
		return code.Wrap(code.PeerAway, "no connection to the peer could be opened", err)
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		var rpcError *jsonrpc2.Error
		if !errors.As(err, &rpcError) {
			c.closeConnection(address, conn)
		}
		return code.Wrap(code.PeerAway, "the peer did not answer", err)
	}
	return nil
}

func (c *Client) connection(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if conn := c.cached(address); conn != nil {
		return conn, nil
	}
	raw, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(boundedConn{raw}, boundedCodec{})
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, jsonrpc2.HandlerWithError(rejectCall), discardLog())
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.conns[address]; existing != nil {
		_ = conn.Close()
		return existing, nil
	}
	c.conns[address] = conn
	return conn, nil
}

// cached returns an open connection, or nil.
func (c *Client) cached(address string) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil {
		return nil
	}
	select {
	case <-conn.DisconnectNotify():
		delete(c.conns, address)
		return nil
	default:
		return conn
	}
}

func (c *Client) connect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil || c.tls == nil {
		return conn, err
	}
	tlsConn := tls.Client(conn, c.tlsFor(address))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// tlsFor returns the TLS settings of one peer. Its certificate must name the
// IP number that was dialled, unless the settings name another server.
func (c *Client) tlsFor(address string) *tls.Config {
	if c.tls.ServerName != "" {
		return c.tls
	}
	config := c.tls.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		config.ServerName = host
	}
	return config
}

func (c *Client) closeConnection(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// rejectCall answers calls on a connection that this node opened.
func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go to the listener"}
}

// discardLog keeps the library from logging; failures are reported as errors.
func discardLog() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}
