// Package event lists the numbered log events of the system.
package event

// Number identifies a log event.
type Number int

// Level is the verbosity of a log event.
type Level string

// The levels of log events.
const (
	LevelError Level = "error"
	LevelInfo  Level = "info"
	LevelDebug Level = "debug"
)

// Event describes one log event. Text is the constant message of the line;
// details are in its fields.
type Event struct {
	Number Number
	Level  Level
	Text   string
	// Fields names the keys that the line carries.
	Fields []string
}

// All returns every event in ascending order.
func All() []Event {
	return append([]Event(nil), catalogue...)
}
