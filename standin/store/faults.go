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

// Die loses all content and breaks all calls until Revive.
func (s *Store) Die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return
	}
	s.dead = true
	close(s.death)
	s.clear()
}

// Revive starts the store again, empty.
func (s *Store) Revive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead {
		return
	}
	s.dead = false
	s.death = make(chan struct{})
}

// Free drops a block in spite of pins and leaves the manifests that list it.
func (s *Store) Free(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.blocks[key]; b != nil {
		s.drop(b)
	}
}

// Cut keeps only the first n bytes of a block's content, as after a crash
// during a write, and leaves its description.
func (s *Store) Cut(key string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.blocks[key]; b != nil {
		b.content = b.content[:min(n, len(b.content))]
	}
}

// Damage changes one byte of a block's content and leaves its description.
func (s *Store) Damage(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.blocks[key]; b != nil && len(b.content) > 0 {
		b.content = append([]byte(nil), b.content...)
		b.content[0] ^= 0xff
	}
}
