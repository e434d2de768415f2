package fleet

import "time"

const (
	// peerWorkTTL is how long a peer's report of its prefill work is valid.
	peerWorkTTL = 3 * time.Second
	// minAdvertisedChange is the smallest change in tokens that is advertised at
	// once. Most calls are short, and their prefill finishes before a peer could
	// use the report.
	minAdvertisedChange = 1000
)

// reportedWork is the prefill work that a peer reported.
type reportedWork struct {
	tokens int
	at     time.Time
}

// advertisedWork is the prefill work of its own that this node last advertised.
type advertisedWork struct {
	tokens int
	at     time.Time
}

// RecordPeerWork records the prefill work that a peer reports on the server; 0
// tokens remove the record.
func (s *Server) RecordPeerWork(node string, tokens int, at time.Time) {
	if s.workByPeer == nil {
		s.workByPeer = map[string]reportedWork{}
	}
	if tokens == 0 {
		delete(s.workByPeer, node)
		return
	}
	s.workByPeer[node] = reportedWork{tokens: tokens, at: at}
}

// PeerPrefillTokens returns the prompt tokens that peers have reported within
// peerWorkTTL.
func (s *Server) PeerPrefillTokens(now time.Time) int {
	tokens := 0
	for _, work := range s.workByPeer {
		if now.Sub(work.at) < peerWorkTTL {
			tokens += work.tokens
		}
	}
	return tokens
}

// WorkNeedsAdvertising reports whether this node's prefill work differs by
// minAdvertisedChange or more from what it last advertised, or is not 0 and was
// advertised at least the repeat interval ago.
func (s *Server) WorkNeedsAdvertising(now time.Time, repeat time.Duration) bool {
	change := s.PrefillTokens - s.advertisedWork.tokens
	if max(change, -change) >= minAdvertisedChange {
		return true
	}
	return s.PrefillTokens > 0 && now.Sub(s.advertisedWork.at) >= repeat
}

// RecordWorkAdvertised records that this node advertised its present prefill work.
func (s *Server) RecordWorkAdvertised(now time.Time) {
	s.advertisedWork = advertisedWork{tokens: s.PrefillTokens, at: now}
}
