package control

import (
	"sort"
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
)

const (
	// contendStep is the delay between two nodes that contend for the lease of
	// the issuer, so that one of them usually has it before the next one asks.
	contendStep = 700 * time.Millisecond
	// maxContendStep bounds the delay of the last node.
	maxContendStep = 4 * time.Second
)

// beginWait is how long a call may wait at a server before it begins to run: a
// loading server holds its calls back for about two seconds.
const beginWait = 2 * time.Second

// weightsNamed takes over a weight version that the operator named. Versions
// only increase.
func (s *State) weightsNamed(now time.Time, m WeightsNamed) {
	before := s.orders.named[m.Model]
	if m.Weights <= before.weights {
		return
	}
	s.orders.named[m.Model] = named{weights: m.Weights, times: append(before.times, namedAt{weights: m.Weights, at: now})}
	s.markBehind()
	s.command(WeightsWanted(m))
	if s.rules != nil {
		s.syncEngines(now)
	}
	s.contendSoon(now)
}

// wantedModels returns the wanted state of each model.
func (s *State) wantedModels() map[string]config.Model {
	if !s.terms().OnDemand {
		return s.rules.Models
	}
	models := map[string]config.Model{}
	for name, wanted := range s.orders.named {
		models[name] = config.Model{Weights: wanted.weights}
	}
	return models
}

// modelOf returns the model of an engine, which is found by its model or by its
// service.
func modelOf(server *fleet.Server) string {
	if server.Model != "" {
		return server.Model
	}
	return server.Serves
}

// orderNeeded reports whether a live engine has older weights than named.
func (s *State) orderNeeded() bool {
	for _, server := range s.ordered {
		if server.Role == fleet.RoleEngine && !server.Chart.Is(fleet.TagLeaves) && s.behind(server) {
			return true
		}
	}
	return false
}

// behind reports whether an engine has older weights than named.
func (s *State) behind(server *fleet.Server) bool {
	return server.Weights < s.orders.named[modelOf(server)].weights
}

// issuerSeen takes over what the key of the issuer shows.
func (s *State) issuerSeen(now time.Time, m IssuerSeen) {
	s.orders.held = m.Held
	if m.Node != s.options.Node {
		s.orders.issuer.OtherHolderSeenAt = now
	}
	if !m.Held {
		s.contendSoon(now)
	}
}

// contendSoon makes the nodes contend one after the other, in an order that
// differs from term to term.
func (s *State) contendSoon(now time.Time) {
	if !s.terms().OnDemand || s.orders.held || !s.orders.issuer.Chart.Is(tagStandsBy) {
		return
	}
	delay := min(time.Duration(s.contendRank())*contendStep, maxContendStep)
	s.orders.issuer.Chart.Deadline = now.Add(delay)
}

// contendRank is the position of this node among the members.
func (s *State) contendRank() int {
	members := append([]string(nil), s.members.Members()...)
	sort.Slice(members, func(i, j int) bool { return s.contendWeight(members[i]) > s.contendWeight(members[j]) })
	for rank, member := range members {
		if member == s.options.Node {
			return rank
		}
	}
	return len(members)
}

func (s *State) contendWeight(member string) uint64 {
	total := 0
	for _, wanted := range s.orders.named {
		total += wanted.weights
	}
	return placement.MemberWeight(total, member)
}

// markBehind notes which engines have older weights than named.
func (s *State) markBehind() {
	for _, server := range s.ordered {
		server.Behind = server.Role == fleet.RoleEngine && s.behind(server)
	}
}

// noteWeights takes over the weights that an engine named in a response and
// reports whether they are newer than the known ones. The list of servers may be
// old, or its source away. Older weights count only in a refusal, of an engine
// that has started again, since other responses may have been overtaken.
func (s *State) noteWeights(server *fleet.Server, m AttemptDone) bool {
	said := m.Weights
	if said < 0 {
		s.command(LogEvent{Event: event.EngineWeightsInvalid, Fields: []any{"server", string(server.ID)}})
		return false
	}
	before := server.Weights
	older := said < before && m.OtherServer
	if server.Role != fleet.RoleEngine || said == 0 || said <= before && !older {
		return false
	}
	s.command(LogEvent{Event: event.EngineWeightsReported, Fields: []any{"server", string(server.ID), "weights", said, "known", before}})
	server.SaidWeights = said
	server.Weights = said
	s.markBehind()
	return said > before
}

// outdated reports whether an engine has had older weights than named for so
// long that no new request may use them.
func (s *State) outdated(now time.Time, server *fleet.Server) bool {
	limit := s.options.WeightsLimit
	if limit == 0 || !server.Behind {
		return false
	}
	return now.Sub(s.orders.named[modelOf(server)].after(server.Weights)) >= limit-beginWait
}
