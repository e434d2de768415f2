package measure

import (
	"sync/atomic"

	"github.com/go-logr/logr"

	"tanagerspread/core/event"
)

// failureSink counts the failed attempts and the violated invariants that the
// nodes log. Each retry follows a failed attempt, so the number of failed attempts
// is an upper bound on the retries.
type failureSink struct {
	attempts   atomic.Int64
	violations atomic.Int64
}

// Init does nothing.
func (s *failureSink) Init(logr.RuntimeInfo) {}

// Enabled returns true for all levels.
func (s *failureSink) Enabled(int) bool { return true }

// Info counts a log event.
func (s *failureSink) Info(_ int, message string, _ ...any) {
	s.count(message)
}

// Error counts a log event.
func (s *failureSink) Error(_ error, message string, _ ...any) {
	s.count(message)
}

func (s *failureSink) count(message string) {
	switch message {
	case event.AttemptFailed.Text:
		s.attempts.Add(1)
	case event.InvariantFailed.Text:
		s.violations.Add(1)
	}
}

// WithValues returns the same sink.
func (s *failureSink) WithValues(...any) logr.LogSink { return s }

// WithName returns the same sink.
func (s *failureSink) WithName(string) logr.LogSink { return s }
