package store

import "time"

// SetLinkRate changes the rate limit of the link in bytes per second; 0 means no
// limit. It also applies to transfers in progress.
func (s *Store) SetLinkRate(bytesPerSecond float64) {
	s.network.SetRate(bytesPerSecond)
}

// SetFull makes the store refuse new blocks with code.StoreFull.
func (s *Store) SetFull(full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = full
}

// SetDelay sets the time by which each later call is delayed.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Crash closes the connections of all calls, and of each new call until Restart.
// It discards all content.
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

// Restart starts a crashed store VM without content.
func (s *Store) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		return
	}
	s.down = false
	s.crashed = make(chan struct{})
}

// FreeBlock frees a block even if it is pinned. The manifests that list it stay.
func (s *Store) FreeBlock(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.blocks[key]; b != nil {
		s.removeBlock(b)
	}
}

// TruncateBlock truncates the content of a block to n bytes, as after a crash
// during a write. The metadata stay unchanged.
func (s *Store) TruncateBlock(key string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.blocks[key]; b != nil {
		b.content = b.content[:min(n, len(b.content))]
	}
}

// CorruptBlock changes one byte of the content of a block. The metadata stay
// unchanged.
func (s *Store) CorruptBlock(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.blocks[key]; b != nil && len(b.content) > 0 {
		b.content = append([]byte(nil), b.content...)
		b.content[0] ^= 0xff
	}
}
