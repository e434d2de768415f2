package control

import (
	"time"

	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
)

// pauseJitter is the upper bound of the random part of a pause, so that the nodes that a
// server has turned away together do not come back together.
const pauseJitter = 250 * time.Millisecond

// serverNotice applies what the server of an attempt says about itself.
func (s *State) serverNotice(now time.Time, m ServerNotice) {
	req, ok := s.currentAttempt(m.Request, m.Attempt)
	if !ok {
		return
	}
	server := req.attempt.server
	if m.Notice.Leaving {
		s.recordLeavingResponse(now, server)
	}
	switch retryAfter := m.Notice.RetryAfter; {
	case retryAfter < 0:
		s.logEvent(event.RetryAfterInvalid, "server", string(server.ID))
	case retryAfter > 0:
		s.pauseServer(now, server, retryAfter)
	}
}

// pauseServer sends no calls to a server for as long as it wants none from this node.
// Afterwards the server is probed with one call at a time, so that the waiting calls do
// not all go to the first server that wants calls again.
func (s *State) pauseServer(now time.Time, server *fleet.Server, pause time.Duration) {
	until := now.Add(pause + time.Duration(s.random.Int64N(int64(pauseJitter))))
	if server.Chart.Is(fleet.TagPaused) && server.Chart.TimeoutAt.After(until) {
		return
	}
	s.fireServerEvent(server, "pause", now)
	if server.Chart.Is(fleet.TagPaused) {
		server.Chart.TimeoutAt = until
	}
}
