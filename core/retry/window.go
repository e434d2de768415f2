package retry

import "time"

// windowSlots is the number of parts into which a window is divided. A part
// leaves the window as a whole, so that the window never counts less than its
// length.
const windowSlots = 10

// ownShare is the part of the limit that the nodes use, since they count the
// requests and each other a little differently than the servers do.
const ownShare = 0.9

// Limit bounds the repeats of one service.
type Limit struct {
	// Window is the time over which repeats are counted.
	Window time.Duration
	// Ratio is the number of repeats that one first attempt allows.
	Ratio float64
	// Slack is the number of repeats that are allowed without requests, over
	// all nodes.
	Slack float64
}

// Windows counts first attempts and repeats of each service in a sliding
// window.
type Windows struct {
	limit    Limit
	services map[string]*window
}

// window counts in a ring of parts.
type window struct {
	first   [windowSlots + 1]int
	repeats [windowSlots + 1]int
	// part is the number of the newest part.
	part int64
}

// NewWindows returns empty windows. A limit without a window allows every
// repeat.
func NewWindows(limit Limit) *Windows {
	return &Windows{limit: limit, services: map[string]*window{}}
}

// NoteFirst counts the first attempt of a request.
func (w *Windows) NoteFirst(service string, now time.Time) {
	at := w.at(service, now)
	at.first[at.part%(windowSlots+1)]++
}

// NoteRepeat counts a repeat.
func (w *Windows) NoteRepeat(service string, now time.Time) {
	at := w.at(service, now)
	at.repeats[at.part%(windowSlots+1)]++
}

// Allows reports whether this node, one of the given number, may make one
// more repeat.
func (w *Windows) Allows(service string, now time.Time, nodes int) bool {
	if w.limit.Window <= 0 {
		return true
	}
	at := w.at(service, now)
	// The oldest part may be outside the window, so it counts for the repeats
	// but allows none.
	first := sum(at.first) - at.first[(at.part+1)%(windowSlots+1)]
	allowed := ownShare * (w.limit.Ratio*float64(first) + w.limit.Slack/float64(max(nodes, 1)))
	return float64(sum(at.repeats)+1) <= allowed
}

// at returns the window of a service with its old parts cleared.
func (w *Windows) at(service string, now time.Time) *window {
	found := w.services[service]
	if found == nil {
		found = &window{}
		w.services[service] = found
	}
	length := max(w.limit.Window/windowSlots, time.Millisecond)
	part := now.UnixNano() / int64(length)
	for i := max(found.part+1, part-windowSlots); i <= part; i++ {
		found.first[i%(windowSlots+1)] = 0
		found.repeats[i%(windowSlots+1)] = 0
	}
	found.part = max(found.part, part)
	return found
}

func sum(counts [windowSlots + 1]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
