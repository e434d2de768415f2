package control

import (
	"slices"
	"sort"
	"strings"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
	"tanagerspread/core/quarantine"
)

// isolationTimeout is how long a suspect waits for a server at which it has the
// highest rendezvous weight of all suspects. After that it may use any server on
// which no suspect of this node runs.
const isolationTimeout = 3 * time.Second

// suspicionPropagationTime is the time between the suspicion of a request and
// its next attempt. The other nodes learn of the suspect in this time, so that
// suspects of two nodes do not choose the same server.
const suspicionPropagationTime = 200 * time.Millisecond

// recordServerCrash records the crash of a server once for all requests that this
// node had running there.
func (s *State) recordServerCrash(now time.Time, attempt *activeAttempt) {
	if now.Sub(attempt.crashRecordedAt) < quarantine.SameCrashTime {
		return
	}
	s.recentPrefixes.DropServer(attempt.server.ID)
	s.partIndex.DropServer(attempt.server.ID)
	running := s.requestsOnServer(attempt)
	var runs []quarantine.Run
	for _, req := range running {
		req.attempt.crashRecordedAt = now
		runs = append(runs, quarantine.Run{Fingerprint: req.fingerprint, StartedAt: req.attempt.startedAt})
	}
	changed := s.quarantine.RecordCrash(now, attempt.server.ID, runs)
	s.logCallsBroken(attempt.server, running)
	if len(changed) == 0 {
		return
	}
	s.publishQuarantine(now, changed)
	s.countNewSuspects()
}

// maxLoggedParts bounds the prompt parts in one log line.
const maxLoggedParts = 32

// logCallsBroken logs the forwarded calls that ran on a server when a connection to it
// broke, with the prompt parts that other calls may share.
func (s *State) logCallsBroken(server *fleet.Server, running []*activeRequest) {
	if !s.options.Forwarding {
		return
	}
	var parts []string
	for _, req := range running {
		for _, part := range req.sharedParts() {
			if !slices.Contains(parts, part.ID) && len(parts) < maxLoggedParts {
				parts = append(parts, part.ID)
			}
		}
	}
	suspects, quarantined := s.parts.Counts()
	s.logEvent(event.CallsBroken, "server", string(server.ID), "calls", len(running), "parts", strings.Join(parts, ","), "suspects", suspects, "quarantined", quarantined)
}

// requestsOnServer returns the requests that run on the server of the attempt,
// sorted by identifier. Nothing of the attempt but its server is used.
func (s *State) requestsOnServer(attempt *activeAttempt) []*activeRequest {
	var running []*activeRequest
	for _, req := range s.requests {
		if req.attempt != nil && req.attempt.server == attempt.server && isRunning(req.attempt) {
			running = append(running, req)
		}
	}
	sort.Slice(running, func(i, j int) bool { return running[i].ID < running[j].ID })
	return running
}

// isRunning reports whether the attempt was sent and has not finished.
func isRunning(attempt *activeAttempt) bool {
	return attempt.chart.Is(tagRuns)
}

// countNewSuspects counts running attempts whose fingerprint has become suspect
// as suspects on their servers.
func (s *State) countNewSuspects() {
	for _, req := range s.requests {
		if req.attempt != nil && !req.attempt.suspect && s.quarantine.IsSuspect(req.fingerprint) {
			s.countSuspect(req)
		}
	}
}

// isQuarantined reports whether the request, or a prompt part of it, crashed backend
// servers and must not run.
func (s *State) isQuarantined(req *activeRequest) bool {
	_, refused := s.refusedPart(req)
	return refused || s.quarantine.IsQuarantined(req.fingerprint)
}

// quarantinedError returns the error of a quarantined request. One with a quarantined
// part may be repeated when this node tries the part again.
func (s *State) quarantinedError(now time.Time, req *activeRequest) *code.Error {
	part, refused := s.refusedPart(req)
	if !refused {
		const detail = "the request crashed backend servers and is quarantined"
		return req.chooseError(code.New(code.Quarantined, detail), code.New(code.QuarantinedRan, detail))
	}
	req.advisedDelay = max(s.parts.RetryAt(part).Sub(now), 0)
	const detail = "a part of the prompt crashed backend servers and is quarantined"
	return req.chooseError(code.New(code.PartQuarantined, detail), code.New(code.QuarantinedRan, detail))
}

