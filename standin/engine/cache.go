package engine

import (
	"container/list"
	"slices"

	"tanagerspread/client/engine"
)

// blockID identifies a cache block within an engine.
type blockID struct {
	namespace string
	key       string
}

// block is one cache block in memory.
type block struct {
	id blockID
	// refs is the number of runs and transfers that use the block. A block in
	// use is not evicted.
	refs int
	// invalid is true when an import delivered content that differs from the
	// expected content of the block.
	invalid bool
	// element is the block's element in cache.lru.
	element *list.Element
}

// cache is a prefix cache with LRU eviction.
type cache struct {
	capacity int
	blocks   map[blockID]*block
	// lru orders the blocks from the most to the least recently used.
	lru *list.List
	// onChange is called for each block that is stored or evicted.
	onChange func(kind string, id blockID)
}

func newCache(capacity int, onChange func(kind string, id blockID)) *cache {
	return &cache{
		capacity: capacity,
		blocks:   make(map[blockID]*block),
		lru:      list.New(),
		onChange: onChange,
	}
}

// acquirePrefix returns the longest run of leading blocks that are cached and
// increments their reference counts.
func (c *cache) acquirePrefix(namespace string, keys []string) []*block {
	var prefix []*block
	for _, key := range keys {
		b := c.blocks[blockID{namespace, key}]
		if b == nil {
			break
		}
		b.refs++
		prefix = append(prefix, b)
	}
	return prefix
}

// release decrements the reference counts of the leading blocks of a prompt. The
// first block becomes the most recently used, because the others cannot be used
// without it.
func (c *cache) release(blocks []*block) {
	for _, b := range slices.Backward(blocks) {
		b.refs--
		c.lru.MoveToFront(b.element)
	}
}

// store adds the block unless it is cached already, increments its reference
// count and returns it. It returns nil when the cache is full and all blocks are
// in use.
func (c *cache) store(id blockID) *block {
	if b := c.blocks[id]; b != nil {
		b.refs++
		return b
	}
	if !c.makeRoom() {
		return nil
	}
	b := &block{id: id, refs: 1}
	b.element = c.lru.PushFront(b)
	c.blocks[id] = b
	c.onChange(engine.CacheStored, id)
	return b
}

// makeRoom evicts least recently used blocks that are not in use until one more
// block fits. It returns false when too few blocks can be evicted.
func (c *cache) makeRoom() bool {
	element := c.lru.Back()
	for element != nil && len(c.blocks) >= c.capacity {
		previous := element.Prev()
		if b := element.Value.(*block); b.refs == 0 {
			c.evict(b)
		}
		element = previous
	}
	return len(c.blocks) < c.capacity
}

// clear evicts all blocks that are not in use.
func (c *cache) clear() {
	for _, b := range c.blocks {
		if b.refs == 0 {
			c.evict(b)
		}
	}
}

func (c *cache) evict(b *block) {
	c.lru.Remove(b.element)
	delete(c.blocks, b.id)
	c.onChange(engine.CacheFreed, b.id)
}
