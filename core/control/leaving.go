package control

import (
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
)

// recordLeaving stops new work to a server that said at the given time that it
// is leaving, to this node or to a peer. A word from before the VM list
// showed the server live again is out of date.
func (s *State) recordLeaving(server *fleet.Server, at, now time.Time) {
	if !at.After(server.ReturnedAt) || !at.After(server.SaidAt) {
		return
	}
	server.SaidAt = at
	s.fireServerEvent(server, "leave", now)
	if server.Chart.Is(fleet.TagLeaves) && !server.ListedLeaving && !server.RuledLeaving {
		server.Chart.Deadline = at.Add(s.charts.server.Timeout(fleet.TagLeaves))
	}
}

// advertiseLeaving tells peers of a server that the list shows as leaving, since
// their own lists may be behind.
func (s *State) advertiseLeaving(server *fleet.Server, now time.Time) {
	if !s.options.Forwarding || server.ListedLeaving || !server.SaidAt.IsZero() {
		return
	}
	server.SaidAt = now
	s.leavingNews = true
}

// tickLeaving sends the news of leaving servers at once.
func (s *State) tickLeaving(now time.Time) {
	if s.leavingNews {
		s.leavingNews = false
		s.gossip(now, nil)
	}
}

// recordPeerLeaving takes over what a peer heard from leaving servers.
func (s *State) recordPeerLeaving(now, asked time.Time, reports []membership.Leaving) {
	for _, report := range reports {
		server, known := s.servers[fleet.ServerID(report.Server)]
		if !known || server.Address != report.Address || report.Age < 0 || report.Age >= s.charts.server.Timeout(fleet.TagLeaves) {
			continue
		}
		s.recordLeaving(server, asked.Add(-report.Age), now)
	}
}

// sampleLeavingReports picks some words of leaving servers at random, so that each
// one spreads when there are many. A word keeps its age when it is passed on,
// so that peers do not renew it among themselves.
func (s *State) sampleLeavingReports(now time.Time) []membership.Leaving {
	var leaving []*fleet.Server
	for _, server := range s.ordered {
		if !server.SaidAt.IsZero() && now.Sub(server.SaidAt) < s.charts.server.Timeout(fleet.TagLeaves) {
			leaving = append(leaving, server)
		}
	}
	s.random.Shuffle(len(leaving), func(i, j int) { leaving[i], leaving[j] = leaving[j], leaving[i] })
	leaving = leaving[:min(len(leaving), membership.MaxItems)]
	var reports []membership.Leaving
	for _, server := range leaving {
		reports = append(reports, membership.Leaving{Server: string(server.ID), Address: server.Address, Age: now.Sub(server.SaidAt)})
	}
	return reports
}
