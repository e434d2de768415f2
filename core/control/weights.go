package control

import (
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
)

const (
	// contentionDelay is the delay between two nodes that contend for the lease
	// of the issuer, so that one of them usually has it before the next one asks. A
	// claim takes three calls of the key-value service and the watch of its key.
	contentionDelay = 200 * time.Millisecond
	// maxContentionDelay bounds the delay of the last node.
	maxContentionDelay = 4 * time.Second
	// contentionRetryDelay is the least time between a failed call for the lease and
	// the next attempt.
	contentionRetryDelay = 500 * time.Millisecond
)

// maxStartWait is how long a call may wait at a server before it starts to run:
// a server that loads weights delays its calls for about two seconds.
const maxStartWait = 2 * time.Second

// wantedModels returns the wanted state of each model.
func (s *State) wantedModels() map[string]config.Model {
	if !s.orderParameters().OnDemand {
		return s.rules.Models
	}
	models := map[string]config.Model{}
	for name, wanted := range s.orders.namedWeights {
		models[name] = config.Model{Weights: wanted.Newest()}
	}
	return models
}

// modelOf returns the model of an engine. It is that of the VM list, or what the
// engine serves when the list states no model.
func modelOf(server *fleet.Server) string {
	if server.Model != "" {
		return server.Model
	}
	return server.Serves
}

// orderNeeded reports whether a live engine has outdated weights.
func (s *State) orderNeeded() bool {
	for _, server := range s.serverList {
		if server.Role == fleet.RoleEngine && !server.Chart.Is(fleet.TagLeaving) && s.weightsOutdated(server) {
			return true
		}
	}
	return false
}

// weightsOutdated reports whether an engine has older weights than the operator
// named for its model.
func (s *State) weightsOutdated(server *fleet.Server) bool {
	return server.Weights < s.namedWeights(modelOf(server)).Newest()
}

// issuerSeen updates the recorded holder of the issuer's key.
func (s *State) issuerSeen(now time.Time, m IssuerSeen) {
	s.orders.keyHeld = m.Held
	if m.Node != s.options.Node {
		s.orders.issuer.OtherHolderSeenAt = now
	}
	if !m.Held {
		s.scheduleContention(now, 0)
	}
}

// scheduleContention schedules when this node contends for the lease of the issuer,
// after leastDelay at the earliest. The nodes contend one after the other, in an
// order that differs from term to term.
func (s *State) scheduleContention(now time.Time, leastDelay time.Duration) {
	if !s.orderParameters().OnDemand || s.orders.keyHeld || !s.orders.issuer.Chart.Is(tagStandsBy) {
		return
	}
	rank := s.contendRank()
	delay := leastDelay + min(time.Duration(rank)*contentionDelay, maxContentionDelay)
	s.orders.issuer.Chart.TimeoutAt = now.Add(delay)
	s.logEvent(event.IssuerScheduled, "rank", rank, "delay_ms", delay.Milliseconds(), "ready", s.nodeChart.Is(tagReady), "needed", s.needsIssuer())
}

// scheduleWhenAble schedules contention when this node becomes able to contend, for
// example because it has just become ready.
func (s *State) scheduleWhenAble(now time.Time) {
	able := s.mayContend(s, now)
	if able && !s.orders.ableToContend {
		s.scheduleContention(now, 0)
	}
	s.orders.ableToContend = able
}

// contendRank returns the position of this node in the order in which the members
// that may contend do so. A member that has sent no digest to this process, or is
// leaving or dead, has no position: a node that has just started knows the others
// only as seeds, and would wait for members that are down.
func (s *State) contendRank() int {
	own := s.contendWeight(s.options.Node)
	rank := 0
	for _, peer := range s.members.Peers() {
		heard := !peer.LastReportAt.IsZero() && peer.Chart.Is(tagPresent)
		if heard && s.contendWeight(peer.ID) > own {
			rank++
		}
	}
	return rank
}

// contendWeight returns the sort key of a member in that order. It depends on
// the named weight versions, so the order changes with each of them.
func (s *State) contendWeight(member string) uint64 {
	total := 0
	for _, wanted := range s.orders.namedWeights {
		total += wanted.Newest()
	}
	return placement.MemberWeight(total, member)
}

// markOutdated records in each server whether it is an engine with outdated
// weights.
func (s *State) markOutdated() {
	for _, server := range s.serverList {
		server.WeightsOutdated = server.Role == fleet.RoleEngine && s.weightsOutdated(server)
	}
}

// updateReportedWeights stores the weight version that an engine reported in a
// response, because the list of servers may be old or its source unreachable. It
// returns whether the version is newer than the recorded one. An older version
// counts only in the refusal of an engine that has restarted, since any other
// response may have been overtaken by a newer one.
func (s *State) updateReportedWeights(now time.Time, server *fleet.Server, m AttemptDone) bool {
	reported := m.Weights
	if reported < 0 {
		s.command(LogEvent{Event: event.EngineWeightsInvalid, Fields: []any{"server", string(server.ID)}})
		return false
	}
	before := server.Weights
	older := reported < before && m.OtherServer
	if server.Role != fleet.RoleEngine || reported == 0 || reported <= before && !older {
		return false
	}
	s.command(LogEvent{Event: event.EngineWeightsReported, Fields: []any{"server", string(server.ID), "weights", reported, "known", before}})
	s.recordOutdated(now, server)
	server.ReportedWeights = reported
	server.Weights = reported
	s.markOutdated()
	return reported > before
}

// weightsExpired reports whether an engine has had outdated weights for so long
// that no new request may start on them: a request that is sent now may wait for
// maxStartWait before it runs. Newer weights of unknown age may have been named any
// time ago, so nothing is sent to older ones until a peer reports the age, unless the
// key-value service has the mark of the newer ones.
func (s *State) weightsExpired(now time.Time, server *fleet.Server) bool {
	limit := s.options.OutdatedWeightsLimit
	if limit == 0 || !server.WeightsOutdated {
		return false
	}
	model := modelOf(server)
	newer, found := s.namedWeights(model).FirstNewer(server.Weights)
	if !found {
		return false
	}
	if !newer.AgeKnown() {
		return !s.orders.markedWeights[modelVersion{model, newer.Version}]
	}
	return now.Sub(newer.At) >= limit-maxStartWait
}

// newerWeights returns the first version of a model that was named after the given one,
// and its age. It returns zeros when there is none, and the age unknownAge when the age
// is not known.
func (s *State) newerWeights(now time.Time, model string, version int) (newer int, age time.Duration) {
	named, found := s.namedWeights(model).FirstNewer(version)
	switch {
	case !found:
		return 0, 0
	case !named.AgeKnown():
		return named.Version, unknownAge
	}
	return named.Version, now.Sub(named.At)
}
