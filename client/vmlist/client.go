package vmlist

import (
	"context"
	"slices"
	"sync/atomic"

	"tanagerspread/client/wire"
	"tanagerspread/core/code"
)

// Reply is the response to GET /vms.
type Reply struct {
	VMs []VM `json:"vms"`
}

// Client is the HTTP client of the service that serves the VM list.
type Client struct {
	wire *wire.Client
	// last is the response to the last call of List. It saves the transfer of a
	// list that has not changed.
	last atomic.Pointer[wire.CachedValue[Reply]]
}

var _ Lister = (*Client)(nil)

// NewClient returns a client of the VM list. It replaces
// options.UnreachableCode with code.VMListAway.
func NewClient(options wire.Options) *Client {
	options.UnreachableCode = code.VMListAway
	return &Client{wire: wire.NewClient(options)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.wire.Close()
}

// List returns the VMs in the list, or code.VMListAway.
func (c *Client) List(ctx context.Context) ([]VM, *code.Error) {
	fresh, err := wire.Refresh(ctx, c.wire, PathVMs, c.last.Load())
	if err != nil {
		return nil, err
	}
	c.last.Store(fresh)
	return slices.Clone(fresh.Value.VMs), nil
}
