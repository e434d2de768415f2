package control

import (
	"slices"
	"time"

	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
)

const (
	// crashConfirmationTime is how long a broken connection is held back as a sign of a
	// crash. A server that responds in that time did not crash.
	crashConfirmationTime = 200 * time.Millisecond
	// maxPartsPause is the longest time between two ticks after which the node counts as
	// paused.
	maxPartsPause = 200 * time.Millisecond
	// survivalTime is how long a server must go on after the first part of a response
	// until that shows that the call does not crash it.
	survivalTime = 300 * time.Millisecond
)

// brokenCall is a call whose connection broke, with the crash that each of its shared
// parts may be due to.
type brokenCall struct {
	server  *fleet.Server
	crashes []quarantine.PartCrash
}

// recordPartOutcome records what the end of an attempt shows about the prompt parts that
// the call shares with others.
func (s *State) recordPartOutcome(now time.Time, req *activeRequest, m AttemptDone) {
	attempt := req.attempt
	if m.Outcome == Succeeded || m.Outcome == Rejected && !m.OtherServer {
		s.recordResponse(now, attempt.server)
	}
	if len(req.sharedParts()) == 0 {
		return
	}
	switch {
	case attempt.survived:
	case m.Outcome == Succeeded && m.Answered:
		s.proveParts(now, req)
	case m.ConnectionBroken && !attempt.endedAtStartLimit(now, m):
		s.parts.ObserveCall(now, true)
		s.holdBrokenCall(now, req)
	}
}

// proveSurvivors records proofs of the calls in progress whose server has gone on for
// survivalTime. After a pause of the node it records none, because messages about broken
// connections may wait behind this tick.
func (s *State) proveSurvivors(now time.Time) {
	paused := now.Sub(s.partsCheckedAt) > maxPartsPause
	s.partsCheckedAt = now
	if paused {
		return
	}
	for _, req := range s.requests {
		if req.attempt == nil || req.attempt.survived || req.attempt.firstTokenAt.IsZero() {
			continue
		}
		if now.Sub(req.attempt.firstTokenAt) >= survivalTime {
			s.proveParts(now, req)
		}
	}
}

// proveParts records that the server of a call did not crash under its parts.
func (s *State) proveParts(now time.Time, req *activeRequest) {
	req.attempt.survived = true
	at := req.attempt.firstTokenAt
	if at.IsZero() {
		at = now
	}
	for _, part := range req.sharedParts() {
		s.parts.RecordProof(now, quarantine.PartProof{Part: quarantine.PartID(part.ID), At: at})
	}
	s.parts.ObserveCall(now, false)
}

func (s *State) holdBrokenCall(now time.Time, req *activeRequest) {
	if crashes := partCrashes(now, req); len(crashes) > 0 {
		s.brokenCalls = append(s.brokenCalls, brokenCall{server: req.attempt.server, crashes: crashes})
	}
}

// partCrashes returns the crash that each shared part of a call may be due to.
func partCrashes(at time.Time, req *activeRequest) []quarantine.PartCrash {
	var crashes []quarantine.PartCrash
	for depth, part := range req.sharedParts() {
		crashes = append(crashes, quarantine.PartCrash{
			Part: quarantine.PartID(part.ID), Server: req.attempt.server.ID,
			BrokeAt: at, Depth: depth, Own: true,
		})
	}
	return crashes
}

// tickParts records the crashes that are confirmed, applies the changes that follow, and
// sends the reports to the peers.
func (s *State) tickParts(now time.Time) {
	s.proveSurvivors(now)
	s.brokenCalls = slices.DeleteFunc(s.brokenCalls, func(broken brokenCall) bool {
		brokeAt := broken.crashes[0].BrokeAt
		if now.Sub(brokeAt) < crashConfirmationTime {
			return false
		}
		if !s.isAlive(broken.server, brokeAt) {
			for _, crash := range broken.crashes {
				s.parts.RecordCrash(now, crash)
			}
		}
		return true
	})
	s.reviewParts(now)
	s.sendPartReports(now)
}

// isAlive reports whether a server did not crash at a time: it responded later, or a
// call of this node that was sent before is still in progress there.
func (s *State) isAlive(server *fleet.Server, at time.Time) bool {
	if server.LastResponseAt.After(at.Add(quarantine.InFlightMargin)) {
		return true
	}
	return s.hasOlderRun(server, at)
}

// hasOlderRun reports whether a call of this node that was sent before a time is still in
// progress at a server.
func (s *State) hasOlderRun(server *fleet.Server, at time.Time) bool {
	for _, req := range s.requests {
		if req.attempt != nil && req.attempt.server == server && isRunning(req.attempt) && req.attempt.startedAt.Before(at) {
			return true
		}
	}
	return false
}

// reviewParts applies the changes of parts.
func (s *State) reviewParts(now time.Time) {
	for _, change := range s.parts.Review(now) {
		s.logPartChange(change)
		if !change.Quarantined {
			continue
		}
		s.refuseWaiting(now, change.Part)
		if change.Own && !change.Learned {
			expiresAt := change.At.Add(quarantine.PartQuarantineTTL)
			s.command(PublishQuarantine{Parts: []quarantine.PartQuarantine{{Part: change.Part, At: change.At}}, PartsExpireAt: expiresAt})
		}
	}
}

func (s *State) logPartChange(change quarantine.PartChange) {
	e := event.PartInUse
	if change.Quarantined {
		e = event.PartQuarantined
	}
	s.logEvent(e, "part", string(change.Part), "trial", change.Trial, "crashes", change.Crashes, "needed", change.Needed,
		"server", string(change.Server), "learned", change.Learned)
}

// refuseWaiting refuses the waiting calls with a part that was quarantined.
func (s *State) refuseWaiting(now time.Time, id quarantine.PartID) {
	for _, req := range s.requests {
		if req.chart.Is(tagPlaceable) && req.hasPart(id) {
			s.finishWithError(now, req, "refuse", s.quarantinedError(now, req))
		}
	}
}

// refusedPart returns the first quarantined part of a call, and whether it has one.
func (s *State) refusedPart(req *activeRequest) (quarantine.PartID, bool) {
	for _, part := range req.sharedParts() {
		if id := quarantine.PartID(part.ID); s.parts.Refuses(id) {
			return id, true
		}
	}
	return "", false
}

// awaitsTrial reports whether a call has to wait because another call with a part that is
// watched or on trial is in progress.
func (s *State) awaitsTrial(req *activeRequest) bool {
	for _, part := range req.sharedParts() {
		if id := quarantine.PartID(part.ID); s.parts.OneAtATime(id) && s.isInProgress(id) {
			return true
		}
	}
	return false
}

// isInProgress reports whether a call with the part is in progress at a server.
func (s *State) isInProgress(id quarantine.PartID) bool {
	for _, req := range s.requests {
		if req.attempt != nil && req.hasPart(id) {
			return true
		}
	}
	return false
}

func (req *activeRequest) hasPart(id quarantine.PartID) bool {
	return slices.ContainsFunc(req.sharedParts(), func(part request.Part) bool { return quarantine.PartID(part.ID) == id })
}
