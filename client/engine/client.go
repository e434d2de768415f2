package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"tanagerspread/client/wire"
	"tanagerspread/core/code"
)

// transferTimeout bounds an export or import.
const transferTimeout = time.Minute

// Client is the HTTP client for the management calls of one engine. Completions
// are sent by package egress of the node. Calls without a usable response return
// code.EngineAway.
type Client struct {
	wire *wire.Client
}

// NewClient returns a client of one engine.
func NewClient(options wire.Options) *Client {
	options.UnreachableCode = code.EngineAway
	return &Client{wire: wire.NewClient(options)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.wire.Close()
}

// Load returns the load report, which lags behind the state of the engine.
func (c *Client) Load(ctx context.Context) (Load, *code.Error) {
	var load Load
	err := c.wire.Call(ctx, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

// Order sends an order. It returns code.OrderRefused when the engine has received
// a higher fencing number. The order is complete when its state is OrderDone.
func (c *Client) Order(ctx context.Context, order Order) (Status, *code.Error) {
	var status Status
	err := c.wire.Call(ctx, http.MethodPost, PathOrders, order, &status)
	return status, err
}

// Status returns the current state of the engine and the state of its newest
// order.
func (c *Client) Status(ctx context.Context) (Status, *code.Error) {
	var status Status
	err := c.wire.Call(ctx, http.MethodGet, PathOrders, nil, &status)
	return status, err
}

// Export orders the engine to write cache blocks to a store VM.
func (c *Client) Export(ctx context.Context, request TransferRequest) (TransferReply, *code.Error) {
	return c.transfer(ctx, PathExport, request)
}

// Import orders the engine to read cache blocks from a store VM.
func (c *Client) Import(ctx context.Context, request TransferRequest) (TransferReply, *code.Error) {
	return c.transfer(ctx, PathImport, request)
}

func (c *Client) transfer(ctx context.Context, path string, request TransferRequest) (TransferReply, *code.Error) {
	var reply TransferReply
	err := c.wire.CallWithin(ctx, transferTimeout, http.MethodPost, path, request, &reply)
	return reply, err
}

// Events returns the cache events with sequence numbers above after.
func (c *Client) Events(ctx context.Context, after uint64) (EventsReply, *code.Error) {
	var reply EventsReply
	query := url.Values{QueryAfter: {strconv.FormatUint(after, 10)}}
	err := c.wire.Call(ctx, http.MethodGet, PathEvents+"?"+query.Encode(), nil, &reply)
	return reply, err
}
