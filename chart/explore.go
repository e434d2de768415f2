package chart

import "fmt"

// Step is one transition that Explore takes.
type Step struct {
	From  State
	Event Event
	To    State
	Guard string
}

// Monitor is a safety property as a finite automaton. It returns the state of
// the automaton (the memory) after a step, given that before it, or an error
// when the step violates the property.
type Monitor func(memory int, step Step) (int, error)

// Explore follows every path of a chart, with each guard both true and false,
// until no new pair of chart state and monitor memory appears. It returns the
// first error of the monitor with the path that led to it. The monitor must use
// a bounded number of memory values.
func Explore(def *Definition, monitor Monitor) error {
	type node struct {
		state  State
		memory int
	}
	start := node{state: def.Initial}
	paths := map[node][]Step{start: nil}
	pending := []node{start}
	for len(pending) > 0 {
		current := pending[0]
		pending = pending[1:]
		for _, t := range def.transitionsFrom(current.state) {
			step := Step{From: current.state, Event: t.Event, To: t.To, Guard: t.Guard}
			memory, err := monitor(current.memory, step)
			path := append(append([]Step{}, paths[current]...), step)
			if err != nil {
				return fmt.Errorf("chart %s: %w on path %v", def.Name, err, path)
			}
			next := node{state: t.To, memory: memory}
			if _, ok := paths[next]; !ok {
				paths[next] = path
				pending = append(pending, next)
			}
		}
	}
	return nil
}
