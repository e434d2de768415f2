package fleet

import "time"

const (
	// peerWorkAge is how long the word of a peer about its prompt work counts.
	peerWorkAge = 3 * time.Second
	// toldChange is the least change in tokens that is told at once. Most calls
	// are short, and their work is done before a peer could use the news.
	toldChange = 1000
)

// peerWork is the prompt work that a peer told of.
type peerWork struct {
	tokens int
	at     time.Time
}

// toldWork is what this node told of its own prompt work.
type toldWork struct {
	tokens int
	at     time.Time
}

// NotePeerWork records the prompt work of a peer at the server.
func (s *Server) NotePeerWork(node string, tokens int, at time.Time) {
	if s.peers == nil {
		s.peers = map[string]peerWork{}
	}
	if tokens == 0 {
		delete(s.peers, node)
		return
	}
	s.peers[node] = peerWork{tokens: tokens, at: at}
}

// PeerTokens returns the prompt tokens that peers wait for.
func (s *Server) PeerTokens(now time.Time) int {
	tokens := 0
	for _, work := range s.peers {
		if now.Sub(work.at) < peerWorkAge {
			tokens += work.tokens
		}
	}
	return tokens
}

// WorkChanged reports whether the own prompt work differs notably from what was
// told, or was told so long ago that it must be repeated.
func (s *Server) WorkChanged(now time.Time, repeat time.Duration) bool {
	change := s.PrefillTokens - s.told.tokens
	if max(change, -change) >= toldChange {
		return true
	}
	return s.PrefillTokens > 0 && now.Sub(s.told.at) >= repeat
}

// NoteTold records that the own prompt work was told.
func (s *Server) NoteTold(now time.Time) {
	s.told = toldWork{tokens: s.PrefillTokens, at: now}
}
