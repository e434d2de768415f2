package control

import (
	"time"

	"tanagerspread/core/invariant"
)

// holdServer counts an attempt on its server.
func (s *State) holdServer(a *active) {
	at := a.attempt
	at.server.InFlight++
	at.prefill = at.choice.Prefill
	at.server.PrefillTokens += at.prefill
	if s.quarantine.IsSuspect(a.fingerprint) {
		s.holdSuspect(a)
	}
}

// releaseServer undoes holdServer and ends the use of a link by an import.
func (s *State) releaseServer(now time.Time, a *active) {
	at := a.attempt
	s.releaseLink(now, at, 0)
	at.server.InFlight--
	s.releasePrefill(at)
	if at.suspect {
		at.server.Suspects--
		s.suspectRuns[a.fingerprint]--
		if s.suspectRuns[a.fingerprint] == 0 {
			delete(s.suspectRuns, a.fingerprint)
		}
	}
	notNegative := at.server.InFlight >= 0 && at.server.PrefillTokens >= 0 && at.server.Suspects >= 0
	s.options.Checker.Check(notNegative, invariant.CountsNotNegative, "server %s", at.server.ID)
}

// releasePrefill ends the prompt work of an attempt.
func (s *State) releasePrefill(at *attempt) {
	at.server.PrefillTokens -= at.prefill
	at.prefill = 0
}

// holdLink counts the import of an attempt on the link of its store.
func (s *State) holdLink(now time.Time, at *attempt) {
	at.pending = at.choice.Plan.ExpectedBytes
	at.store.PendingBytes += at.pending
	at.store.BeginTransfer(now)
}

// releaseLink undoes holdLink after the given number of bytes. It changes
// nothing when the import has already ended.
func (s *State) releaseLink(now time.Time, at *attempt, bytes int64) {
	if at.store == nil {
		return
	}
	at.store.PendingBytes -= at.pending
	s.options.Checker.Check(at.store.PendingBytes >= 0, invariant.CountsNotNegative, "store %s", at.store.ID)
	at.store.EndTransfer(now, bytes)
	at.store = nil
}

// correctLink replaces the expected bytes of an import by the found ones.
func (s *State) correctLink(at *attempt, bytes int64) {
	if at.store != nil {
		at.store.PendingBytes += bytes - at.pending
		at.pending = bytes
	}
}

// holdSuspect counts a running attempt as a suspect.
func (s *State) holdSuspect(a *active) {
	a.attempt.suspect = true
	a.attempt.server.Suspects++
	s.suspectRuns[a.fingerprint]++
}
