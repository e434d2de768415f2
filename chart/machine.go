package chart

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/looplab/fsm"
)

// Bindings maps the guard and action names of a chart to functions. The subject
// is the object whose state the chart describes.
type Bindings[T any] struct {
	Guards  map[string]func(subject T, now time.Time) bool
	Actions map[string]func(subject T, now time.Time)
	// Tags lists the tags that the code asks for. At least one state must have
	// each of them.
	Tags []Tag
}

// Instance is the state of one subject in a chart.
type Instance struct {
	State   State
	Entered time.Time
	// TimeoutAt is when the timeout of the state expires, or zero when the state
	// has none.
	TimeoutAt time.Time

	def *StateDef
}

// Is reports whether the state of the instance has a tag.
func (i *Instance) Is(tag Tag) bool {
	return i.def != nil && slices.Contains(i.def.Tags, tag)
}

// Machine interprets one chart for all instances. It is not safe for use by
// several goroutines.
type Machine[T any] struct {
	def      *Definition
	fsm      *fsm.FSM
	bindings Bindings[T]
	choices  map[choiceKey][]choice
	states   map[State]*StateDef
}

type choiceKey struct {
	event Event
	from  State
}

type choice struct {
	transition *Transition
	fsmEvent   string
}

// RefusedError is returned when a chart has no transition for an event in the
// state of the instance, or when none of the guards holds.
type RefusedError struct {
	Chart string
	State State
	Event Event
}

// Error returns the chart, the event and the state.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("chart %s: event %s refused in state %s", e.Chart, e.Event, e.State)
}

// NewMachine returns a machine for a chart. It returns an error when the chart
// does not pass Check, when it refers to a guard or an action that the bindings
// lack, or when its tags differ from those of the bindings.
func NewMachine[T any](def *Definition, bindings Bindings[T]) (*Machine[T], error) {
	if err := Check(def); err != nil {
		return nil, fmt.Errorf("chart %s: %w", def.Name, err)
	}
	if err := checkBindings(def, bindings); err != nil {
		return nil, fmt.Errorf("chart %s: %w", def.Name, err)
	}
	m := &Machine[T]{def: def, bindings: bindings, choices: map[choiceKey][]choice{}, states: map[State]*StateDef{}}
	for i := range def.States {
		m.states[def.States[i].Name] = &def.States[i]
	}
	m.fsm = fsm.NewFSM(string(def.Initial), m.compile(), fsm.Callbacks{})
	return m, nil
}

func checkBindings[T any](def *Definition, bindings Bindings[T]) error {
	faults := checkTags(def, bindings.Tags)
	for _, t := range def.Transitions {
		if _, ok := bindings.Guards[t.Guard]; t.Guard != "" && !ok {
			faults = append(faults, fmt.Errorf("event %s names unknown guard %q", t.Event, t.Guard))
		}
		for _, action := range t.Actions {
			if _, ok := bindings.Actions[action]; !ok {
				faults = append(faults, fmt.Errorf("event %s names unknown action %q", t.Event, action))
			}
		}
	}
	return errors.Join(faults...)
}

// checkTags finds tags that the code does not expect, and expected tags that no
// state has.
func checkTags(def *Definition, expected []Tag) []error {
	var faults []error
	used := map[Tag]bool{}
	for _, s := range def.States {
		for _, tag := range s.Tags {
			used[tag] = true
			if !slices.Contains(expected, tag) {
				faults = append(faults, fmt.Errorf("state %s has unknown tag %q", s.Name, tag))
			}
		}
	}
	for _, tag := range expected {
		if !used[tag] {
			faults = append(faults, fmt.Errorf("no state has tag %q", tag))
		}
	}
	return faults
}

// compile returns the events for looplab/fsm. Each of several transitions with
// the same event and source state gets an event name of its own, because
// looplab/fsm allows only one target per event and source state.
func (m *Machine[T]) compile() fsm.Events {
	var events fsm.Events
	for i := range m.def.Transitions {
		t := &m.def.Transitions[i]
		for _, from := range t.From {
			key := choiceKey{event: t.Event, from: from}
			name := fmt.Sprintf("%s#%d", t.Event, len(m.choices[key]))
			m.choices[key] = append(m.choices[key], choice{transition: t, fsmEvent: name})
			events = append(events, fsm.EventDesc{Name: name, Src: []string{string(from)}, Dst: string(t.To)})
		}
	}
	return events
}

// Start returns an instance in the initial state.
func (m *Machine[T]) Start(now time.Time) Instance {
	instance := Instance{}
	m.enter(&instance, m.def.Initial, now)
	return instance
}

// Fire applies an event to the instance and then runs the actions of the
// transition. It returns a RefusedError and changes nothing when the chart does
// not allow the event.
func (m *Machine[T]) Fire(instance *Instance, subject T, event Event, now time.Time) error {
	chosen, ok := m.choose(instance.State, subject, event, now)
	if !ok {
		return &RefusedError{Chart: m.def.Name, State: instance.State, Event: event}
	}
	m.fsm.SetState(string(instance.State))
	err := m.fsm.Event(context.Background(), chosen.fsmEvent)
	if err != nil && !errors.As(err, new(fsm.NoTransitionError)) {
		return fmt.Errorf("chart %s: %w", m.def.Name, err)
	}
	m.enter(instance, State(m.fsm.Current()), now)
	for _, action := range chosen.transition.Actions {
		m.bindings.Actions[action](subject, now)
	}
	return nil
}

// Can reports whether Fire would accept the event now.
func (m *Machine[T]) Can(instance *Instance, subject T, event Event, now time.Time) bool {
	_, ok := m.choose(instance.State, subject, event, now)
	return ok
}

// Expire fires the timeout event of the state when its TimeoutAt has been
// reached, and reports whether it did.
func (m *Machine[T]) Expire(instance *Instance, subject T, now time.Time) (bool, error) {
	if instance.TimeoutAt.IsZero() || now.Before(instance.TimeoutAt) {
		return false, nil
	}
	return true, m.Fire(instance, subject, m.states[instance.State].OnTimeout, now)
}

// Definition returns the chart that the machine interprets.
func (m *Machine[T]) Definition() *Definition {
	return m.def
}

// Timeout returns the timeout of the first state with a tag, or 0 when there
// is none.
func (m *Machine[T]) Timeout(tag Tag) time.Duration {
	for i := range m.def.States {
		if slices.Contains(m.def.States[i].Tags, tag) {
			return time.Duration(m.def.States[i].Timeout)
		}
	}
	return 0
}

// IsFinal reports whether no event leaves the state of the instance.
func (m *Machine[T]) IsFinal(instance *Instance) bool {
	return m.states[instance.State].Kind == Final
}

func (m *Machine[T]) choose(from State, subject T, event Event, now time.Time) (choice, bool) {
	for _, c := range m.choices[choiceKey{event: event, from: from}] {
		if c.transition.Guard == "" || m.bindings.Guards[c.transition.Guard](subject, now) {
			return c, true
		}
	}
	return choice{}, false
}

func (m *Machine[T]) enter(instance *Instance, state State, now time.Time) {
	instance.State = state
	instance.def = m.states[state]
	instance.Entered = now
	instance.TimeoutAt = time.Time{}
	if timeout := m.states[state].Timeout; timeout != 0 {
		instance.TimeoutAt = now.Add(time.Duration(timeout))
	}
}
