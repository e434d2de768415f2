// Package weights defines the protocol and the client of the platform's
// rate-limited weight store.
package weights

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"tanagerspread/client/wire"
	"tanagerspread/core/code"
)

const (
	// PathWeights is the path prefix of the sets of weights.
	PathWeights = "/weights"
	// QueryAdapter is the query parameter with the name of an adapter.
	QueryAdapter = "adapter"
	// fetchTimeout bounds one fetch.
	fetchTimeout = 2 * time.Minute
)

// Name identifies one set of weights.
type Name struct {
	Model   string
	Adapter string
	Version int
}

// Loader fetches weights.
type Loader interface {
	// Load fetches one set of weights, or returns code.EngineAway.
	Load(ctx context.Context, name Name) *code.Error
}

// Client is the HTTP client of the weight store.
type Client struct {
	wire *wire.Client
}

var _ Loader = (*Client)(nil)

// NewClient returns a client of the weight store.
func NewClient(options wire.Options) *Client {
	options.UnreachableCode = code.EngineAway
	return &Client{wire: wire.NewClient(options)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.wire.Close()
}

// Load fetches one set of weights and discards the content.
func (c *Client) Load(ctx context.Context, name Name) *code.Error {
	query := url.Values{QueryAdapter: {name.Adapter}}
	path := PathWeights + "/" + url.PathEscape(name.Model) + "/" + strconv.Itoa(name.Version)
	_, err := c.wire.Send(ctx, fetchTimeout, wire.Message{Method: http.MethodGet, Path: path + "?" + query.Encode()})
	return err
}
