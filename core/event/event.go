// Package event defines the numbered log events by which operators follow what
// the system does: their levels, texts and fields.
package event

// Number is the number of a log event.
type Number int

// Level is the verbosity of a log event.
type Level string

// The levels of log events.
const (
	LevelError Level = "error"
	LevelInfo  Level = "info"
	LevelDebug Level = "debug"
)

// Event describes one log event. Text is the constant message of the log line;
// the fields carry the details.
type Event struct {
	Number Number
	Level  Level
	Text   string
	// Fields lists the keys of the line's fields.
	Fields []string
}

// All returns every event in the order of the catalogue, which is grouped by
// subject.
func All() []Event {
	return append([]Event(nil), catalogue...)
}
