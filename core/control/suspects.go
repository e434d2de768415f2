package control

import (
	"slices"
	"sort"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
	"tanagerspread/core/quarantine"
)

// isolationTimeout is the longest time for which a suspect waits for a server
// that no suspect of another node may use.
const isolationTimeout = 3 * time.Second

// suspicionPropagationTime is the time between the suspicion of a request and
// its next attempt. The other nodes learn of the suspect in this time, so that
// suspects of two nodes do not choose the same server.
const suspicionPropagationTime = 200 * time.Millisecond

// recordServerCrash records the crash of a server once for all requests that this
// node had running there.
func (s *State) recordServerCrash(now time.Time, at *attempt) {
	if at.deathNoted {
		return
	}
	s.recent.Forget(at.server.ID)
	s.holdings.Forget(at.server.ID)
	var runs []quarantine.Run
	for _, a := range s.requestsOnServer(at) {
		a.attempt.deathNoted = true
		runs = append(runs, quarantine.Run{Fingerprint: a.fingerprint, Began: a.attempt.began})
	}
	changed := s.quarantine.Died(now, at.server.ID, runs)
	if len(changed) == 0 {
		return
	}
	s.publishQuarantine(now, changed)
	s.countNewSuspects()
}

// requestsOnServer returns the requests that run on the server of the attempt,
// sorted by identifier.
func (s *State) requestsOnServer(at *attempt) []*active {
	var running []*active
	for _, a := range s.requests {
		if a.attempt != nil && a.attempt.server == at.server && isRunning(a.attempt) {
			running = append(running, a)
		}
	}
	sort.Slice(running, func(i, j int) bool { return running[i].ID < running[j].ID })
	return running
}

// isRunning reports whether the attempt was sent and has not finished.
func isRunning(at *attempt) bool {
	return at.position.Is(tagRuns)
}

// countNewSuspects counts running attempts whose fingerprint has become suspect
// as suspects on their servers.
func (s *State) countNewSuspects() {
	for _, a := range s.requests {
		if a.attempt != nil && !a.attempt.suspect && s.quarantine.Suspect(a.fingerprint) {
			s.holdSuspect(a)
		}
	}
}

// quarantineSeen adds the entries of another node to the quarantine list. New
// ones that came from a peer are passed on.
func (s *State) quarantineSeen(now time.Time, m QuarantineSeen) {
	var changed []quarantine.Entry
	for _, e := range m.Entries[:min(len(m.Entries), quarantine.MaxShared)] {
		if s.quarantine.Seen(now, e) {
			changed = append(changed, e)
		}
	}
	if len(changed) == 0 {
		return
	}
	if !m.Service {
		s.gossip(now, changed)
	}
	s.countNewSuspects()
	s.assignQueued(now)
}

// clearSuspicion clears the suspicion against a request that ran to completion.
func (s *State) clearSuspicion(now time.Time, a *active) {
	if s.quarantine.Clear(a.fingerprint) {
		s.publishQuarantine(now, []quarantine.Entry{{Fingerprint: a.fingerprint, Kind: quarantine.Cleared}})
	}
}

// suspectMustWait reports whether a suspect may not run yet because a request of
// the same fingerprint runs or other nodes may not know yet that it is suspect.
func (s *State) suspectMustWait(now time.Time, a *active) bool {
	unpropagated := s.options.Agents && now.Sub(s.quarantine.SuspectSince(a.fingerprint)) < suspicionPropagationTime
	return unpropagated || s.suspectRuns[a.fingerprint] > 0
}

// isolateSuspect reduces the eligible servers to one for a suspect. Only the
// suspect with the highest rendezvous weight at a server may use it, so that
// suspects of different nodes do not share a server. A suspect without such a
// server waits, but not longer than isolationTimeout. The rule does not apply
// while there are more suspects than servers.
func (s *State) isolateSuspect(now time.Time, a *active) []*fleet.Server {
	suspects, _ := s.quarantine.Counts()
	strict := suspects <= len(s.group(a).Servers) && now.Sub(a.position.Entered) < isolationTimeout
	var best *fleet.Server
	var highest uint64
	for _, server := range s.scratch {
		weight := func(f quarantine.Fingerprint) uint64 { return suspectWeight(f, server.ID) }
		if slices.Contains(a.avoid, server.ID) || strict && !s.quarantine.First(a.fingerprint, weight) {
			continue
		}
		if ownWeight := weight(a.fingerprint); best == nil || ownWeight > highest {
			best = server
			highest = ownWeight
		}
	}
	s.scratch = s.scratch[:0]
	if best != nil {
		s.scratch = append(s.scratch, best)
	}
	return s.scratch
}

func suspectWeight(f quarantine.Fingerprint, server fleet.ServerID) uint64 {
	var key cachekey.Key
	copy(key[:], f[:])
	return placement.Weight(key, server)
}
