// Package worker provides helpers for the goroutines that execute the commands
// of the control thread and report results to it.
package worker

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/node/eventlog"
)

// Teller sends messages to the control thread. Tell returns false when the
// control queue is full.
type Teller interface {
	Tell(message control.Message) bool
}

// Tell sends a message to the control thread. When the control queue is full,
// the message is dropped and its type is logged.
func Tell(teller Teller, logger logr.Logger, message control.Message) {
	if !teller.Tell(message) {
		logQueueFull(logger, message)
	}
}

// Enqueue queues a command for a worker without blocking. When the queue is
// full, the command is dropped and its type is logged.
func Enqueue[T any](logger logr.Logger, queue chan<- T, command T) {
	select {
	case queue <- command:
	default:
		logQueueFull(logger, command)
	}
}

func logQueueFull(logger logr.Logger, message any) {
	eventlog.Write(logger, event.ControlQueueFull, nil, "message", fmt.Sprintf("%T", message))
}

// Sleep waits for the duration d. It returns false when the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
