package control

import (
	"time"

	"tanagerspread/core/invariant"
)

// acquireServer adds an attempt to the counts of its server.
func (s *State) acquireServer(now time.Time, req *activeRequest) {
	attempt := req.attempt
	attempt.server.InFlight++
	attempt.prefillTokens = attempt.choice.Prefill
	attempt.server.PrefillTokens += attempt.prefillTokens
	attempt.server.ReserveMemory(req.memory, now)
	attempt.fetchWait = attempt.server.FetchWait(now, attempt.choice.FetchTime)
	attempt.server.ReserveLink(now, attempt.choice.FetchTime)
	attempt.opensPaced = attempt.server.Pace.Open()
	if s.quarantine.IsSuspect(req.fingerprint) {
		s.countSuspect(req)
	}
}

// releaseServer undoes acquireServer and, when an import is in progress,
// acquireLink.
func (s *State) releaseServer(now time.Time, req *activeRequest) {
	attempt := req.attempt
	s.releaseLink(now, attempt, 0)
	attempt.server.InFlight--
	attempt.server.ReleaseMemory(req.memory)
	if attempt.opensPaced {
		attempt.server.Pace.Close()
	}
	s.releasePrefill(attempt)
	if attempt.suspect {
		attempt.server.SuspectAttempts--
		s.suspectAttempts[req.fingerprint]--
		if s.suspectAttempts[req.fingerprint] == 0 {
			delete(s.suspectAttempts, req.fingerprint)
		}
	}
	notNegative := attempt.server.InFlight >= 0 && attempt.server.PrefillTokens >= 0 && attempt.server.SuspectAttempts >= 0
	s.options.Checker.Check(notNegative, invariant.CountsNotNegative, "server %s", attempt.server.ID)
}

// releasePrefill removes the prefill work of an attempt from its server's count.
func (s *State) releasePrefill(attempt *activeAttempt) {
	attempt.server.PrefillTokens -= attempt.prefillTokens
	attempt.prefillTokens = 0
}

// acquireLink adds the import of an attempt to the counts of its store's link.
func (s *State) acquireLink(now time.Time, attempt *activeAttempt) {
	attempt.pendingBytes = attempt.choice.Plan.ExpectedBytes
	attempt.store.PendingBytes += attempt.pendingBytes
	attempt.store.StartTransfer(now)
}

// releaseLink undoes acquireLink after an import that moved the given number of
// bytes. It changes nothing when the import has already finished.
func (s *State) releaseLink(now time.Time, attempt *activeAttempt, bytes int64) {
	if attempt.store == nil {
		return
	}
	attempt.store.PendingBytes -= attempt.pendingBytes
	s.options.Checker.Check(attempt.store.PendingBytes >= 0, invariant.CountsNotNegative, "store %s", attempt.store.ID)
	attempt.store.FinishTransfer(now, bytes)
	attempt.store = nil
}

// correctPendingBytes replaces the expected size of an import by the size that
// the manifest lists.
func (s *State) correctPendingBytes(attempt *activeAttempt, bytes int64) {
	if attempt.store != nil {
		attempt.store.PendingBytes += bytes - attempt.pendingBytes
		attempt.pendingBytes = bytes
	}
}

// countSuspect adds a running attempt to the counts of suspects.
func (s *State) countSuspect(req *activeRequest) {
	req.attempt.suspect = true
	req.attempt.server.SuspectAttempts++
	s.suspectAttempts[req.fingerprint]++
}
