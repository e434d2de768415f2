package fleet

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestMemoryCountsSharedPartsOnce guards against an engine that looks full because
// requests that share a part count it several times, and against memory that stays
// committed after its requests have ended.
func TestMemoryCountsSharedPartsOnce(t *testing.T) {
	part := SharedPart{Hash: 7, Tokens: 9000}
	use := MemoryUse{Private: 1000, Shared: []SharedPart{part}}
	s := &Server{}
	s.ReserveMemory(use, start)
	s.ReserveMemory(use, start)
	s.RecordPeerWork("n2", Work{Memory: use}, start)
	if got := s.CommittedMemory(); got != 12_000 {
		t.Errorf("three requests that share a part: %d tokens, want 12000", got)
	}
	if got := s.MemoryIncrease(use); got != 1000 {
		t.Errorf("a further one adds %d tokens, want 1000", got)
	}
	s.ReleaseMemory(use)
	s.ReleaseMemory(use)
	if got := s.CommittedMemory(); got != 10_000 {
		t.Errorf("after this node's requests have ended: %d tokens, want 10000", got)
	}
	s.ExpirePeerWork(start.Add(peerWorkTTL))
	if got := s.CommittedMemory(); got != 0 {
		t.Errorf("after the peer went silent: %d tokens, want 0", got)
	}
}

// TestMemoryLedgerBalances guards against a sum that drifts when requests and reports
// with the same parts start and end in any order.
func TestMemoryLedgerBalances(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := &Server{}
	var uses []MemoryUse
	peers := map[string]bool{}
	for range 2000 {
		use := MemoryUse{Private: random.IntN(100)}
		for range random.IntN(4) {
			use.Shared = append(use.Shared, SharedPart{Hash: random.Uint32N(8), Tokens: 1 + random.IntN(50)})
		}
		switch random.IntN(3) {
		case 0:
			s.ReserveMemory(use, start)
			uses = append(uses, use)
		case 1:
			node := string(rune('a' + random.IntN(5)))
			peers[node] = true
			s.RecordPeerWork(node, Work{Memory: use}, start)
		case 2:
			if len(uses) > 0 {
				s.ReleaseMemory(uses[0])
				uses = uses[1:]
			}
		}
	}
	for _, use := range uses {
		s.ReleaseMemory(use)
	}
	for node := range peers {
		s.RecordPeerWork(node, Work{}, start)
	}
	if s.CommittedMemory() != 0 || len(s.memory.shared) != 0 {
		t.Errorf("%d tokens and %d parts are left", s.CommittedMemory(), len(s.memory.shared))
	}
}

// TestWorkAdvertised guards against peers that never learn of memory that a request
// occupies after its first token, or that it was released.
func TestWorkAdvertised(t *testing.T) {
	s := &Server{}
	use := MemoryUse{Private: minAdvertisedMemory}
	s.ReserveMemory(use, start)
	if !s.WorkNeedsAdvertising(start, time.Hour) {
		t.Fatal("reserved memory is not advertised")
	}
	if got := s.AdvertiseWork(start); got.Memory.Private != minAdvertisedMemory {
		t.Errorf("advertised %+v", got)
	}
	if s.WorkNeedsAdvertising(start, time.Hour) || !s.WorkNeedsAdvertising(start.Add(time.Hour), time.Hour) {
		t.Error("unchanged work is advertised at once, or is not repeated")
	}
	s.ReleaseMemory(use)
	if !s.WorkNeedsAdvertising(start, time.Hour) {
		t.Error("released memory is not advertised")
	}
}
