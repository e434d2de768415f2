package retry

import "time"

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
	limit    RepeatLimit
	services map[string]*window
}

// window holds the counts of one service in a ring of slots.
type window struct {
	firstAttempts [windowSlots + 1]int
	repeats       [windowSlots + 1]int
	// newestSlot is the number of the newest slot, counted from the Unix epoch.
	newestSlot int64
}

// NewRepeatLimiter returns a limiter without counts. A limit with a Window of 0
// allows every repeat.
func NewRepeatLimiter(limit RepeatLimit) *RepeatLimiter {
	return &RepeatLimiter{limit: limit, services: map[string]*window{}}
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

// Allows reports whether this node, one of the given number of nodes, may make
// one more repeat.
func (l *RepeatLimiter) Allows(service string, now time.Time, nodes int) bool {
	if l.limit.Window <= 0 {
		return true
	}
	current := l.advance(service, now)
	// The oldest slot may lie outside the window. To stay below the limit, its
	// repeats count but its first attempts do not.
	first := sum(current.firstAttempts) - current.firstAttempts[(current.newestSlot+1)%(windowSlots+1)]
	allowed := limitSafetyFactor * (l.limit.Ratio*float64(first) + l.limit.BaseAllowance/float64(max(nodes, 1)))
	return float64(sum(current.repeats)+1) <= allowed
}

// advance moves the window of a service to now, clears the slots that have left
// it, and returns it.
func (l *RepeatLimiter) advance(service string, now time.Time) *window {
	current := l.services[service]
	if current == nil {
		current = &window{}
		l.services[service] = current
	}
	length := max(l.limit.Window/windowSlots, time.Millisecond)
	slot := now.UnixNano() / int64(length)
	for i := max(current.newestSlot+1, slot-windowSlots); i <= slot; i++ {
		current.firstAttempts[i%(windowSlots+1)] = 0
		current.repeats[i%(windowSlots+1)] = 0
	}
	current.newestSlot = max(current.newestSlot, slot)
	return current
}

func sum(counts [windowSlots + 1]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
