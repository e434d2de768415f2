// Package store defines the protocol and the client of the store VMs, which store
// cache blocks outside the model engines.
package store

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"tanagerspread/core/code"
)

// The paths of a store VM.
const (
	PathBlocks    = "/blocks"
	PathManifests = "/manifests"
	PathFind      = "/manifests/find"
	PathPins      = "/pins"
	PathStats     = "/stats"
)

// The headers of a block.
const (
	HeaderLength     = "X-Block-Length"
	HeaderChecksum   = "X-Block-Checksum"
	HeaderGeneration = "X-Block-Generation"
)

const (
	// MaxBlockBytes bounds one block.
	MaxBlockBytes = 4 << 20
	// MaxKeys bounds the keys of one manifest, pin or find request.
	MaxKeys = 1024
)

// Meta describes one complete block.
type Meta struct {
	Key    string `json:"key"`
	Length int    `json:"length"`
	// Checksum is the hexadecimal SHA-256 sum of the content.
	Checksum string `json:"checksum"`
	// Generation numbers the writes of a block.
	Generation uint64 `json:"generation"`
}

// NewMeta returns the description of a block with the given content.
func NewMeta(key string, generation uint64, content []byte) Meta {
	return Meta{Key: key, Length: len(content), Checksum: Checksum(content), Generation: generation}
}

// Checksum returns the hexadecimal SHA-256 sum of content.
func Checksum(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Verify returns code.BlockInvalid when the length or the checksum of content
// does not match the description.
func (m Meta) Verify(content []byte) *code.Error {
	if len(content) != m.Length {
		return code.Newf(code.BlockInvalid, "the block has %d bytes instead of %d", len(content), m.Length)
	}
	if Checksum(content) != m.Checksum {
		return code.New(code.BlockInvalid, "the block has another checksum")
	}
	return nil
}

// Manifest lists the blocks of one exported prefix in the order of the prefix. It
// is written after all of its blocks.
type Manifest struct {
	// Key is the key of the last block.
	Key    string `json:"key"`
	Blocks []Meta `json:"blocks"`
}

// FindRequest is the body of POST /manifests/find, which returns the manifest of
// the longest exported prefix.
type FindRequest struct {
	// Keys are the block keys of a prompt in the order of the prompt.
	Keys []string `json:"keys"`
}

// PinRequest is the body of POST /pins, which protects blocks from eviction for a
// limited time.
type PinRequest struct {
	Keys  []string `json:"keys"`
	TTLMS int64    `json:"ttl_ms"`
}

// PinReply is the response to POST /pins.
type PinReply struct {
	// Pin is the id of the pin.
	Pin string `json:"pin"`
}

// Stats is the response to GET /stats. Sizes are in bytes.
type Stats struct {
	MemoryUsed  int64 `json:"memory_used"`
	MemoryLimit int64 `json:"memory_limit"`
	DiskUsed    int64 `json:"disk_used"`
	DiskLimit   int64 `json:"disk_limit"`
	Blocks      int   `json:"blocks"`
	Manifests   int   `json:"manifests"`
	// LinkBytes is the number of bytes that crossed the link since the store
	// started.
	LinkBytes int64 `json:"link_bytes"`
}

// DefaultTransferTimeout bounds the transfer of one block.
const DefaultTransferTimeout = 30 * time.Second
