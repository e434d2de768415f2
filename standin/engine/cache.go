package engine

import (
	"container/list"
	"slices"

	"tanagerspread/client/engine"
)

// blockID identifies a cache block in an engine.
type blockID struct {
	namespace string
	key       string
}

// block is one cache block in memory.
type block struct {
	id blockID
	// users counts the runs and transfers that need the block.
	users int
	// invalid is true when an import brought other content than the block
	// has.
	invalid bool
	// element is the block's place in the list of recent use.
	element *list.Element
}

// cache is a prefix cache that frees the least recently used block first.
type cache struct {
	capacity int
	blocks   map[blockID]*block
	// recent orders the blocks from the most to the least recently used.
	recent *list.List
	// changed is called for each block that is stored or freed.
	changed func(kind string, id blockID)
}

func newCache(capacity int, changed func(kind string, id blockID)) *cache {
	return &cache{
		capacity: capacity,
		blocks:   make(map[blockID]*block),
		recent:   list.New(),
		changed:  changed,
	}
}

// leading returns the unbroken leading blocks that are in memory and takes
// them into use.
func (c *cache) leading(namespace string, keys []string) []*block {
	var found []*block
	for _, key := range keys {
		b := c.blocks[blockID{namespace, key}]
		if b == nil {
			break
		}
		b.users++
		found = append(found, b)
	}
	return found
}

// release ends the use of the leading blocks of a prompt. The first block
// becomes the most recently used, because the others are worthless without
// it.
func (c *cache) release(blocks []*block) {
	for _, b := range slices.Backward(blocks) {
		b.users--
		c.recent.MoveToFront(b.element)
	}
}

// store adds a block unless it is there, and returns it in use. It returns
// nil when memory is full of blocks in use.
func (c *cache) store(id blockID) *block {
	if b := c.blocks[id]; b != nil {
		b.users++
		return b
	}
	if !c.makeRoom() {
		return nil
	}
	b := &block{id: id, users: 1}
	b.element = c.recent.PushFront(b)
	c.blocks[id] = b
	c.changed(engine.CacheStored, id)
	return b
}

// makeRoom frees the least recently used block that is not in use until one
// more block fits.
func (c *cache) makeRoom() bool {
	element := c.recent.Back()
	for element != nil && len(c.blocks) >= c.capacity {
		previous := element.Prev()
		if b := element.Value.(*block); b.users == 0 {
			c.free(b)
		}
		element = previous
	}
	return len(c.blocks) < c.capacity
}

// clear frees all blocks that are not in use.
func (c *cache) clear() {
	for _, b := range c.blocks {
		if b.users == 0 {
			c.free(b)
		}
	}
}

func (c *cache) free(b *block) {
	c.recent.Remove(b.element)
	delete(c.blocks, b.id)
	c.changed(engine.CacheFreed, b.id)
}
