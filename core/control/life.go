package control

import (
	"time"

	"tanagerspread/chart"
)

// fireNode moves the life of the node and announces a new state.
func (s *State) fireNode(event chart.Event, now time.Time) {
	before := s.life
	if err := s.charts.node.Fire(&s.life, s, event, now); err != nil {
		return
	}
	s.limitUnready(before, now)
	s.announce(before.State)
}

// limitUnready applies the drain delay of the settings. A further event of an
// unready node does not extend the delay.
func (s *State) limitUnready(before chart.Instance, now time.Time) {
	switch {
	case s.life.State != "unready":
	case before.State == "unready":
		s.life.Deadline = before.Deadline
	case s.options.DrainDelay > 0:
		s.life.Deadline = now.Add(s.options.DrainDelay)
	}
}

func (s *State) expireNode(now time.Time) {
	before := s.life.State
	expired, err := s.charts.node.Expire(&s.life, s, now)
	if expired && err == nil {
		s.announce(before)
	}
}

func (s *State) announce(before chart.State) {
	if s.life.State == before {
		return
	}
	s.command(NodeState{State: string(s.life.State), Ready: s.life.State == "ready"})
}
