// Package clock tells how long the machine was suspended. The steady clock, by
// which deadlines and leases are counted, stands still meanwhile.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since the machine was booted, with suspensions. Tests
// replace it.
var bootClock = readBootClock

func readBootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// A system without this clock cannot be suspended unnoticed: the steady
		// clock is all there is.
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

var processStart = time.Now()

// Instant is a moment on both clocks.
type Instant struct {
	monotonic time.Time
	sinceBoot time.Duration
}

// Now returns the present moment.
func Now() Instant {
	return Instant{monotonic: time.Now(), sinceBoot: bootClock()}
}

// Suspended returns how long the machine was suspended since the mark. The zero
// mark counts as no suspension.
func (m Instant) Suspended() time.Duration {
	if m.monotonic.IsZero() {
		return 0
	}
	return max(bootClock()-m.sinceBoot-time.Since(m.monotonic), 0)
}

// contextKey is the context key of an Instant.
type contextKey struct{}

// NewContext returns a context that carries the present moment.
func NewContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, contextKey{}, Now())
}

// FromContext returns the mark that a context carries, or the zero mark.
func FromContext(ctx context.Context) Instant {
	instant, _ := ctx.Value(contextKey{}).(Instant)
	return instant
}

// ReplaceBootClock lets a test set the time since boot and returns a function that
// restores it.
func ReplaceBootClock(now func() time.Duration) (restore func()) {
	before := bootClock
	bootClock = now
	return func() { bootClock = before }
}
