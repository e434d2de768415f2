package control

import (
	"sort"
	"time"

	"tanagerspread/chart"
	eventlist "tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
)

// missingGracePeriod is how long a server may be missing from the VM list after
// the source of the list was unreachable. Servers that still run are listed
// again after about two seconds.
const missingGracePeriod = 2200 * time.Millisecond

// vmList updates the servers, stores and members from the platform's list of
// VMs. The list lags, so a server that reported that it is leaving gets no new
// work until it is listed as leaving and then live again. A report that neither
// the list nor a rule confirms expires after the timeout of the chart's leaving
// state; the server is then probed.
func (s *State) vmList(now time.Time, m VMList) {
	s.updateStores(now, m)
	listed := map[fleet.ServerID]bool{}
	for _, vm := range m.VMs {
		if vm.Role != fleet.RoleEngine && vm.Role != fleet.RoleService || s.hasLeft(now, vm) {
			continue
		}
		listed[fleet.ServerID(vm.ID)] = true
		s.updateServer(now, vm)
	}
	s.updateMembers(now, m)
	for id, server := range s.servers {
		if !listed[id] {
			s.handleUnlisted(now, server, m.RecoveredAt)
		}
	}
	s.rebuildServerList()
	s.followCaches()
	s.applyServerRules(now)
	s.updateServing()
	s.syncEngines(now)
	s.assignQueued(now)
}

// handleUnlisted removes a server that is not in the VM list. A running server
// may be missing just after the source of the list was unreachable; it is not
// removed before missingGracePeriod has passed.
func (s *State) handleUnlisted(now time.Time, server *fleet.Server, recoveredAt time.Time) {
	until := recoveredAt.Add(missingGracePeriod)
	if !recoveredAt.IsZero() && now.Before(until) {
		server.RemoveAfter = until
		return
	}
	s.removeServer(now, server)
}

func (s *State) removeServer(now time.Time, server *fleet.Server) {
	s.recordOutdated(now, server)
	s.rememberPause(now, server)
	s.serverEnded(now, server)
	s.recordLeft(now, server)
	s.fireServerEvent(server, "remove", now)
	delete(s.servers, server.ID)
	s.recentPrefixes.DropServer(server.ID)
	s.partIndex.DropServer(server.ID)
}

// updateServer updates a server from its entry in the VM list. A server with
// another address or start time is a new one.
func (s *State) updateServer(now time.Time, vm VM) {
	server, ok := s.servers[fleet.ServerID(vm.ID)]
	if !ok || server.Address != vm.Address || server.StartedAtMS != vm.StartedAtMS {
		s.endPause(now, server)
		if ok {
			s.serverEnded(now, server)
		}
		s.endReplaced(now, vm)
		server = &fleet.Server{ID: fleet.ServerID(vm.ID), Chart: s.charts.server.Start(now), Pace: s.pacer.Start(now)}
		s.servers[server.ID] = server
	}
	s.recordOutdated(now, server)
	server.RemoveAfter = time.Time{}
	server.Address = vm.Address
	server.Domain = vm.Domain
	server.Role = vm.Role
	server.Serves = vm.Serves
	if vm.Weights >= server.ReportedWeights {
		// The list has caught up; if it shows older weights later, the engine has
		// restarted.
		server.ReportedWeights = 0
	}
	server.Weights = max(vm.Weights, server.ReportedWeights)
	server.Model = vm.Model
	server.MaxConcurrency = vm.MaxConcurrency
	server.StartedAtMS = vm.StartedAtMS
	recordColdTime(now, server, vm)
	server.EntryRevision = vm.Revision
	if !ok {
		s.restorePause(now, server)
	}
	s.updateLeaving(now, server, vm.Leaving || s.staysLeaving(now, server, vm))
}

// rebuildServerList sorts the servers, so that decisions do not depend on the
// order of a map, and rebuilds what is derived from the list.
func (s *State) rebuildServerList() {
	s.serverList = s.serverList[:0]
	for _, server := range s.servers {
		s.serverList = append(s.serverList, server)
	}
	sort.Slice(s.serverList, func(i, j int) bool { return s.serverList[i].ID < s.serverList[j].ID })
	s.serverIndex.Rebuild(s.serverList)
	s.fewEngines = hasFewEngines(s.serverList)
	s.markOutdated()
	s.reservation = placement.NewReservation(s.serverList)
}

func (s *State) applyServerRules(now time.Time) {
	if s.rules == nil {
		return
	}
	for _, server := range s.serverList {
		s.applyColdTime(now, server)
		server.LeavingByRule = s.rules.Servers[string(server.ID)].Leaving
		if server.LeavingByRule {
			s.fireServerEvent(server, "leave", now)
		}
	}
}

func (s *State) fireServerEvent(server *fleet.Server, event chart.Event, now time.Time) {
	// An event that the chart refuses changes nothing, for example a second
	// "leave" of a leaving server.
	before := server.Chart.State
	_ = s.charts.server.Fire(&server.Chart, server, event, now)
	s.logServerState(server, before, event)
	if server.Chart.Is(fleet.TagBackingOff) && server.Chart.Entered.Equal(now) {
		s.addProbeJitter(server)
	}
}

// logServerState logs a change of a server's state with the event that caused
// it.
func (s *State) logServerState(server *fleet.Server, before chart.State, event chart.Event) {
	if server.Chart.State == before || !s.options.Forwarding {
		return
	}
	s.command(LogEvent{Event: eventlist.ServerStateChanged, Fields: []any{
		"server", string(server.ID), "serves", server.Serves, "from", string(before), "to", string(server.Chart.State),
		"cause", string(event), "failures", server.Failures, "in_flight", server.InFlight,
		"reason", restReason(server),
	}})
}

// addProbeJitter extends the time before the probe of a server by a random part
// of the chart's timeout, so that the nodes that saw the same failure do not all
// probe at once.
func (s *State) addProbeJitter(server *fleet.Server) {
	timeout := s.charts.server.Timeout(fleet.TagBackingOff)
	server.Chart.TimeoutAt = server.Chart.Entered.Add(timeout + time.Duration(s.random.Int64N(int64(timeout))))
}

func (s *State) fireAttemptEvent(req *activeRequest, event chart.Event, now time.Time) {
	// A late event of a finished attempt changes nothing.
	_ = s.charts.attempt.Fire(&req.attempt.chart, req, event, now)
}

func (s *State) expireServers(now time.Time) {
	for _, server := range s.serverList {
		server.ExpirePeerWork(now)
		before := server.Chart.State
		if expired, _ := s.charts.server.Expire(&server.Chart, server, now); expired {
			s.logServerState(server, before, "timeout")
		}
	}
	s.expireMissing(now)
}

// expireMissing removes servers that are still not listed when
// missingGracePeriod has passed.
func (s *State) expireMissing(now time.Time) {
	removed := false
	for _, server := range s.serverList {
		if !server.RemoveAfter.IsZero() && !now.Before(server.RemoveAfter) {
			s.removeServer(now, server)
			removed = true
		}
	}
	if removed {
		s.rebuildServerList()
		s.updateServing()
		s.syncEngines(now)
	}
}
