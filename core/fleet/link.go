package fleet

import (
	"math"
	"time"
)

const (
	// linkWindow is the busy time after which the moved bytes are taken over
	// although transfers are still running.
	linkWindow = 2 * time.Second
	// linkMemory is the busy time over which the speed of a link averages.
	linkMemory = 20 * time.Second
)

// linkMeter measures the speed of a link while this node uses it. The speed of
// one transfer would be too low, because transfers share the link.
type linkMeter struct {
	running int
	// since is the start of the current busy window. moved counts the bytes that
	// are not yet part of the sums; transfers that end together add to the next
	// window.
	since time.Time
	moved int64
	// bytes and busy are decaying sums over the busy windows.
	bytes float64
	busy  time.Duration
}

func (m *linkMeter) begin(now time.Time) {
	if m.running == 0 {
		m.since = now
	}
	m.running++
}

// end counts the bytes of a finished transfer. It returns the speed in bytes
// per second when a busy window has ended and any byte was ever moved.
func (m *linkMeter) end(now time.Time, bytes int64) (float64, bool) {
	m.running--
	m.moved += bytes
	window := now.Sub(m.since)
	if window <= 0 || m.running > 0 && window < linkWindow {
		return 0, false
	}
	decay := math.Exp(-float64(window) / float64(linkMemory))
	m.bytes = m.bytes*decay + float64(m.moved)
	m.busy = time.Duration(float64(m.busy)*decay) + window
	m.since = now
	m.moved = 0
	return m.bytes / m.busy.Seconds(), m.bytes > 0
}
