package control

import (
	"sort"
	"time"

	"tanagerspread/chart"
	eventlist "tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
)

// returnWait is how long after an outage of its source a server may be missing
// from the list. Servers that live are back after about two seconds.
const returnWait = 2200 * time.Millisecond

// vmList takes over the platform's list of VMs. The list lags, so a server
// that said itself that it leaves stays out until it is listed as leaving and
// then live again.
func (s *State) vmList(now time.Time, m VMList) {
	s.listStores(now, m)
	listed := map[fleet.ServerID]bool{}
	for _, vm := range m.VMs {
		if vm.Role != fleet.RoleEngine && vm.Role != fleet.RoleService {
			continue
		}
		listed[fleet.ServerID(vm.ID)] = true
		s.noteVM(now, vm)
	}
	s.noteMembers(now, m)
	for id, server := range s.servers {
		if !listed[id] {
			s.missed(now, server, m.Regained)
		}
	}
	s.orderServers()
	s.followCaches()
	s.applyServerRules(now)
	s.updateServing()
	s.syncEngines(now)
	s.assignQueued(now)
}

// missed removes a server that the list lacks. Just after an outage of the
// source of the list, a server that lives may be missing; it gets some time to
// return.
func (s *State) missed(now time.Time, server *fleet.Server, regained time.Time) {
	until := regained.Add(returnWait)
	if !regained.IsZero() && now.Before(until) {
		server.RemoveAfter = until
		return
	}
	s.removeServer(now, server)
}

func (s *State) removeServer(now time.Time, server *fleet.Server) {
	s.noteBehind(now, server)
	s.fireServer(server, "remove", now)
	delete(s.servers, server.ID)
	s.recent.DropServer(server.ID)
	s.holdings.DropServer(server.ID)
}

func (s *State) noteVM(now time.Time, vm VM) {
	server, known := s.servers[fleet.ServerID(vm.ID)]
	if !known || server.Address != vm.Address || server.StartedAtMS != vm.Born {
		server = &fleet.Server{ID: fleet.ServerID(vm.ID), Chart: s.charts.server.Start(now)}
		s.servers[server.ID] = server
	}
	server.RemoveAfter = time.Time{}
	server.Address = vm.Address
	server.Domain = vm.Domain
	server.Role = vm.Role
	server.Serves = vm.Serves
	if vm.Weights >= server.ReportedWeights {
		// The list has caught up; if it shows older weights later, the engine has
		// started again.
		server.ReportedWeights = 0
	}
	server.Weights = max(vm.Weights, server.ReportedWeights)
	server.Model = vm.Model
	server.MaxConcurrency = vm.Places
	server.StartedAtMS = vm.Born
	if vm.Leaving {
		s.spreadLeaving(server, now)
		server.LeavingByList = true
		s.fireServer(server, "leave", now)
	} else if server.LeavingByList {
		server.LeavingByList = false
		server.LeavingReportedAt = time.Time{}
		server.ReturnedAt = now
		s.fireServer(server, "return", now)
	}
}

// orderServers keeps a sorted list, so that decisions do not depend on the
// order of a map.
func (s *State) orderServers() {
	s.ordered = s.ordered[:0]
	for _, server := range s.servers {
		s.ordered = append(s.ordered, server)
	}
	sort.Slice(s.ordered, func(i, j int) bool { return s.ordered[i].ID < s.ordered[j].ID })
	s.index.Rebuild(s.ordered)
	s.markBehind()
	s.lanes = placement.NewReservation(s.ordered)
}

func (s *State) applyServerRules(now time.Time) {
	if s.rules == nil {
		return
	}
	for _, server := range s.ordered {
		server.LeavingByRule = s.rules.Servers[string(server.ID)].Leaving
		if server.LeavingByRule {
			s.fireServer(server, "leave", now)
		}
	}
}

func (s *State) fireServer(server *fleet.Server, event chart.Event, now time.Time) {
	// An event that the chart refuses changes nothing, for example a second
	// "leave" of a leaving server.
	before := server.Chart.State
	_ = s.charts.server.Fire(&server.Chart, server, event, now)
	s.noteServerState(server, before, event)
	if server.Chart.Is(fleet.TagBackingOff) && server.Chart.Entered.Equal(now) {
		s.spreadProbe(server)
	}
}

// noteServerState logs a new state of a server with the event that led to it.
func (s *State) noteServerState(server *fleet.Server, before chart.State, event chart.Event) {
	if server.Chart.State == before || !s.options.Forwarding {
		return
	}
	s.command(LogEvent{Event: eventlist.ServerStateChanged, Fields: []any{
		"server", string(server.ID), "serves", server.Serves, "from", string(before), "to", string(server.Chart.State),
		"cause", string(event), "failures", server.Failures, "in_flight", server.InFlight,
	}})
}

// spreadProbe delays the probe by a random time, so that the nodes that saw
// the same failure do not all probe at once.
func (s *State) spreadProbe(server *fleet.Server) {
	timeout := s.charts.server.Timeout(fleet.TagBackingOff)
	server.Chart.Deadline = server.Chart.Entered.Add(timeout + time.Duration(s.random.Int64N(int64(timeout))))
}

func (s *State) fireAttempt(a *active, event chart.Event, now time.Time) {
	// A late event of an attempt that has ended changes nothing.
	_ = s.charts.attempt.Fire(&a.attempt.position, a, event, now)
}

func (s *State) expireServers(now time.Time) {
	for _, server := range s.ordered {
		before := server.Chart.State
		if expired, _ := s.charts.server.Expire(&server.Chart, server, now); expired {
			s.noteServerState(server, before, "timeout")
		}
	}
	s.expireMissing(now)
}

// expireMissing removes servers that have not returned after an outage.
func (s *State) expireMissing(now time.Time) {
	removed := false
	for _, server := range s.ordered {
		if !server.RemoveAfter.IsZero() && !now.Before(server.RemoveAfter) {
			s.removeServer(now, server)
			removed = true
		}
	}
	if removed {
		s.orderServers()
		s.updateServing()
		s.syncEngines(now)
	}
}