// quarantineSeen adds the entries of another node to the quarantine list. New
// ones that came from a peer are relayed.
func (s *State) quarantineSeen(now time.Time, m QuarantineSeen) {
	for _, part := range m.Parts[:min(len(m.Parts), quarantine.MaxDigestEntries)] {
		s.parts.Learn(now, part)
	}
	var changed []quarantine.Entry
	for _, e := range m.Entries[:min(len(m.Entries), quarantine.MaxDigestEntries)] {
		if e.Kind == quarantine.Suspect && s.contradict(now, e.Server, e.ExpiresAt.Add(-quarantine.SuspicionTTL)) {
			continue
		}
		if s.quarantine.MergeEntry(now, e) {
			changed = append(changed, e)
		}
		if e.Kind == quarantine.Cleared && e.Server != "" {
			s.parts.RecordResponse(now, e.Server)
		}
	}
	if len(changed) == 0 {
		return
	}
	if !m.FromService {
		s.gossipQuarantine(now, changed)
	}
	s.countNewSuspects()
	s.assignQueued(now)
}

// recordServed records that a request ran to completion, which clears it.
func (s *State) recordServed(now time.Time, req *activeRequest) {
	if changed := s.quarantine.RecordServed(now, req.fingerprint); len(changed) > 0 {
		s.publishQuarantine(now, changed)
	}
}

// recordResponse records a response of a server, which did not crash shortly before. One that
// is no longer listed did not crash at all.
func (s *State) recordResponse(now time.Time, server *fleet.Server) {
	server.LastResponseAt = now
	if s.serverEnds.HasEnded(server.ID) {
		s.parts.RecordResponse(now, server.ID)
		defer s.tellAlive(now, server.ID)
	}
	if changed := s.quarantine.RecordResponse(now, server.ID); len(changed) > 0 {
		s.publishQuarantine(now, changed)
	}
}

// reviewQuarantine quarantines the requests that were in progress in several crashes. A
// server at which a call goes on that was sent before did not crash.
func (s *State) reviewQuarantine(now time.Time) {
	changed := s.quarantine.Review(now, func(id fleet.ServerID, at time.Time) bool {
		server, listed := s.servers[id]
		return listed && s.hasOlderRun(server, at)
	})
	if len(changed) > 0 {
		s.publishQuarantine(now, changed)
	}
}

// suspectMustWait reports whether a suspect may not run yet because a request of
// the same fingerprint runs, other nodes may not have learned yet that it is
// suspect, or it is being decided whether it is quarantined.
func (s *State) suspectMustWait(now time.Time, req *activeRequest) bool {
	if s.quarantine.IsHeld(req.fingerprint) {
		return true
	}
	if !s.quarantine.IsSuspect(req.fingerprint) {
		return false
	}
	unpropagated := s.options.Agents && now.Sub(s.quarantine.SuspectSince(req.fingerprint)) < suspicionPropagationTime
	return unpropagated || s.suspectAttempts[req.fingerprint] > 0
}

// isolateSuspect reduces the eligible servers, on which no suspect of this node
// runs, to at most one for a suspect. Only the suspect with the highest rendezvous
// weight of all suspects at a server may use it, so that suspects of different
// nodes do not share a server. A suspect without such a server waits. The rule
// does not apply after isolationTimeout, nor while there are more suspects than
// servers.
func (s *State) isolateSuspect(now time.Time, req *activeRequest) []*fleet.Server {
	suspects, _ := s.quarantine.Counts()
	strict := suspects <= len(s.group(req).Servers) && now.Sub(req.chart.Entered) < isolationTimeout
	var best *fleet.Server
	var highest uint64
	for _, server := range s.scratch {
		weight := func(f quarantine.Fingerprint) uint64 { return suspectWeight(f, server.ID) }
		if slices.Contains(req.avoid, server.ID) || strict && !s.quarantine.HasHighestWeight(req.fingerprint, weight) {
			continue
		}
		if ownWeight := weight(req.fingerprint); best == nil || ownWeight > highest {
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
	return placement.PrefixWeight(key, server)
}
