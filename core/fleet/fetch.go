package fleet

import "time"

// maxLinkWait bounds the wait for the link of a server. Engines do not start a transfer
// that would wait longer.
const maxLinkWait = 2 * time.Second

// FetchWait returns the time until a fetch that takes the given time has ended at the
// server, behind the fetches of this node's other calls. It is 0 without a fetch.
func (s *Server) FetchWait(now time.Time, fetch time.Duration) time.Duration {
	if fetch <= 0 {
		return 0
	}
	return min(max(s.LinkFreeAt.Sub(now), 0), maxLinkWait) + fetch
}

// ReserveLink records that a call of this node fetches for the given time.
func (s *Server) ReserveLink(now time.Time, fetch time.Duration) {
	if fetch > 0 {
		s.LinkFreeAt = now.Add(s.FetchWait(now, fetch))
	}
}
