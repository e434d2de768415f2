package control

import (
	"slices"
	"time"

	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/pace"
)

// restartDelay is how long after its start a node sends nothing to cold servers. The
// bound counts the calls of one second, and an earlier process may have sent some.
const restartDelay = time.Second

// EvacuationSeen reports whether the operator wants nothing to be sent to the servers of
// a failure domain.
type EvacuationSeen struct {
	Domain fleet.Domain
	Active bool
}

func (EvacuationSeen) message() {}

// evacuationSeen starts or ends the evacuation of a failure domain. All nodes learn of
// the end at the same time, and servers that were idle may be cold, so that paced
// servers are approached gradually.
func (s *State) evacuationSeen(now time.Time, m EvacuationSeen) {
	delete(s.uncertainEvacuations, m.Domain)
	if s.evacuated[m.Domain] == m.Active {
		return
	}
	if certainAt := s.storeEra.seenAt.Add(oldEntryTime); !m.Active && now.Before(certainAt) {
		// The copy from which the key-value service came back may lack the request. The
		// operator writes it again within a few seconds.
		s.uncertainEvacuations[m.Domain] = certainAt
		return
	}
	s.logEvent(event.EvacuationChanged, "domain", string(m.Domain), "active", m.Active, "version", uint64(s.version))
	if m.Active {
		s.evacuated[m.Domain] = true
		s.refuseUnservable(now)
		return
	}
	delete(s.evacuated, m.Domain)
	for _, server := range s.serverList {
		if server.Domain == m.Domain && !server.Pace.Cold() {
			s.pacer.Warm(&server.Pace, s.paceConditions(server), now)
		}
	}
	s.assignQueued(now)
}

// refuseUnservable refuses the waiting calls whose servers are all evacuated or leaving.
func (s *State) refuseUnservable(now time.Time) {
	for _, req := range s.requests {
		if req.chart.Is(tagPlaceable) && !s.canServe(req) {
			s.finishWithError(now, req, "refuse", s.noServerError(req))
		}
	}
}

// expireEvacuations ends the evacuations that the operator has not requested again since
// the key-value service came back from a copy without them.
func (s *State) expireEvacuations(now time.Time) {
	for domain, until := range s.uncertainEvacuations {
		if !now.Before(until) {
			s.evacuationSeen(now, EvacuationSeen{Domain: domain})
		}
	}
}

// isEvacuated reports whether nothing may be sent to a server because its failure domain
// is evacuated.
func (s *State) isEvacuated(server *fleet.Server) bool {
	return len(s.evacuated) > 0 && s.evacuated[server.Domain]
}

// recordColdTime records until when the entry of a server states that it is cold. Only a
// new revision counts, because an entry that is read again is older. An entry of the copy
// from which the key-value service came back may be older than the known cold time, which
// it does not shorten.
func recordColdTime(now time.Time, server *fleet.Server, vm VM) {
	if vm.Revision != 0 && vm.Revision == server.EntryRevision {
		return
	}
	if until := now.Add(vm.ColdFor); !vm.FromCopy || until.After(server.ColdUntil) {
		server.ColdUntil = until
	}
}

// applyColdTime limits the calls to a server that is cold, or ends the limit early.
func (s *State) applyColdTime(now time.Time, server *fleet.Server) {
	wasCold := server.Pace.Cold()
	switch isCold := server.ColdUntil.After(now); {
	case isCold:
		s.pacer.Chill(&server.Pace, server.ColdUntil, s.paceConditions(server), now)
	case wasCold:
		s.pacer.Warm(&server.Pace, s.paceConditions(server), now)
	}
	if server.Pace.Cold() != wasCold {
		s.logPace(server, "entry")
	}
}

func (s *State) paceConditions(server *fleet.Server) pace.Conditions {
	c := pace.Conditions{Rule: s.paceRule(server), NotBefore: s.configuration.startedAt.Add(restartDelay)}
	if !c.Rule.Applies() {
		return c
	}
	members := s.paceMembers()
	// A node that is not listed yet does not know the other owners.
	listed := slices.Contains(s.members.Members(), s.options.Node)
	c.Owner = listed && c.Rule.Owns(s.options.Node, string(server.ID), string(server.Domain), members)
	for _, m := range members {
		if m.Domain == string(server.Domain) {
			c.Nodes++
		}
	}
	if c.Nodes == 0 {
		c.Nodes = len(members)
	}
	return c
}

// paceRule returns what the cold servers of a server's service bear.
func (s *State) paceRule(server *fleet.Server) pace.Rule {
	if s.rules == nil {
		return pace.Rule{}
	}
	return pace.Rule{PerSecond: s.rules.Pools[server.Serves].ColdRate, Overshoot: s.options.ColdOvershoot, Slack: s.options.ColdSlack}
}

// paceMembers returns the listed nodes. Whether a node currently responds does not
// matter: nodes would disagree on it, and a silent owner may still send.
func (s *State) paceMembers() []pace.Member {
	members := []pace.Member{{Node: s.options.Node, Domain: string(s.options.Domain)}}
	for _, peer := range s.members.Peers() {
		members = append(members, pace.Member{Node: peer.ID, Domain: peer.Domain})
	}
	return members
}

// expirePaces ends the states of paces whose time has passed.
func (s *State) expirePaces(now time.Time) {
	for _, server := range s.serverList {
		if !server.Pace.Limited() {
			continue
		}
		before := server.Pace.State()
		s.pacer.Expire(&server.Pace, now)
		if server.Pace.State() != before {
			s.logPace(server, "timeout")
		}
	}
}

// maySend reports whether the pace and the evacuation of a server allow a call whose
// connection is open, and counts the call.
func (s *State) maySend(now time.Time, attempt *activeAttempt) bool {
	server := attempt.server
	allows := server.Pace.Allows
	if attempt.opensPaced {
		allows = server.Pace.AllowsSend
	}
	if s.isEvacuated(server) || !allows(now) {
		return false
	}
	attempt.opensPaced = false
	server.Pace.Send(now)
	return true
}

// observePace adjusts the pace of a server to the first part of a response: it is on
// time when the call could still meet its target.
func (s *State) observePace(now time.Time, req *activeRequest, elapsed time.Duration) {
	server := req.attempt.server
	if !server.Pace.Limited() || req.route == nil {
		return
	}
	if target := req.route.FirstPartTarget; target > 0 && elapsed > target {
		s.pacer.Fail(&server.Pace, now)
		return
	}
	s.pacer.Succeed(&server.Pace, now)
}

// logPace logs a change of the pace of a server.
func (s *State) logPace(server *fleet.Server, cause string) {
	s.logEvent(event.PaceChanged, "server", string(server.ID), "state", string(server.Pace.State()), "rate", server.Pace.Rate(), "cause", cause)
}
