// Package cachekey derives the content-addressed keys of cache blocks.
//
// A key binds the organisation, the model, the adapter, the weight version
// and all content up to the end of the block. A lookup with a key therefore
// cannot return a block of another organisation or weight version, even when
// an index is wrong.
package cachekey

import (
	"strconv"

	"github.com/zeebo/blake3"
)

const (
	// KeyBytes is the length of a key in bytes.
	KeyBytes = 32
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens = 2000
	// BytesPerToken is the estimated length of a token in bytes.
	BytesPerToken = 4
	// BlockBytes is the length of the prompt text of one block in bytes.
	BlockBytes = BlockTokens * BytesPerToken
)

// derivationContext separates these keys from all other uses of the hash
// function.
const derivationContext = "tanagerspread cache block v1"

// Key identifies one cache block.
type Key [KeyBytes]byte

// Scope is what a key binds besides the content.
type Scope struct {
	Organisation string
	Model        string
	Adapter      string
	Weights      int
}

// Root returns the key from which the key chain of a scope starts.
func Root(scope Scope) Key {
	hasher := blake3.NewDeriveKey(derivationContext)
	for _, field := range []string{scope.Organisation, scope.Model, scope.Adapter, strconv.Itoa(scope.Weights)} {
		writeField(hasher, field)
	}
	return sum(hasher)
}

// Chain returns the keys of the full blocks of a prompt. A tail that does not
// fill a block has no key.
func Chain(scope Scope, prompt []byte) []Key {
	parent := Root(scope)
	keys := make([]Key, 0, len(prompt)/BlockBytes)
	for len(prompt) >= BlockBytes {
		parent = nextKey(parent, prompt[:BlockBytes])
		keys = append(keys, parent)
		prompt = prompt[BlockBytes:]
	}
	return keys
}

func nextKey(parent Key, content []byte) Key {
	hasher, err := blake3.NewKeyed(parent[:])
	if err != nil {
		panic(err) // The key length is a constant that the library accepts.
	}
	write(hasher, content)
	return sum(hasher)
}

// writeField writes a field prefixed with its length, so that no two scopes have
// the same encoding.
func writeField(hasher *blake3.Hasher, field string) {
	write(hasher, []byte(strconv.Itoa(len(field))+":"))
	write(hasher, []byte(field))
}

func write(hasher *blake3.Hasher, data []byte) {
	if _, err := hasher.Write(data); err != nil {
		panic(err) // The hasher documents that Write never fails.
	}
}

func sum(hasher *blake3.Hasher) Key {
	var key Key
	copy(key[:], hasher.Sum(nil))
	return key
}
