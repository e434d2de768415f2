package fleet

import "time"

const (
	// peerWorkTTL is how long a peer's report of its work is valid.
	peerWorkTTL = 3 * time.Second
	// minAdvertisedChange is the smallest change in tokens that is advertised at
	// once. Most calls are short, and their prefill finishes before a peer could
	// use the report.
	minAdvertisedChange = 1000
	// minAdvertisedMemory is the same for the memory that requests occupy.
	minAdvertisedMemory = 4000
)

// Work is what the requests of one node in progress still ask of a server.
type Work struct {
	// PrefillTokens is the number of prompt tokens that the server has yet to
	// compute.
	PrefillTokens int
	// Memory is the memory that the requests occupy.
	Memory MemoryUse
}

// reportedWork is the work that a peer reported.
type reportedWork struct {
	Work
	at time.Time
}

// advertisedWork is the size of the work of its own that this node last advertised.
type advertisedWork struct {
	prefillTokens int
	memoryTokens  int
	at            time.Time
}

// RecordPeerWork records the work that a peer reports on the server, in place of its
// earlier report. Work without tokens removes the record.
func (s *Server) RecordPeerWork(node string, work Work, at time.Time) {
	s.dropPeerWork(node)
	if work.PrefillTokens == 0 && work.Memory.IsZero() {
		return
	}
	if s.workByPeer == nil {
		s.workByPeer = map[string]reportedWork{}
	}
	s.workByPeer[node] = reportedWork{Work: work, at: at}
	s.peerPrefillTokens += work.PrefillTokens
	s.memory.add(work.Memory)
}

func (s *Server) dropPeerWork(node string) {
	if before, ok := s.workByPeer[node]; ok {
		s.peerPrefillTokens -= before.PrefillTokens
		s.memory.remove(before.Memory)
		delete(s.workByPeer, node)
	}
}

// ExpirePeerWork drops the reports that are older than peerWorkTTL, those of peers
// that have stopped or are unreachable.
func (s *Server) ExpirePeerWork(now time.Time) {
	for node, work := range s.workByPeer {
		if now.Sub(work.at) >= peerWorkTTL {
			s.dropPeerWork(node)
		}
	}
}

// PeerPrefillTokens returns the prompt tokens of the reports of peers.
func (s *Server) PeerPrefillTokens() int {
	return s.peerPrefillTokens
}

// WorkNeedsAdvertising reports whether this node's work differs from what it last
// advertised by minAdvertisedChange or minAdvertisedMemory, or is not 0 and was
// advertised at least the repeat interval ago.
func (s *Server) WorkNeedsAdvertising(now time.Time, repeat time.Duration) bool {
	prefillChange := s.PrefillTokens - s.advertisedWork.prefillTokens
	memoryChange := s.ownMemory.committed - s.advertisedWork.memoryTokens
	if max(prefillChange, -prefillChange) >= minAdvertisedChange || max(memoryChange, -memoryChange) >= minAdvertisedMemory {
		return true
	}
	return s.ownMemory.committed+s.PrefillTokens > 0 && now.Sub(s.advertisedWork.at) >= repeat
}

// AdvertiseWork returns this node's present work on the server and records that it
// was advertised.
func (s *Server) AdvertiseWork(now time.Time) Work {
	s.advertisedWork = advertisedWork{prefillTokens: s.PrefillTokens, memoryTokens: s.ownMemory.committed, at: now}
	return Work{PrefillTokens: s.PrefillTokens, Memory: s.ownMemory.list()}
}
