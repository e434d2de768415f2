package control

import (
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
)

// updateLeaving applies the state of a server's entry in the VM list.
func (s *State) updateLeaving(now time.Time, server *fleet.Server, leaving bool) {
	switch {
	case leaving:
		s.advertiseLeaving(server, now)
		server.LeavingByList = true
		server.LeavingRevision = server.EntryRevision
		s.fireServerEvent(server, "leave", now)
	case server.LeavingByResponse:
		// The entry may be older than the response; only another process returns.
		server.LeavingByList = false
	case server.LeavingByList || returnedAfterReport(server):
		server.LeavingByList = false
		server.LeavingRevision = 0
		server.LeavingReportedAt = time.Time{}
		server.ReturnedAt = now
		s.fireServerEvent(server, "return", now)
	}
}

// returnedAfterReport reports whether the list shows a server live in a newer entry
// than the one that a peer saw as leaving. This node may have missed that one.
func returnedAfterReport(server *fleet.Server) bool {
	return server.LeavingRevision != 0 && server.EntryRevision > server.LeavingRevision
}

// recordLeavingResponse records that a response of a server to this node says that it
// leaves. The peers learn of it at once.
func (s *State) recordLeavingResponse(now time.Time, server *fleet.Server) {
	if server.LeavingByResponse {
		return
	}
	server.LeavingByResponse = true
	server.LeavingReportedAt = now
	s.leavingReportPending = true
	s.fireServerEvent(server, "leave", now)
}

// recordLeaving records that a server reported at the given time, to this node
// or to a peer, that it is leaving, and stops new work to it. A report from
// before the VM list showed the server live again is ignored.
func (s *State) recordLeaving(server *fleet.Server, at, now time.Time) {
	if !at.After(server.ReturnedAt) || !at.After(server.LeavingReportedAt) {
		return
	}
	server.LeavingReportedAt = at
	s.fireServerEvent(server, "leave", now)
	if server.Chart.Is(fleet.TagLeaving) && !server.LeavingByList && !server.LeavingByRule {
		server.Chart.TimeoutAt = at.Add(s.charts.server.Timeout(fleet.TagLeaving))
	}
}

// advertiseLeaving advertises to the peers that the VM list shows a server as
// leaving, since their own lists may lag.
func (s *State) advertiseLeaving(server *fleet.Server, now time.Time) {
	if !s.options.Forwarding || server.LeavingByList || !server.LeavingReportedAt.IsZero() {
		return
	}
	server.LeavingReportedAt = now
	s.leavingReportPending = true
}

// tickLeaving sends new leaving reports at once, without waiting for the next
// gossip round.
func (s *State) tickLeaving(now time.Time) {
	if s.leavingReportPending {
		s.leavingReportPending = false
		s.gossip(now)
	}
}

// recordPeerLeaving records the leaving reports of a peer's digest. Their ages
// count from askedAt. Reports of unknown servers and expired ones are ignored.
func (s *State) recordPeerLeaving(now, askedAt time.Time, reports []membership.LeavingReport) {
	for _, report := range reports {
		server := s.servers[fleet.ServerID(report.Server)]
		if server == nil || !s.concerns(report, server) {
			continue
		}
		if report.Revision != 0 {
			s.recordListedLeaving(server, report.Revision, askedAt.Add(-report.Age), now)
			continue
		}
		s.recordLeaving(server, askedAt.Add(-report.Age), now)
	}
}

// concerns reports whether a leaving report is valid and about the server's present
// process.
func (s *State) concerns(report membership.LeavingReport, server *fleet.Server) bool {
	if server.Address != report.Address || report.Age < 0 || report.Age >= s.charts.server.Timeout(fleet.TagLeaving) {
		return false
	}
	return report.StartedAtMS == 0 || server.StartedAtMS == 0 || report.StartedAtMS == server.StartedAtMS
}

// recordListedLeaving records that a peer saw an entry of the VM list that shows the
// server as leaving. The time of the report is that of the peer's reading, which may
// be late, so only the revisions tell whether the server has returned since.
func (s *State) recordListedLeaving(server *fleet.Server, revision uint64, at, now time.Time) {
	if revision <= max(server.EntryRevision, server.LeavingRevision) {
		return
	}
	server.LeavingRevision = revision
	server.ReturnedAt = time.Time{}
	s.recordLeaving(server, at, now)
}

// sampleLeavingReports returns up to membership.MaxPeriodicItems random reports of
// leaving servers, so that each one reaches the peers when there are many. A report
// keeps its age when it is relayed, so that peers do not renew it among themselves.
func (s *State) sampleLeavingReports(now time.Time) []membership.LeavingReport {
	var leaving []*fleet.Server
	for _, server := range s.serverList {
		if !server.LeavingReportedAt.IsZero() && now.Sub(server.LeavingReportedAt) < s.charts.server.Timeout(fleet.TagLeaving) {
			leaving = append(leaving, server)
		}
	}
	s.random.Shuffle(len(leaving), func(i, j int) { leaving[i], leaving[j] = leaving[j], leaving[i] })
	leaving = leaving[:min(len(leaving), membership.MaxPeriodicItems)]
	var reports []membership.LeavingReport
	for _, server := range leaving {
		reports = append(reports, membership.LeavingReport{
			Server: string(server.ID), Address: server.Address, StartedAtMS: server.StartedAtMS,
			Revision: server.LeavingRevision, Age: now.Sub(server.LeavingReportedAt),
		})
	}
	return reports
}
