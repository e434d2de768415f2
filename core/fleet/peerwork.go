package fleet

import "time"

const (
	// peerWorkTTL is how long the word of a peer about its prompt work counts.
	peerWorkTTL = 3 * time.Second
	// minAdvertisedChange is the least change in tokens that is told at once. Most calls
	// are short, and their work is done before a peer could use the news.
	minAdvertisedChange = 1000
)

// reportedWork is the prompt work that a peer told of.
type reportedWork struct {
	tokens int
	at     time.Time
}

// advertisedWork is what this node told of its own prompt work.
type advertisedWork struct {
	tokens int
	at     time.Time
}

// RecordPeerWork records the prompt work of a peer at the server.
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

// PeerPrefillTokens returns the prompt tokens that peers wait for.
func (s *Server) PeerPrefillTokens(now time.Time) int {
	tokens := 0
	for _, work := range s.workByPeer {
		if now.Sub(work.at) < peerWorkTTL {
			tokens += work.tokens
		}
	}
	return tokens
}

// WorkNeedsAdvertising reports whether the own prompt work differs notably from what was
// told, or was told so long ago that it must be repeated.
func (s *Server) WorkNeedsAdvertising(now time.Time, repeat time.Duration) bool {
	change := s.PrefillTokens - s.advertisedWork.tokens
	if max(change, -change) >= minAdvertisedChange {
		return true
	}
	return s.PrefillTokens > 0 && now.Sub(s.advertisedWork.at) >= repeat
}

// RecordWorkAdvertised records that the own prompt work was told.
func (s *Server) RecordWorkAdvertised(now time.Time) {
	s.advertisedWork = advertisedWork{tokens: s.PrefillTokens, at: now}
}
