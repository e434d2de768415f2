// Package worker holds what the goroutines share that carry out the commands
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

// Teller is the control thread as the workers see it.
type Teller interface {
	Tell(message control.Message) bool
}

// Tell reports a message and logs it when the control queue is full.
func Tell(teller Teller, logger logr.Logger, message control.Message) {
	if !teller.Tell(message) {
		logQueueFull(logger, message)
	}
}

// Enqueue hands a command to a worker without blocking and logs it when the
// queue is full.
func Enqueue[T any](logger logr.Logger, queue chan<- T, command T) {
	select {
	case queue <- command:
	default:
		logQueueFull(logger, command)
	}
}

func logQueueFull(logger logr.Logger, message any) {
	eventlog.Write(logger, event.QueueFull, nil, "message", fmt.Sprintf("%T", message))
}

// Sleep waits and reports false when the context ends first.
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
