package control

import (
	"time"

	"tanagerspread/core/event"
)

const (
	// catchUpTime is how long after its start or a pause a node may still learn of
	// changes that were made long before.
	catchUpTime = 5 * time.Second
	// pauseThreshold is the longest time between two ticks of a process that runs: a
	// multiple of the tick interval that a busy node does not reach.
	pauseThreshold = time.Second
)

// changeFollowing is since when this node has followed the changes of the operator
// without a gap. What it learns at the start or after a gap may be old.
type changeFollowing struct {
	since    time.Time
	lastTick time.Time
}

// mayBeOld reports whether a change that this node learns of now may have been made
// long before.
func (f *changeFollowing) mayBeOld(now time.Time) bool {
	return now.Sub(f.since) < catchUpTime
}

// detectPause handles a tick that comes long after the previous one: the process was
// paused, and what it has learned since the previous tick may be old.
func (s *State) detectPause(now time.Time) {
	previous := s.following.lastTick
	s.following.lastTick = now
	if previous.IsZero() || now.Sub(previous) <= pauseThreshold {
		return
	}
	s.following.since = now
	for _, history := range s.orders.namedWeights {
		history.ForgetSince(previous)
	}
	s.logEvent(event.PauseDetected, "paused_ms", now.Sub(previous).Milliseconds(), "suspended", false)
}

// suspended handles a suspension of the machine, for which the clock stood still.
func (s *State) suspended(now time.Time, m Suspended) {
	s.following.since = now
	for _, history := range s.orders.namedWeights {
		history.ForgetSince(s.following.lastTick)
		history.Shift(m.Duration)
	}
	s.logEvent(event.PauseDetected, "paused_ms", m.Duration.Milliseconds(), "suspended", true)
}
