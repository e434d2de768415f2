package control

import (
	"maps"
	"time"

	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
)

// pauseJitter is the upper bound of the random part of a pause, so that the nodes that a
// server has turned away together do not come back together.
const pauseJitter = 250 * time.Millisecond

// maxOrderPause bounds how long an order waits for the state of an engine that wants
// nothing from this node. A longer wait would occupy the load of the rollout.
const maxOrderPause = time.Minute

// serverNotice applies what the server of an attempt says about itself.
func (s *State) serverNotice(now time.Time, m ServerNotice) {
	req, ok := s.currentAttempt(m.Request, m.Attempt)
	if !ok {
		return
	}
	s.applyNotice(now, req.attempt.server, m.Notice)
}

// managementNotice applies what a server says about itself in its response to a
// management call. A server that has moved to another address since is another process.
func (s *State) managementNotice(now time.Time, m ManagementNotice) {
	server := s.servers[m.Server]
	if server == nil || server.Address != m.Address {
		return
	}
	s.applyNotice(now, server, m.Notice)
}

func (s *State) applyNotice(now time.Time, server *fleet.Server, notice Notice) {
	if notice.Leaving {
		s.recordLeavingResponse(now, server)
	}
	switch retryAfter := notice.RetryAfter; {
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
	s.pauseServerUntil(now, server, now.Add(pause+time.Duration(s.random.Int64N(int64(pauseJitter)))))
}

func (s *State) pauseServerUntil(now time.Time, server *fleet.Server, until time.Time) {
	if server.Chart.Is(fleet.TagPaused) && server.Chart.TimeoutAt.After(until) {
		return
	}
	s.fireServerEvent(server, "pause", now)
	if !server.Chart.Is(fleet.TagPaused) {
		return
	}
	server.Chart.TimeoutAt = until
	if server.Role == fleet.RoleEngine {
		s.command(HoldCacheCalls{Target: string(server.ID), Address: server.Address, Until: until})
	}
}

// removedPause is the pause of a server whose entry is missing.
type removedPause struct {
	address     string
	startedAtMS int64
	until       time.Time
}

// rememberPause keeps the pause of a server that is removed, because its process may run
// and its entry return.
func (s *State) rememberPause(now time.Time, server *fleet.Server) {
	maps.DeleteFunc(s.removedPauses, func(_ fleet.ServerID, pause removedPause) bool { return !now.Before(pause.until) })
	if server.Chart.Is(fleet.TagPaused) && now.Before(server.Chart.TimeoutAt) {
		s.removedPauses[server.ID] = removedPause{server.Address, server.StartedAtMS, server.Chart.TimeoutAt}
	}
}

// restorePause pauses a server whose entry has returned until the end of its pause.
// Another process has made no such request.
func (s *State) restorePause(now time.Time, server *fleet.Server) {
	pause, removed := s.removedPauses[server.ID]
	delete(s.removedPauses, server.ID)
	if removed && pause.address == server.Address && pause.startedAtMS == server.StartedAtMS && now.Before(pause.until) {
		s.pauseServerUntil(now, server, pause.until)
	}
}

// endPause lets the cache events of a server be read at once when another process
// replaces the one that wanted no calls. The server is nil when there was none.
func (s *State) endPause(now time.Time, server *fleet.Server) {
	if server != nil && server.Role == fleet.RoleEngine && server.Chart.Is(fleet.TagPaused) {
		s.command(HoldCacheCalls{Target: string(server.ID), Address: server.Address, Until: now})
	}
}

// orderPauseEnd returns until when the order of a paused engine waits for its state, and
// whether the engine is paused.
func (s *State) orderPauseEnd(id fleet.ServerID) (time.Time, bool) {
	end, paused := s.pauseEnd(id)
	if !paused {
		return time.Time{}, false
	}
	if limit := s.servers[id].Chart.Entered.Add(maxOrderPause); limit.Before(end) {
		end = limit
	}
	return end, true
}

// pauseEnd returns when a server that wants nothing from this node may be called again,
// and whether it is paused.
func (s *State) pauseEnd(id fleet.ServerID) (time.Time, bool) {
	server := s.servers[id]
	if server == nil || !server.Chart.Is(fleet.TagPaused) {
		return time.Time{}, false
	}
	return server.Chart.TimeoutAt, true
}
