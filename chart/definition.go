package chart

import (
	"fmt"
	"slices"
	"time"
)

// State is the name of a state in a chart.
type State string

// Event is the name of an event in a chart.
type Event string

// Tag marks states that the code treats alike. The code asks for tags instead of
// the names of states, so that a chart may rename and split its states freely.
type Tag string

// Kind defines how long an instance may stay in a state.
type Kind string

// The kinds of states.
const (
	// Waiting states expect an event and must have a timeout.
	Waiting Kind = "waiting"
	// Stable states last until an event arrives and may have a timeout.
	Stable Kind = "stable"
	// Final states are left by no event and have no timeout.
	Final Kind = "final"
)

// Definition is a chart as read from its file.
type Definition struct {
	Name        string       `toml:"name"`
	Title       string       `toml:"title"`
	Initial     State        `toml:"initial"`
	States      []StateDef   `toml:"state"`
	Transitions []Transition `toml:"transition"`
}

// StateDef describes one state.
type StateDef struct {
	Name State `toml:"name"`
	Kind Kind  `toml:"kind"`
	// Timeout is a duration with its unit, for example "5s".
	Timeout Duration `toml:"timeout"`
	// OnTimeout is the event that fires when the timeout passes.
	OnTimeout Event `toml:"on_timeout"`
	// Tags mark the state for the code.
	Tags []Tag `toml:"tags"`
}

// Transition moves an instance from one of several states to another.
// Transitions that share an event and a source state are tried in the order
// of the file; the first one whose guard holds is taken.
type Transition struct {
	Event   Event    `toml:"event"`
	From    []State  `toml:"from"`
	To      State    `toml:"to"`
	Guard   string   `toml:"guard"`
	Actions []string `toml:"actions"`
}

// Duration is a time.Duration that is written with its unit in a chart file.
type Duration time.Duration

// UnmarshalText parses a duration such as "250ms". It returns an error when
// the unit is missing or the duration is not positive.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	if value <= 0 {
		return fmt.Errorf("duration %s is not positive", value)
	}
	*d = Duration(value)
	return nil
}

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// state returns the definition of a state, or nil when the chart lacks it.
func (d *Definition) state(name State) *StateDef {
	for i := range d.States {
		if d.States[i].Name == name {
			return &d.States[i]
		}
	}
	return nil
}

// transitionsFrom returns the transitions that leave a state, in file order.
func (d *Definition) transitionsFrom(from State) []*Transition {
	var out []*Transition
	for i := range d.Transitions {
		if slices.Contains(d.Transitions[i].From, from) {
			out = append(out, &d.Transitions[i])
		}
	}
	return out
}
