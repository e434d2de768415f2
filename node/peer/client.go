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
	mu   sync.Mutex
	open map[string]*jsonrpc2.Conn
}

// NewClient returns a client that opens connections with dial. With a TLS
// configuration it proves its own certificate and checks the peer's.
func NewClient(dial Dialer, tlsConfig *tls.Config) *Client {
	return &Client{dial: dial, tls: tlsConfig, open: map[string]*jsonrpc2.Conn{}}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.open {
		_ = conn.Close()
		delete(c.open, address)
	}
}

// Digest sends the own digest and returns the peer's, or code.PeerAway.
func (c *Client) Digest(ctx context.Context, address string, own membership.Digest) (membership.Digest, *code.Error) {
	var wire digestWire
	if err := c.call(ctx, address, methodDigest, callTimeout, toWire(own), &wire); err != nil {
		return membership.Digest{}, err
	}
	return fromWire(wire), nil
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
		c.drop(address, conn)
		return code.Wrap(code.PeerAway, "the peer did not take the message", err)
	}
	return nil
}

// Copy returns the changes of the peer's entries of the key-value service after
// a revision, or all entries when whole is true. It returns code.PeerAway.
func (c *Client) Copy(ctx context.Context, address string, after kv.Revision, wait time.Duration) (changes []kv.Change, at kv.Revision, whole bool, _ *code.Error) {
	call := copyCall{After: uint64(after), WaitMS: wait.Milliseconds()}
	var wire copyWire
	if err := c.call(ctx, address, methodCopy, wait+callTimeout, call, &wire); err != nil {
		return nil, 0, false, err
	}
	return wire.Changes, kv.Revision(wire.At), wire.Whole, nil
}

// Parts copies what a peer knows of a store or engine that it follows, or
// returns code.PeerAway.
func (c *Client) Parts(ctx context.Context, address, target string, epoch, since uint64, wait time.Duration) (caches.FeedCopy, *code.Error) {
	call := partsCall{Target: target, Epoch: epoch, Since: since, WaitMS: wait.Milliseconds()}
	var wire partsWire
	if err := c.call(ctx, address, methodParts, wait+callTimeout, call, &wire); err != nil {
		return caches.FeedCopy{}, err
	}
	return partsFromWire(target, wire), nil
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
	var wire configWire
	if err := c.call(ctx, address, methodConfig, configTimeout, struct{}{}, &wire); err != nil {
		return config.Current{}, err
	}
	return wire.Document.Current(), nil
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
		var answered *jsonrpc2.Error
		if !errors.As(err, &answered) {
			c.drop(address, conn)
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
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, jsonrpc2.HandlerWithError(refuse), quiet())
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.open[address]; other != nil {
		_ = conn.Close()
		return other, nil
	}
	c.open[address] = conn
	return conn, nil
}

// cached returns an open connection, or nil.
func (c *Client) cached(address string) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.open[address]
	if conn == nil {
		return nil
	}
	select {
	case <-conn.DisconnectNotify():
		delete(c.open, address)
		return nil
	default:
		return conn
	}
}

func (c *Client) connect(ctx context.Context, address string) (net.Conn, error) {
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil || c.tls == nil {
		return raw, err
	}
	secure := tls.Client(raw, c.tlsFor(address))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secure, nil
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

func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.open[address] == conn {
		delete(c.open, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// refuse answers calls on a connection that this node opened.
func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go to the listener"}
}

// quiet keeps the library from logging; failures are reported as errors.
func quiet() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}
