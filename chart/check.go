package chart

import (
	"errors"
	"fmt"
)

// Check verifies the structure of a chart and returns all faults, joined: a
// missing name, duplicate or unknown states, transitions without an event or a
// source state, states with an invalid kind or timeout, waiting states without a
// timeout, final states that are left by an event or a timeout, other states
// that are left by no event, unreachable states, and transitions that can never
// be taken. NewMachine finds unknown guards, actions and tags, because it knows
// the bindings.
func Check(def *Definition) error {
	var faults []error
	faults = append(faults, checkNames(def)...)
	faults = append(faults, checkTargets(def)...)
	faults = append(faults, checkStates(def)...)
	faults = append(faults, checkShadowed(def)...)
	faults = append(faults, checkReachable(def)...)
	return errors.Join(faults...)
}

func checkNames(def *Definition) []error {
	var faults []error
	if def.Name == "" {
		faults = append(faults, errors.New("chart has no name"))
	}
	if def.state(def.Initial) == nil {
		faults = append(faults, fmt.Errorf("initial state %q is not defined", def.Initial))
	}
	seen := map[State]bool{}
	for _, s := range def.States {
		if seen[s.Name] {
			faults = append(faults, fmt.Errorf("state %s is defined twice", s.Name))
		}
		seen[s.Name] = true
	}
	return faults
}

func checkTargets(def *Definition) []error {
	var faults []error
	for _, t := range def.Transitions {
		if t.Event == "" {
			faults = append(faults, fmt.Errorf("transition to %s has no event", t.To))
		}
		if len(t.From) == 0 {
			faults = append(faults, fmt.Errorf("event %s has no source state", t.Event))
		}
		for _, name := range append([]State{t.To}, t.From...) {
			if def.state(name) == nil {
				faults = append(faults, fmt.Errorf("event %s names unknown state %q", t.Event, name))
			}
		}
	}
	return faults
}

func checkStates(def *Definition) []error {
	var faults []error
	for i := range def.States {
		if err := checkState(def, &def.States[i]); err != nil {
			faults = append(faults, err)
		}
	}
	return faults
}

func checkState(def *Definition, s *StateDef) error {
	hasExit := len(def.transitionsFrom(s.Name)) > 0
	switch s.Kind {
	case Final:
		if hasExit || s.OnTimeout != "" || s.Timeout != 0 {
			return fmt.Errorf("final state %s is left by an event or a timeout", s.Name)
		}
		return nil
	case Waiting:
		if s.Timeout == 0 || s.OnTimeout == "" {
			return fmt.Errorf("state %s waits with no timeout", s.Name)
		}
	case Stable:
		if (s.Timeout == 0) != (s.OnTimeout == "") {
			return fmt.Errorf("state %s has only half of a timeout", s.Name)
		}
	default:
		return fmt.Errorf("state %s has unknown kind %q", s.Name, s.Kind)
	}
	if !hasExit {
		return fmt.Errorf("state %s is neither final nor left by any event", s.Name)
	}
	if s.OnTimeout != "" && !hasTransition(def, s.Name, s.OnTimeout) {
		return fmt.Errorf("state %s has no transition for its timeout event %s", s.Name, s.OnTimeout)
	}
	return nil
}

func hasTransition(def *Definition, from State, event Event) bool {
	for _, t := range def.transitionsFrom(from) {
		if t.Event == event {
			return true
		}
	}
	return false
}

// checkShadowed finds transitions that can never be taken. Transitions of one
// state and event are tried in file order, and the first one without a guard is
// always taken, so that none after it is reached.
func checkShadowed(def *Definition) []error {
	var faults []error
	for _, s := range def.States {
		unguarded := map[Event]bool{}
		for _, t := range def.transitionsFrom(s.Name) {
			if unguarded[t.Event] {
				faults = append(faults, fmt.Errorf("state %s: event %s to %s can never be taken", s.Name, t.Event, t.To))
			}
			if t.Guard == "" {
				unguarded[t.Event] = true
			}
		}
	}
	return faults
}

func checkReachable(def *Definition) []error {
	reached := map[State]bool{def.Initial: true}
	pending := []State{def.Initial}
	for len(pending) > 0 {
		next := pending[0]
		pending = pending[1:]
		for _, t := range def.transitionsFrom(next) {
			if !reached[t.To] {
				reached[t.To] = true
				pending = append(pending, t.To)
			}
		}
	}
	var faults []error
	for _, s := range def.States {
		if !reached[s.Name] {
			faults = append(faults, fmt.Errorf("state %s is unreachable", s.Name))
		}
	}
	return faults
}
