// Package store is a stand-in for a store VM: a memory tier and a disk tier of
// limited size behind a rate-limited link. It supports fault injection.
package store

import (
	"container/list"
	"strconv"
	"sync"
	"time"

	"tanagerspread/client/store"
	"tanagerspread/core/code"
	"tanagerspread/standin/link"
)

// Options configures the size and speed of a store VM.
type Options struct {
	// MemoryBytes and DiskBytes are the sizes of the tiers.
	MemoryBytes int64
	DiskBytes   int64
	// LinkRate and DiskRate are rate limits in bytes per second; 0 means no
	// limit.
	LinkRate float64
	DiskRate float64
}

// block is one complete block.
type block struct {
	meta     store.Meta
	content  []byte
	onDisk   bool
	pinCount int
	// element is the block's element in Store.lru.
	element *list.Element
}

// pin protects blocks from being freed until it is removed or its timer fires.
type pin struct {
	blocks []*block
	timer  *time.Timer
}

// Store is a store VM. The mutex guards the fields below it.
type Store struct {
	options Options
	network *link.Link
	disk    *link.Link

	mu     sync.Mutex
	blocks map[string]*block
	// lru orders the blocks from the most to the least recently used.
	lru        *list.List
	manifests  map[string]store.Manifest
	pins       map[string]*pin
	nextPin    int
	memoryUsed int64
	diskUsed   int64
	full       bool
	delay      time.Duration
	// crashed is closed when the VM crashes and replaced when it restarts.
	crashed chan struct{}
	down    bool
}

// New returns an empty store VM.
func New(options Options) *Store {
	s := &Store{
		options: options,
		network: link.New(options.LinkRate),
		disk:    link.New(options.DiskRate),
		crashed: make(chan struct{}),
	}
	s.clear()
	return s
}

// clear removes all blocks, manifests and pins.
func (s *Store) clear() {
	for _, p := range s.pins {
		p.timer.Stop()
	}
	s.blocks = make(map[string]*block)
	s.lru = list.New()
	s.manifests = make(map[string]store.Manifest)
	s.pins = make(map[string]*pin)
	s.memoryUsed = 0
	s.diskUsed = 0
}

// putBlock stores a block in the memory tier if the content matches the metadata.
// It replaces an unpinned block with the same key.
func (s *Store) putBlock(meta store.Meta, content []byte) *code.Error {
	if err := meta.Verify(content); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.blocks[meta.Key]; old != nil {
		if old.pinCount > 0 {
			return s.rewritePinned(old, meta)
		}
		s.freeBlock(old)
	}
	if s.full || !s.makeRoom(int64(meta.Length)) {
		return code.New(code.StoreFull, "the store VM has no room")
	}
	b := &block{meta: meta, content: content}
	b.element = s.lru.PushFront(b)
	s.blocks[meta.Key] = b
	s.memoryUsed += int64(meta.Length)
	s.demote()
	return nil
}

// rewritePinned accepts a write of a pinned block only if the metadata, and thus
// the content, are the same.
func (s *Store) rewritePinned(old *block, meta store.Meta) *code.Error {
	if old.meta == meta {
		return nil
	}
	return code.New(code.StoreFull, "the block is pinned")
}

// makeRoom frees least recently used blocks that are not pinned until n more
// bytes fit into the tiers. It returns false when too few blocks can be freed.
func (s *Store) makeRoom(n int64) bool {
	limit := s.options.MemoryBytes + s.options.DiskBytes
	element := s.lru.Back()
	for element != nil && s.memoryUsed+s.diskUsed+n > limit {
		previous := element.Prev()
		if b := blockOf(element); b.pinCount == 0 {
			s.freeBlock(b)
		}
		element = previous
	}
	return s.memoryUsed+s.diskUsed+n <= limit
}

// demote moves least recently used blocks from memory to disk until the memory
// tier is within its limit.
func (s *Store) demote() {
	for element := s.lru.Back(); element != nil && s.memoryUsed > s.options.MemoryBytes; element = element.Prev() {
		if b := blockOf(element); !b.onDisk {
			b.onDisk = true
			s.memoryUsed -= int64(b.meta.Length)
			s.diskUsed += int64(b.meta.Length)
		}
	}
}

