// Package kvcache decides which cache blocks are exported to a block store and
// which of the blocks found there may be imported into an engine.
package kvcache

import "tanagerspread/core/cachekey"

// checksumHexLength is the length of a hexadecimal SHA-256 sum in characters.
const checksumHexLength = 64

// Block describes one cache block at a block store.
type Block struct {
	Key cachekey.Key
	// Length is in bytes.
	Length int
	// Checksum is the hexadecimal SHA-256 sum of the content.
	Checksum string
	// Generation is the number of the write that stored the block.
	Generation uint64
}

// Usable returns the leading found blocks that may be imported for the wanted
// keys. It stops at the first block that has another key or that lacks a length,
// checksum or generation, because a block is useless without those before it.
func Usable(wanted []cachekey.Key, found []Block) []Block {
	for i, block := range found {
		if i >= len(wanted) || block.Key != wanted[i] || !isValid(block) {
			return found[:i]
		}
	}
	return found
}

// IsComplete reports whether the written blocks are exactly the wanted ones and
// all valid.
func IsComplete(wanted []cachekey.Key, written []Block) bool {
	return len(written) == len(wanted) && len(Usable(wanted, written)) == len(wanted)
}

func isValid(block Block) bool {
	return block.Length > 0 && len(block.Checksum) == checksumHexLength && block.Generation > 0
}
