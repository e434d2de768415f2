// Package clock tells how long the machine was suspended. The steady clock, by
// which deadlines and leases are counted, stands still meanwhile.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// boot returns the time since the machine was booted, with suspensions. Tests
// replace it.
var boot = bootTime

func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// A system without this clock cannot be suspended unnoticed: the steady
		// clock is all there is.
		return time.Since(started)
	}
	return time.Duration(now.Nano())
}

var started = time.Now()

// Mark is a moment on both clocks.
type Mark struct {
	steady time.Time
	boot   time.Duration
}

// Now returns the present moment.
func Now() Mark {
	return Mark{steady: time.Now(), boot: boot()}
}

// Suspended returns how long the machine was suspended since the mark. The zero
// mark counts as no suspension.
func (m Mark) Suspended() time.Duration {
	if m.steady.IsZero() {
		return 0
	}
	return max(boot()-m.boot-time.Since(m.steady), 0)
}

// key is the key of a mark in a context.
type key struct{}

// With returns a context that carries the present moment.
func With(ctx context.Context) context.Context {
	return context.WithValue(ctx, key{}, Now())
}

// From returns the mark that a context carries, or the zero mark.
func From(ctx context.Context) Mark {
	mark, _ := ctx.Value(key{}).(Mark)
	return mark
}

// Replace lets a test set the time since boot and returns a function that
// restores it.
func Replace(now func() time.Duration) (restore func()) {
	before := boot
	boot = now
	return func() { boot = before }
}
