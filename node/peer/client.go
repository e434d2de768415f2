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
	// callTimeout bounds a short call, including the opening of its connection.
	// A connection on which a call takes longer is unresponsive and is closed.
	callTimeout = 2 * time.Second
	// pingTimeout bounds the check of a connection, which the peer answers at once.
	pingTimeout = 500 * time.Millisecond
	// copyTimeout is how long after the end of its wait a call for changes may
	// respond. Together with the wait it is below the time in which a node must
	// notice that a connection has gone silent.
	copyTimeout = 750 * time.Millisecond
	// configTimeout bounds the call that transfers a configuration.
	configTimeout = 5 * time.Second
)

// Dialer opens a connection to a peer. Tests replace it.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls peers over cached connections, one for each address.
type Client struct {
	dial Dialer
	// tls is nil for plain connections.
	tls *tls.Config

	// mu guards conns, the cached connections by address. They are not control
	// state.
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client that opens connections with dial. With a TLS
// configuration, it presents its own certificate and verifies the peer's.
func NewClient(dial Dialer, tlsConfig *tls.Config) *Client {
	return &Client{dial: dial, tls: tlsConfig, conns: map[string]*jsonrpc2.Conn{}}
}

// Close closes all cached connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// Digest sends this node's digest to a peer and returns the peer's digest. It
// returns code.PeerAway when the call fails.
func (c *Client) Digest(ctx context.Context, address string, own membership.Digest) (membership.Digest, *code.Error) {
	var result digestWire
	if err := c.call(ctx, address, methodDigest, callTimeout, digestToWire(own), &result); err != nil {
		return membership.Digest{}, err
	}
	return digestFromWire(result), nil
}

// Work sends the prefill work of this node to a peer as a notification, which
// has no response. It returns code.PeerAway when no connection could be opened
// or the message could not be written.
func (c *Client) Work(ctx context.Context, address string, work control.SendWork) *code.Error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := c.connection(ctx, address)
	if err != nil {
		return code.Wrap(code.PeerAway, "no connection to the peer could be opened", err)
	}
	if err := conn.Notify(ctx, methodWork, workToWire(work)); err != nil {
		c.closeConnection(address, conn)
		return code.Wrap(code.PeerAway, "the message could not be sent to the peer", err)
	}
	return nil
}

// Copy returns the changes after a revision in the peer's copy of the key-value
// service, or all its entries when snapshot is true. The peer waits up to wait
// for a change. Copy returns code.PeerAway when the call fails.
func (c *Client) Copy(ctx context.Context, address string, after kv.Revision, wait time.Duration) (changes []kv.Change, at kv.Revision, snapshot bool, _ *code.Error) {
	params := copyParams{After: uint64(after), WaitMS: wait.Milliseconds()}
	var result copyResult
	if err := c.call(ctx, address, methodCopy, wait+copyTimeout, params, &result); err != nil {
		return nil, 0, false, err
	}
	return result.Changes, kv.Revision(result.At), result.Snapshot, nil
}

// Parts returns the events of a peer's feed of a cache store or engine from
// position since in the given epoch. It returns a snapshot of all parts instead
// when the feed has another epoch or does not hold the events from since on;
// since 0 always requests a snapshot. Without events, the peer waits for one up
// to wait. Parts returns code.PeerAway when the call fails, also when the peer
// does not follow the target itself.
func (c *Client) Parts(ctx context.Context, address, target string, epoch, since uint64, wait time.Duration) (caches.FeedCopy, *code.Error) {
	params := partsParams{Target: target, Epoch: epoch, Since: since, WaitMS: wait.Milliseconds()}
	var result partsResult
	if err := c.call(ctx, address, methodParts, wait+callTimeout, params, &result); err != nil {
		return caches.FeedCopy{}, err
	}
	return partsFromWire(target, result), nil
}

// Ping checks the connection to a peer and replaces it when it is unresponsive.
// It returns code.PeerAway when a second ping fails too.
func (c *Client) Ping(ctx context.Context, address string) *code.Error {
	err := c.call(ctx, address, methodPing, pingTimeout, struct{}{}, nil)
	if err == nil {
		return nil
	}
	return c.call(ctx, address, methodPing, callTimeout, struct{}{}, nil)
}

// Config returns the peer's configuration, or code.PeerAway when a call fails.
// It checks the connection by a ping first, because the transfer may take longer
// than callTimeout, after which a connection is considered unresponsive.
func (c *Client) Config(ctx context.Context, address string) (control.ConfigAnswer, *code.Error) {
	if err := c.Ping(ctx, address); err != nil {
		return control.ConfigAnswer{}, err
	}
	var result configResult
	if err := c.call(ctx, address, methodConfig, configTimeout, struct{}{}, &result); err != nil {
		return control.ConfigAnswer{}, err
	}
	return control.ConfigAnswer{Current: result.Document.Current(), Isolation: config.Isolation(result.Isolation)}, nil
}

// call makes one call within the timeout and decodes its result into result.
// It closes a connection on which no response arrived, so that the next call
// opens a new one. A connection on which the peer responded with an error stays
// open.
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
		return code.Wrap(code.PeerAway, "the call to the peer failed", err)
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

// cached returns the open connection to an address, or nil.
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

// tlsFor returns the TLS configuration for one peer. The peer's certificate must
// be valid for the host of the dialled address, unless the configuration has a
// server name.
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

// rejectCall answers calls that a peer makes on a connection that this node
// opened. Peers must call the listener instead.
func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go to the listener"}
}

// discardLog disables the logging of the JSON-RPC library; its failures are
// returned as errors.
func discardLog() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}
