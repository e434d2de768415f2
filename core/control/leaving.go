package control

import (
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
)

// serverSaid stops new work to a server that said at the given time that it
// is leaving, to this node or to a peer. A word from before the VM list
// showed the server live again is out of date.
func (s *State) serverSaid(server *fleet.Server, at, now time.Time) {
	if !at.After(server.ReturnedAt) || !at.After(server.SaidAt) {
		return
	}
	server.SaidAt = at
	s.fireServer(server, "leave", now)
	if server.Chart.Is(fleet.TagLeaves) && !server.ListedLeaving && !server.RuledLeaving {
		server.Chart.Deadline = at.Add(s.charts.server.Timeout(fleet.TagLeaves))
	}
}

// spreadLeaving tells peers of a server that the list shows as leaving, since
// their own lists may be behind.
func (s *State) spreadLeaving(server *fleet.Server, now time.Time) {
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
		s.spread(now, nil)
	}
}

// peerWords takes over what a peer heard from leaving servers.
func (s *State) peerWords(now, asked time.Time, words []membership.LeavingReport) {
	for _, word := range words {
		server, known := s.servers[fleet.ServerID(word.Server)]
		if !known || server.Address != word.Address || word.Age < 0 || word.Age >= s.charts.server.Timeout(fleet.TagLeaves) {
			continue
		}
		s.serverSaid(server, asked.Add(-word.Age), now)
	}
}

// leavingWords picks some words of leaving servers at random, so that each
// one spreads when there are many. A word keeps its age when it is passed on,
// so that peers do not renew it among themselves.
func (s *State) leavingWords(now time.Time) []membership.LeavingReport {
	var said []*fleet.Server
	for _, server := range s.ordered {
		if !server.SaidAt.IsZero() && now.Sub(server.SaidAt) < s.charts.server.Timeout(fleet.TagLeaves) {
			said = append(said, server)
		}
	}
	s.random.Shuffle(len(said), func(i, j int) { said[i], said[j] = said[j], said[i] })
	said = said[:min(len(said), membership.MaxPeriodicItems)]
	var out []membership.LeavingReport
	for _, server := range said {
		out = append(out, membership.LeavingReport{Server: string(server.ID), Address: server.Address, Age: now.Sub(server.SaidAt)})
	}
	return out
}
