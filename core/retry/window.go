package retry

import "time"

// windowSlots is the number of parts into which a window is divided. A part
// leaves the window as a whole, so that the window never counts less than its
// length.
const windowSlots = 10

// limitSafetyFactor is the part of the limit that the nodes use, since they count the
// requests and each other a little differently than the servers do.
const limitSafetyFactor = 0.9

// RepeatLimit bounds the repeats of one service.
type RepeatLimit struct {
	// Window is the time over which repeats are counted.
	Window time.Duration
	// Ratio is the number of repeats that one first attempt allows.
	Ratio float64
	// BaseAllowance is the number of repeats that are allowed without requests, over
	// all nodes.
	BaseAllowance float64
}

// RepeatLimiter counts first attempts and repeats of each service in a sliding
// window.
type RepeatLimiter struct {
	limit    RepeatLimit
	services map[string]*window
}

// window counts in a ring of parts.
type window struct {
	firstAttempts [windowSlots + 1]int
	repeats       [windowSlots + 1]int
	// newestSlot is the number of the newest newestSlot.
	newestSlot int64
}

// NewRepeatLimiter returns empty windows. A limit without a window allows every
// repeat.
func NewRepeatLimiter(limit RepeatLimit) *RepeatLimiter {
	return &RepeatLimiter{limit: limit, services: map[string]*window{}}
}

// RecordFirstAttempt counts the first attempt of a request.
func (l *RepeatLimiter) RecordFirstAttempt(service string, now time.Time) {
	current := l.advance(service, now)
	current.firstAttempts[current.newestSlot%(windowSlots+1)]++
}

// RecordRepeat counts a repeat.
func (l *RepeatLimiter) RecordRepeat(service string, now time.Time) {
	current := l.advance(service, now)
	current.repeats[current.newestSlot%(windowSlots+1)]++
}

// Allows reports whether this node, one of the given number, may make one
// more repeat.
func (l *RepeatLimiter) Allows(service string, now time.Time, nodes int) bool {
	if l.limit.Window <= 0 {
		return true
	}
	current := l.advance(service, now)
	// The oldest part may be outside the window, so it counts for the repeats
	// but allows none.
	first := sum(current.firstAttempts) - current.firstAttempts[(current.newestSlot+1)%(windowSlots+1)]
	allowed := limitSafetyFactor * (l.limit.Ratio*float64(first) + l.limit.BaseAllowance/float64(max(nodes, 1)))
	return float64(sum(current.repeats)+1) <= allowed
}

// advance returns the window of a service with its old parts cleared.
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
