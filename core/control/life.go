package control

import (
	"time"

	"tanagerspread/chart"
)

// fireNode moves the life of the node and announces a new state.
func (s *State) fireNode(event chart.Event, now time.Time) {
	before := s.life.State
	if err := s.charts.node.Fire(&s.life, s, event, now); err != nil {
		return
	}
	s.announce(before)
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
