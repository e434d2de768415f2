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

// isolationWait is the longest time for which a suspect waits for a server
// that no suspect of another node may use.
const isolationWait = 3 * time.Second

// suspicionSettles is the time between the suspicion of a request and its next
// attempt. The other nodes learn in this time which suspects there are, so
// that suspects of two nodes do not choose the same server.
const suspicionSettles = 200 * time.Millisecond

// serverDied records the death of a server once for all requests that this
// node had in progress there.
func (s *State) serverDied(now time.Time, at *attempt) {
	if at.deathNoted {
		return
	}
	s.recent.Forget(at.server.ID)
	s.holdings.Forget(at.server.ID)
	var runs []quarantine.Run
	for _, a := range s.victims(at) {
		a.attempt.deathNoted = true
		runs = append(runs, quarantine.Run{Fingerprint: a.fingerprint, StartedAt: a.attempt.began})
	}
	changed := s.quarantine.RecordCrash(now, at.server.ID, runs)
	if len(changed) == 0 {
		return
	}
	s.publish(now, changed)
	s.holdNewSuspects()
}

// victims lists the requests that were sent to the server of the attempt, by
// identifier.
func (s *State) victims(at *attempt) []*active {
	var out []*active
	for _, a := range s.requests {
		if a.attempt != nil && a.attempt.server == at.server && sent(a.attempt) {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func sent(at *attempt) bool {
	return at.position.Is(tagRuns)
}

// holdNewSuspects counts running attempts whose fingerprint has become
// suspect.
func (s *State) holdNewSuspects() {
	for _, a := range s.requests {
		if a.attempt != nil && !a.attempt.suspect && s.quarantine.IsSuspect(a.fingerprint) {
			s.holdSuspect(a)
		}
	}
}

// quarantineSeen adds the entries of another node.
func (s *State) quarantineSeen(now time.Time, m QuarantineSeen) {
	var changed []quarantine.Entry
	for _, e := range m.Entries[:min(len(m.Entries), quarantine.MaxDigestEntries)] {
		if s.quarantine.MergeEntry(now, e) {
			changed = append(changed, e)
		}
	}
	if len(changed) == 0 {
		return
	}
	if !m.Service {
		s.spread(now, changed)
	}
	s.holdNewSuspects()
	s.assignQueued(now)
}

// clearSuspicion ends the suspicion against a request that ran to its end.
func (s *State) clearSuspicion(now time.Time, a *active) {
	if s.quarantine.Clear(a.fingerprint) {
		s.publish(now, []quarantine.Entry{{Fingerprint: a.fingerprint, Kind: quarantine.Cleared}})
	}
}

// mustWait reports whether a suspect may not run yet: a copy of it runs, or
// other nodes may not know yet that it is suspect.
func (s *State) mustWait(now time.Time, a *active) bool {
	unsettled := s.options.Agents && now.Sub(s.quarantine.SuspectSince(a.fingerprint)) < suspicionSettles
	return unsettled || s.suspectRuns[a.fingerprint] > 0
}

// isolate keeps one of the eligible servers for a suspect, so that suspects of
// different nodes do not meet on a server: only the suspect with the highest
// rendezvous weight may use a server. A suspect without such a server waits,
// but not longer than isolationWait.
func (s *State) isolate(now time.Time, a *active) []*fleet.Server {
	suspects, _ := s.quarantine.Counts()
	strict := suspects <= len(s.group(a).Servers) && now.Sub(a.position.Entered) < isolationWait
	var best *fleet.Server
	var highest uint64
	for _, server := range s.scratch {
		weight := func(f quarantine.Fingerprint) uint64 { return suspectWeight(f, server.ID) }
		if slices.Contains(a.avoid, server.ID) || strict && !s.quarantine.HasHighestWeight(a.fingerprint, weight) {
			continue
		}
		if own := weight(a.fingerprint); best == nil || own > highest {
			best = server
			highest = own
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