// touch marks a block as most recently used and promotes it to memory.
func (s *Store) touch(b *block) {
	s.lru.MoveToFront(b.element)
	if b.onDisk {
		b.onDisk = false
		s.diskUsed -= int64(b.meta.Length)
		s.memoryUsed += int64(b.meta.Length)
		s.demote()
	}
}

// freeBlock removes a block and every manifest that lists it.
func (s *Store) freeBlock(b *block) {
	s.removeBlock(b)
	for key, manifest := range s.manifests {
		if listsBlock(manifest, b.meta.Key) {
			delete(s.manifests, key)
		}
	}
}

// removeBlock removes a block but not the manifests that list it.
func (s *Store) removeBlock(b *block) {
	s.lru.Remove(b.element)
	delete(s.blocks, b.meta.Key)
	if b.onDisk {
		s.diskUsed -= int64(b.meta.Length)
		return
	}
	s.memoryUsed -= int64(b.meta.Length)
}

func blockOf(element *list.Element) *block {
	return element.Value.(*block)
}

func listsBlock(manifest store.Manifest, key string) bool {
	for _, meta := range manifest.Blocks {
		if meta.Key == key {
			return true
		}
	}
	return false
}

// getBlock returns the metadata and content of a block and whether it was on
// disk.
func (s *Store) getBlock(key string) (store.Meta, []byte, bool, *code.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.blocks[key]
	if b == nil {
		return store.Meta{}, nil, false, code.New(code.BlockMissing, "the store VM does not hold the block")
	}
	onDisk := b.onDisk
	s.touch(b)
	return b.meta, b.content, onDisk, nil
}

// putManifest stores a manifest if all its blocks are stored.
func (s *Store) putManifest(manifest store.Manifest) *code.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, meta := range manifest.Blocks {
		if b := s.blocks[meta.Key]; b == nil || b.meta != meta {
			return code.New(code.BlockMissing, "the store VM does not hold each block of the manifest")
		}
	}
	s.manifests[manifest.Key] = manifest
	return nil
}

// findManifest returns the manifest of the last key that has one. It is that of
// the longest exported prefix.
func (s *Store) findManifest(keys []string) (store.Manifest, *code.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(keys) - 1; i >= 0; i-- {
		if manifest, ok := s.manifests[keys[i]]; ok {
			return manifest, nil
		}
	}
	return store.Manifest{}, code.New(code.BlockMissing, "no prefix was exported")
}

// addPin pins blocks for ttl if all of them are stored, and returns the
// identifier of the pin.
func (s *Store) addPin(keys []string, ttl time.Duration) (string, *code.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &pin{}
	for _, key := range keys {
		b := s.blocks[key]
		if b == nil {
			return "", code.New(code.BlockMissing, "the store VM does not hold each block")
		}
		p.blocks = append(p.blocks, b)
	}
	for _, b := range p.blocks {
		b.pinCount++
	}
	s.nextPin++
	id := "pin-" + strconv.Itoa(s.nextPin)
	s.pins[id] = p
	p.timer = time.AfterFunc(ttl, func() { s.unpin(id) })
	return id, nil
}

// unpin removes a pin. An unknown or expired pin is not an error.
func (s *Store) unpin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pins[id]
	if p == nil {
		return
	}
	p.timer.Stop()
	delete(s.pins, id)
	for _, b := range p.blocks {
		b.pinCount--
	}
}

// Stats returns the usage and limits of the tiers, the numbers of blocks and
// manifests, and the bytes that crossed the link.
func (s *Store) Stats() store.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return store.Stats{
		MemoryUsed:  s.memoryUsed,
		MemoryLimit: s.options.MemoryBytes,
		DiskUsed:    s.diskUsed,
		DiskLimit:   s.options.DiskBytes,
		Blocks:      len(s.blocks),
		Manifests:   len(s.manifests),
		LinkBytes:   s.network.Bytes(),
	}
}
