package control

import (
	"time"

	"tanagerspread/chart"
)

// fireNodeEvent fires an event of the node's chart and announces a new state.
func (s *State) fireNodeEvent(event chart.Event, now time.Time) {
	before := s.lifecycle
	// An event that the chart refuses changes nothing, for example "confirm"
	// of a ready node.
	_ = s.charts.node.Fire(&s.lifecycle, s, event, now)
	s.applyDrainDelay(before, now)
	s.announceState()
}

// applyDrainDelay sets the drain delay of the settings as the deadline of the
// unready state. A further event of an unready node does not extend it.
func (s *State) applyDrainDelay(before chart.Instance, now time.Time) {
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
	s.announceState()
}

// announceState reports a new state of the node once, also when an action of a
// transition fires the next event.
func (s *State) announceState() {
	if s.lifecycle.State == s.announcedState {
		return
	}
	s.announcedState = s.lifecycle.State
	s.command(NodeState{State: string(s.lifecycle.State), Ready: s.lifecycle.Is(tagReady), Stopped: s.lifecycle.Is(tagStopped)})
}
