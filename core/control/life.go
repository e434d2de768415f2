package control

import (
	"time"

	"tanagerspread/chart"
)

// fireNode moves the life of the node and announces a new state.
func (s *State) fireNode(event chart.Event, now time.Time) {
	before := s.lifecycle
	// An event that the chart refuses changes nothing, for example "confirm"
	// of a ready node.
	_ = s.charts.node.Fire(&s.lifecycle, s, event, now)
	s.limitUnready(before, now)
	s.announce()
}

// limitUnready applies the drain delay of the settings. A further event of an
// unready node does not extend the delay.
func (s *State) limitUnready(before chart.Instance, now time.Time) {
	switch {
	case !s.lifecycle.Is(tagDrainDelay):
	case before.Is(tagDrainDelay):
		s.lifecycle.Deadline = before.Deadline
	case s.options.DrainDelay > 0:
		s.lifecycle.Deadline = now.Add(s.options.DrainDelay)
	}
}

func (s *State) expireNode(now time.Time) {
	_, _ = s.charts.node.Expire(&s.lifecycle, s, now)
	s.announce()
}

// announce reports a new state of the node once, also when an action of a
// transition fires the next event.
func (s *State) announce() {
	if s.lifecycle.State == s.announcedState {
		return
	}
	s.announcedState = s.lifecycle.State
	s.command(NodeState{State: string(s.lifecycle.State), Ready: s.lifecycle.Is(tagReady), Stopped: s.lifecycle.Is(tagStopped)})
}
