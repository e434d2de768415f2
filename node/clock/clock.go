// Package clock measures how long the machine was suspended. The monotonic
// clock, which times deadlines and leases, stops during a suspension.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since the machine was booted, including
// suspensions. Tests replace it.
var bootClock = readBootClock

func readBootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// A system without CLOCK_BOOTTIME cannot be suspended unnoticed; the
		// monotonic clock is its only one.
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

var processStart = time.Now()

// Instant is a point in time on the monotonic clock and on the boot clock.
type Instant struct {
	monotonic time.Time
	sinceBoot time.Duration
}

// Now returns the current instant.
func Now() Instant {
	return Instant{monotonic: time.Now(), sinceBoot: bootClock()}
}

// Suspended returns how long the machine was suspended since the instant. It
// returns 0 for the zero Instant.
func (i Instant) Suspended() time.Duration {
	if i.monotonic.IsZero() {
		return 0
	}
	return max(bootClock()-i.sinceBoot-time.Since(i.monotonic), 0)
}

// contextKey is the context key of an Instant.
type contextKey struct{}

// NewContext returns a context that carries the current instant.
func NewContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, contextKey{}, Now())
}

// FromContext returns the instant that a context carries, or the zero Instant.
func FromContext(ctx context.Context) Instant {
	instant, _ := ctx.Value(contextKey{}).(Instant)
	return instant
}

// ReplaceBootClock replaces the boot clock in a test and returns a function that
// restores it.
func ReplaceBootClock(now func() time.Duration) (restore func()) {
	before := bootClock
	bootClock = now
	return func() { bootClock = before }
}
