// Package eventlog logs numbered events through logr.
package eventlog

import (
	"github.com/go-logr/logr"

	"tanagerspread/core/event"
)

// fieldEvent is the key of the log field with the number of an event.
const fieldEvent = "event"

// debugVerbosity is the logr verbosity of debug events.
const debugVerbosity = 1

// Write logs an event at its level with its fields and the error, which may be
// nil.
func Write(logger logr.Logger, e event.Event, err error, fields ...any) {
	fields = append([]any{fieldEvent, int(e.Number)}, fields...)
	switch e.Level {
	case event.LevelError:
		logger.Error(err, e.Text, fields...)
	case event.LevelDebug:
		logger.V(debugVerbosity).Info(e.Text, withError(fields, err)...)
	default:
		logger.Info(e.Text, withError(fields, err)...)
	}
}

func withError(fields []any, err error) []any {
	if err == nil {
		return fields
	}
	return append(fields, "error", err.Error())
}
