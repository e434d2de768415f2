package control

import (
	"time"

	"tanagerspread/core/event"
)

const (
	// catchUpTime is how long after its start or a pause a node may still learn of
	// changes that were made long before. A node learns of each change within two
	// seconds.
	catchUpTime = 2 * time.Second
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
// long before. A message may be handled before the first tick after a pause.
func (f *changeFollowing) mayBeOld(now time.Time) bool {
	return now.Sub(f.since) < catchUpTime || f.paused(now)
}

// paused reports whether the process was paused since the last tick.
func (f *changeFollowing) paused(now time.Time) bool {
	return !f.lastTick.IsZero() && now.Sub(f.lastTick) > pauseThreshold
}

// detectPause handles a tick that comes long after the previous one: the process was
// paused, and what it learns in the next time may be old.
func (s *State) detectPause(now time.Time) {
	if s.following.paused(now) {
		s.logEvent(event.PauseDetected, "paused_ms", now.Sub(s.following.lastTick).Milliseconds(), "suspended", false)
		s.following.since = now
	}
	s.following.lastTick = now
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
