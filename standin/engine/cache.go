package engine

import (
	"tanagerspread/core/cachekey"
)

// cache is a prefix cache that frees the least recently used block first.
type cache struct {
	capacity int
	// blocks are ordered from least to most recently used.
	blocks []string
}

// use returns the number of cached prompt tokens and keeps all blocks of the
// prompt.
func (c *cache) use(namespace, prompt string) int {
	cached := 0
	unbroken := true
	for end := cachekey.BlockBytes; end <= len(prompt); end += cachekey.BlockBytes {
		key := namespace + prompt[:end]
		unbroken = c.remove(key) && unbroken
		if unbroken {
			cached += cachekey.BlockTokens
		}
		c.blocks = append(c.blocks, key)
	}
	if surplus := len(c.blocks) - c.capacity; surplus > 0 {
		c.blocks = c.blocks[surplus:]
	}
	return cached
}

func (c *cache) remove(key string) bool {
	for i, block := range c.blocks {
		if block == key {
			c.blocks = append(c.blocks[:i], c.blocks[i+1:]...)
			return true
		}
	}
	return false
}
