package store

import "time"

// SetLinkRate changes the speed of the link in bytes per second; 0 means no
// limit. Transfers in progress go on at the new speed.
func (s *Store) SetLinkRate(bytesPerSecond float64) {
	s.network.SetRate(bytesPerSecond)
}

// SetFull makes the store refuse new blocks with code.StoreFull.
func (s *Store) SetFull(full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = full
}

// SetDelay makes each later call wait first.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Crash loses all content and breaks all calls until Restart.
func (s *Store) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	close(s.crashed)
	s.clear()
}

// Restart starts the store again, empty.
func (s *Store) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		return
	}
	s.down = false
	s.crashed = make(chan struct{})
}

// FreeBlock drops a block in spite of pins and leaves the manifests that list it.
func (s *Store) FreeBlock(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.blocks[key]; b != nil {
		s.removeBlock(b)
	}
}

// TruncateBlock keeps only the first n bytes of a block's content, as after a crash
// during a write, and leaves its description.
func (s *Store) TruncateBlock(key string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.blocks[key]; b != nil {
		b.content = b.content[:min(n, len(b.content))]
	}
}

// CorruptBlock changes one byte of a block's content and leaves its description.
func (s *Store) CorruptBlock(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.blocks[key]; b != nil && len(b.content) > 0 {
		b.content = append([]byte(nil), b.content...)
		b.content[0] ^= 0xff
	}
}
