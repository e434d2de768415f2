package fleet

import (
	"math"
	"time"
)

const (
	// maxMeasuringWindow is the busy time after which a window is closed and its
	// bytes are added to the sums although transfers are still running.
	maxMeasuringWindow = 2 * time.Second
	// linkAveragingTime is the busy time over which the speed of a link is
	// averaged.
	linkAveragingTime = 20 * time.Second
)

// linkMeter measures the speed of a link while this node uses it. The speed of
// one transfer would be too low, because transfers share the link.
type linkMeter struct {
	running int
	// windowStart is the start of the current busy window. windowBytes counts the
	// bytes that are not yet part of the sums; of transfers that finish at the same
	// time, all but the first add to the next window.
	windowStart time.Time
	windowBytes int64
	// bytesSum and busySum are decaying sums over the busy windows.
	bytesSum float64
	busySum  time.Duration
}

func (m *linkMeter) start(now time.Time) {
	if m.running == 0 {
		m.windowStart = now
	}
	m.running++
}

// finish adds the bytes of a finished transfer. It returns the speed in bytes per
// second, and true when this transfer closes a busy window and bytes have been
// moved.
func (m *linkMeter) finish(now time.Time, bytes int64) (float64, bool) {
	m.running--
	m.windowBytes += bytes
	window := now.Sub(m.windowStart)
	if window <= 0 || m.running > 0 && window < maxMeasuringWindow {
		return 0, false
	}
	decay := math.Exp(-float64(window) / float64(linkAveragingTime))
	m.bytesSum = m.bytesSum*decay + float64(m.windowBytes)
	m.busySum = time.Duration(float64(m.busySum)*decay) + window
	m.windowStart = now
	m.windowBytes = 0
	return m.bytesSum / m.busySum.Seconds(), m.bytesSum > 0
}
