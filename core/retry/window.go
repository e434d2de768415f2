package retry

import (
	"slices"
	"time"
)

// windowSlots is the number of slots into which a window is divided. The ring has
// one more slot, so that the counted slots always cover the length of the window.
const windowSlots = 10

// limitSafetyFactor is the fraction of the limit that the nodes use, because
// their counts of requests and of nodes differ slightly from those of the
// servers.
const limitSafetyFactor = 0.9

// RepeatLimit bounds the repeated attempts at one service.
type RepeatLimit struct {
	// Window is the time over which repeats are counted.
	Window time.Duration
	// Ratio is the number of repeats allowed per first attempt.
	Ratio float64
	// BaseAllowance is the number of repeats that all nodes together may make
	// in a window in addition to those that Ratio allows. It is the setting
	// retry_slack, which platform.Settings calls RetrySlack.
	BaseAllowance float64
}

// RepeatLimiter counts the first attempts and the repeats at each service in a
// sliding window and limits the repeats.
type RepeatLimiter struct {
	limit     RepeatLimit
	startedAt time.Time
	services  map[string]*window
	// sharers has the largest number of nodes that shared the limit in each of the
	// newest slots, up to sharersSlot.
	sharers     [windowSlots + 1]int
	sharersSlot int64
}

// window holds the counts of one service in a ring of slots.
type window struct {
	firstAttempts [windowSlots + 1]int
	repeats       [windowSlots + 1]int
	// newestSlot is the number of the newest slot, counted from the Unix epoch.
	newestSlot int64
}

// NewRepeatLimiter returns a limiter without counts for a node that starts now. A limit
// with a Window of 0 allows every repeat.
func NewRepeatLimiter(limit RepeatLimit, now time.Time) *RepeatLimiter {
	return &RepeatLimiter{limit: limit, startedAt: now, services: map[string]*window{}}
}

// RecordNodes records the number of nodes that share the limit.
func (l *RepeatLimiter) RecordNodes(nodes int, now time.Time) {
	slot := l.slot(now)
	for i := max(l.sharersSlot+1, slot-windowSlots); i <= slot; i++ {
		l.sharers[i%(windowSlots+1)] = 0
	}
	l.sharersSlot = max(l.sharersSlot, slot)
	newest := &l.sharers[l.sharersSlot%(windowSlots+1)]
	*newest = max(*newest, nodes)
}

// RecordFirstAttempt counts the first attempt of a request at a service.
func (l *RepeatLimiter) RecordFirstAttempt(service string, now time.Time) {
	current := l.advance(service, now)
	current.firstAttempts[current.newestSlot%(windowSlots+1)]++
}

// RecordRepeat counts a repeated attempt at a service.
func (l *RepeatLimiter) RecordRepeat(service string, now time.Time) {
	current := l.advance(service, now)
	current.repeats[current.newestSlot%(windowSlots+1)]++
}

// Allows reports whether this node may make one more repeat.
func (l *RepeatLimiter) Allows(service string, now time.Time) bool {
	if l.limit.Window <= 0 {
		return true
	}
	current := l.advance(service, now)
	// The oldest slot may lie outside the window. To stay below the limit, its
	// repeats count but its first attempts do not.
	first := sum(current.firstAttempts) - current.firstAttempts[(current.newestSlot+1)%(windowSlots+1)]
	allowed := limitSafetyFactor * (l.ratio(now)*float64(first) + l.baseShare(now))
	return float64(sum(current.repeats)+1) <= allowed
}

// ratio returns the number of repeats allowed per first attempt. It grows from 0 to that
// of the limit in the first window of a node, because the repeats of an earlier process
// leave the window only then.
func (l *RepeatLimiter) ratio(now time.Time) float64 {
	return l.limit.Ratio * min(now.Sub(l.startedAt).Seconds()/l.limit.Window.Seconds(), 1)
}

// baseShare returns the part of the base allowance that this node may use. It is 0 until
// the node has run for a window, because an earlier process of the node may have used it,
// and that of the largest number of nodes in the window, because nodes that have left
// may have used theirs.
func (l *RepeatLimiter) baseShare(now time.Time) float64 {
	if now.Sub(l.startedAt) < l.limit.Window {
		return 0
	}
	return l.limit.BaseAllowance / float64(max(slices.Max(l.sharers[:]), 1))
}

// advance moves the window of a service to now, clears the slots that have left
// it, and returns it.
func (l *RepeatLimiter) advance(service string, now time.Time) *window {
	current := l.services[service]
	if current == nil {
		current = &window{}
		l.services[service] = current
	}
	slot := l.slot(now)
	for i := max(current.newestSlot+1, slot-windowSlots); i <= slot; i++ {
		current.firstAttempts[i%(windowSlots+1)] = 0
		current.repeats[i%(windowSlots+1)] = 0
	}
	current.newestSlot = max(current.newestSlot, slot)
	return current
}

// slot returns the number of the slot of a time, counted from the Unix epoch.
func (l *RepeatLimiter) slot(now time.Time) int64 {
	length := max(l.limit.Window/windowSlots, time.Millisecond)
	return now.UnixNano() / int64(length)
}

func sum(counts [windowSlots + 1]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
