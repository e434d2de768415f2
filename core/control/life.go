package control

import (
	"time"

	"tanagerspread/chart"
)

// fireNodeEvent fires an event of the node's chart and announces a new state.
func (s *State) fireNodeEvent(event chart.Event, now time.Time) {
	before := s.nodeChart
	// An event that the chart refuses changes nothing, for example "confirm"
	// of a ready node.
	_ = s.charts.node.Fire(&s.nodeChart, s, event, now)
	s.applyDrainDelay(before, now)
	s.stateChanged(now)
}

// applyDrainDelay sets the drain delay of the settings as the timeout of the
// unready state. A further event of an unready node does not extend it.
func (s *State) applyDrainDelay(before chart.Instance, now time.Time) {
	switch {
	case !s.nodeChart.Is(tagDrainDelay):
	case before.Is(tagDrainDelay):
		s.nodeChart.TimeoutAt = before.TimeoutAt
	case s.options.DrainDelay > 0:
		s.nodeChart.TimeoutAt = now.Add(s.options.DrainDelay)
	}
}

func (s *State) expireNode(now time.Time) {
	_, _ = s.charts.node.Expire(&s.nodeChart, s, now)
	s.stateChanged(now)
}

// stateChanged ends the term of a node that leaves and announces the state.
func (s *State) stateChanged(now time.Time) {
	if s.nodeChart.Is(tagDeparts) {
		s.fireIssuerEvent("leave", now)
	}
	s.announceState()
}

// announceState reports a new state of the node once, also when an action of a
// transition fires the next event.
func (s *State) announceState() {
	if s.nodeChart.State == s.announcedState {
		return
	}
	s.announcedState = s.nodeChart.State
	s.command(NodeState{State: string(s.nodeChart.State), Ready: s.nodeChart.Is(tagReady), Stopped: s.nodeChart.Is(tagStopped)})
}
