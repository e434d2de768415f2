package quarantine

import (
	"time"

	"tanagerspread/core/fleet"
)

// sameEndTime is the longest time between the removals of two servers that crashed at one
// moment. Their entries expire up to a heartbeat apart.
const sameEndTime = 1500 * time.Millisecond

// Servers has what a node knows of the servers that seemed to crash: the last responses to
// it and its peers, and the servers that ended, because they are no longer listed or came
// back under another id.
type Servers struct {
	responded, ended proofs[fleet.ServerID]
	// began has the first responses of servers that had not responded lately.
	began proofs[fleet.ServerID]
	// told is when the peers were last told that a server responded.
	told proofs[fleet.ServerID]
}

// NewServers returns an empty record.
func NewServers(now time.Time) *Servers {
	return &Servers{responded: newProofs[fleet.ServerID](now), ended: newProofs[fleet.ServerID](now), began: newProofs[fleet.ServerID](now), told: newProofs[fleet.ServerID](now)}
}

// RecordEnd records that a server ended.
func (s *Servers) RecordEnd(now time.Time, server fleet.ServerID) {
	s.ended.record(now, server, now)
}

// HasEnded reports whether a server ended lately.
func (s *Servers) HasEnded(server fleet.ServerID) bool {
	return !s.ended.last(server).IsZero()
}

// RespondedAt returns when a server last responded to this node, or to a peer that told so.
func (s *Servers) RespondedAt(server fleet.ServerID) time.Time {
	return s.responded.last(server)
}

// endedBeside reports whether a server ended within sameEndTime of another one, and is none
// of those that are expected.
func (s *Servers) endedBeside(server fleet.ServerID, expected func(fleet.ServerID) bool) bool {
	at := s.ended.last(server)
	for _, ended := range []map[fleet.ServerID]time.Time{s.ended.current, s.ended.previous} {
		for other, otherAt := range ended {
			if otherAt.Sub(at).Abs() <= sameEndTime && !expected(other) {
				return true
			}
		}
	}
	return false
}

// recordResponse records a response of a server at a time.
func (s *Servers) recordResponse(now time.Time, server fleet.ServerID, at time.Time) {
	if s.responded.last(server).IsZero() {
		s.began.record(now, server, at)
	}
	s.responded.record(now, server, at)
}

// servesBeside reports whether a server that did not end responded before and after a crash at
// a time. One that began to respond later may have come back itself.
func (s *Servers) servesBeside(at time.Time) bool {
	for _, responded := range []map[fleet.ServerID]time.Time{s.responded.current, s.responded.previous} {
		for server, respondedAt := range responded {
			if respondedAt.Sub(at) > InFlightMargin && !s.began.last(server).After(at) && !s.HasEnded(server) {
				return true
			}
		}
	}
	return false
}

// isProven reports whether a server ended after it seemed to crash at a time.
func (s *Servers) isProven(server fleet.ServerID, at time.Time) bool {
	ended := s.ended.last(server)
	return !ended.IsZero() && !ended.Before(at)
}

// Disproves reports whether a response of a server shows that it did not crash at a time. A
// server that really crashed takes longer to come back under its id. One that is no longer
// listed does not come back under it at all, so that any later response counts.
func (s *Servers) Disproves(server fleet.ServerID, at time.Time) bool {
	delay := s.responded.last(server).Sub(at)
	return delay > InFlightMargin && (delay < SameCrashTime || s.isProven(server, at))
}

// ShouldTell reports whether the peers have not been told lately that a server responded. It
// counts as told from then on.
func (s *Servers) ShouldTell(now time.Time, server fleet.ServerID) bool {
	return now.Sub(s.told.last(server)) >= relayInterval && s.told.record(now, server, now)
}
