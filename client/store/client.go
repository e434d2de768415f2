package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"tanagerspread/client/wire"
	"tanagerspread/core/code"
)

// Client is the HTTP client of one store VM. Calls without a usable response
// return code.StoreAway.
type Client struct {
	wire *wire.Client
}

// NewClient returns a client of one store VM.
func NewClient(options wire.Options) *Client {
	options.UnreachableCode = code.StoreAway
	return &Client{wire: wire.NewClient(options)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.wire.Close()
}

// PutBlock writes a complete block. It returns code.StoreFull when the store has
// no space left and code.BlockInvalid when the content does not match meta.
func (c *Client) PutBlock(ctx context.Context, meta Meta, content []byte) *code.Error {
	header := http.Header{"Content-Type": {"application/octet-stream"}}
	WriteMeta(header, meta)
	message := wire.Message{Method: http.MethodPut, Path: blockPath(meta.Key), Header: header, Body: content}
	_, err := c.wire.Send(ctx, DefaultTransferTimeout, message)
	return err
}

// GetBlock reads and verifies a block. It returns code.BlockMissing when the
// store does not have the complete block and code.BlockInvalid when its
// description is malformed or does not match the content.
func (c *Client) GetBlock(ctx context.Context, key string) (Meta, []byte, *code.Error) {
	response, err := c.wire.Send(ctx, DefaultTransferTimeout, wire.Message{Method: http.MethodGet, Path: blockPath(key)})
	if err != nil {
		return Meta{}, nil, err
	}
	meta, err := ReadMeta(key, response.Header)
	if err != nil {
		return Meta{}, nil, err
	}
	return meta, response.Body, meta.Verify(response.Body)
}

// PutManifest writes a manifest. It returns code.BlockMissing when the store does
// not have all blocks of the manifest completely.
func (c *Client) PutManifest(ctx context.Context, manifest Manifest) *code.Error {
	return c.wire.Call(ctx, http.MethodPut, PathManifests+"/"+url.PathEscape(manifest.Key), manifest, nil)
}

// Find returns the manifest of the longest exported prefix of keys, or
// code.BlockMissing.
func (c *Client) Find(ctx context.Context, keys []string) (Manifest, *code.Error) {
	var manifest Manifest
	err := c.wire.Call(ctx, http.MethodPost, PathFind, FindRequest{Keys: keys}, &manifest)
	return manifest, err
}

// Pin protects blocks from eviction for ttl or until Unpin and returns the id of
// the pin. It returns code.BlockMissing when the store lacks one of the blocks.
func (c *Client) Pin(ctx context.Context, keys []string, ttl time.Duration) (string, *code.Error) {
	var reply PinReply
	err := c.wire.Call(ctx, http.MethodPost, PathPins, PinRequest{Keys: keys, TTLMS: ttl.Milliseconds()}, &reply)
	return reply.Pin, err
}

// Unpin removes a pin.
func (c *Client) Unpin(ctx context.Context, pin string) *code.Error {
	return c.wire.Call(ctx, http.MethodDelete, PathPins+"/"+url.PathEscape(pin), nil, nil)
}

// Stats returns the usage of the store.
func (c *Client) Stats(ctx context.Context) (Stats, *code.Error) {
	var stats Stats
	err := c.wire.Call(ctx, http.MethodGet, PathStats, nil, &stats)
	return stats, err
}

func blockPath(key string) string {
	return PathBlocks + "/" + url.PathEscape(key)
}

// WriteMeta sets the headers that describe a block.
func WriteMeta(header http.Header, meta Meta) {
	header.Set(HeaderLength, strconv.Itoa(meta.Length))
	header.Set(HeaderChecksum, meta.Checksum)
	header.Set(HeaderGeneration, strconv.FormatUint(meta.Generation, 10))
}

// ReadMeta returns the description of a block from its headers, or
// code.BlockInvalid.
func ReadMeta(key string, header http.Header) (Meta, *code.Error) {
	length, err := strconv.Atoi(header.Get(HeaderLength))
	if err != nil || length < 0 || length > MaxBlockBytes {
		return Meta{}, code.New(code.BlockInvalid, "the block has no valid length")
	}
	generation, err := strconv.ParseUint(header.Get(HeaderGeneration), 10, 64)
	if err != nil {
		return Meta{}, code.New(code.BlockInvalid, "the block has no valid generation")
	}
	return Meta{Key: key, Length: length, Checksum: header.Get(HeaderChecksum), Generation: generation}, nil
}
