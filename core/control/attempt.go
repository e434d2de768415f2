package control

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/placement"
	"tanagerspread/core/request"
	"tanagerspread/core/retry"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// minSpeedTokens is the least prompt work of an attempt from which the
	// speed of the model's servers is learned.
	minSpeedTokens = 1000
)

// beginAttemptAt prepares the attempt that the chart's action then begins.
func (s *State) beginAttemptAt(now time.Time, a *active, choice placement.Choice) {
	a.attempt = &attempt{id: a.attempts + 1, server: choice.Server, weights: choice.Server.Weights, began: now, choice: choice}
	if choice.Plan != nil {
		a.attempt.store = s.stores[choice.Plan.Store]
	}
}

func (s *State) beginAttempt(a *active, now time.Time) {
	a.attempts++
	a.attempt.position = s.charts.attempt.Start(now)
	s.holdServer(a)
	s.beginImport(a, now)
}

func (s *State) endAttempt(a *active, now time.Time) {
	if a.attempt == nil {
		return
	}
	s.group(a).NoteHold(now.Sub(a.attempt.began))
	s.releaseServer(now, a)
	a.attempt = nil
}

// markDispatched counts a connection that is open for sending. A
// non-idempotent request must reach this point once.
func (s *State) markDispatched(a *active, _ time.Time) {
	a.dispatches++
	s.checkOnce(a)
	if a.once() {
		s.options.Checker.Check(a.dispatches == 1, invariant.AtMostOneDispatch, "request %s: %d dispatches", a.ID, a.dispatches)
	}
}

// markNotRun takes back a dispatch that the backend server says it did not
// run.
func (s *State) markNotRun(a *active, _ time.Time) {
	a.dispatches--
}

// noneRan is the guard of a refusal by a backend server: no other attempt of
// the request may have run.
func (s *State) noneRan(a *active, _ time.Time) bool {
	return a.dispatches <= 1
}

// current returns the request and whether the attempt is its current one.
func (s *State) current(id request.ID, attempt request.AttemptID) (*active, bool) {
	a, ok := s.requests[id]
	if !ok || a.attempt == nil || a.attempt.id != attempt {
		return a, false
	}
	return a, true
}

// late reports whether the caller's deadline has passed. A node that was
// paused may handle a message before the tick that ends the request.
func (a *active) late(now time.Time) bool {
	return !a.Deadline.IsZero() && !a.Deadline.After(now)
}

// connected decides whether an attempt may still be sent. A refusal leaves the
// attempt open; its end is reported by AttemptDone.
func (s *State) connected(now time.Time, m Connected) {
	a, ok := s.current(m.Request, m.Attempt)
	if !ok {
		s.refuse(m.Request, code.DeadlinePassedNotRun, "the deadline passed while the connection was opened")
		return
	}
	mayRun := !a.attempt.server.Chart.Is(fleet.TagLeaves) && s.sameWeights(a, a.attempt.server)
	if !mayRun || s.quarantine.IsQuarantined(a.fingerprint) {
		// The asker closes the connection and reports a failed dial.
		a.attempt.denied = true
		s.refuse(m.Request, code.DialRefused, "the request may no longer be sent to the backend server")
		return
	}
	if a.late(now) || !s.fireRequest(a, "connect", now) {
		s.refuse(a.ID, code.DeadlinePassedNotRun, "the deadline passed while the connection was opened")
		return
	}
	s.fireAttempt(a, "connect", now)
	a.attempt.backlog = int(a.attempt.server.Backlog(now))
	s.reply(a.ID, Proceed{})
}

func (s *State) firstToken(now time.Time, m FirstToken) {
	if a, ok := s.current(m.Request, m.Attempt); ok {
		s.fireAttempt(a, "receive", now)
		s.noteSpeed(a, m.After)
		s.noteDelay(now, a, m.After)
		s.releasePrefill(a.attempt)
		a.attempt.firstAt = now
		a.attempt.ownAtFirst = a.attempt.server.PrefillTokens
		s.assignQueued(now)
	}
}

// noteDelay learns how much work an engine has that this node does not know of.
func (s *State) noteDelay(now time.Time, a *active, after time.Duration) {
	server := a.attempt.server
	if server.Role == fleet.RoleEngine {
		server.NoteFirstToken(server.Speed.Time(float64(a.attempt.backlog)), after, now)
	}
}

// noteSpeed learns the speed of the model's servers. An attempt that computes
// little says more about the queue than about the speed.
func (s *State) noteSpeed(a *active, after time.Duration) {
	if a.attempt.prefill >= minSpeedTokens {
		a.attempt.server.Speed.Note(a.attempt.backlog, after)
	}
}

// attemptDone ends an attempt and decides what follows.
func (s *State) attemptDone(now time.Time, m AttemptDone) {
	a, ok := s.current(m.Request, m.Attempt)
	if !ok {
		s.refuseLate(a, m)
		return
	}
	s.noteServer(now, a.attempt, m)
	newer := s.noteWeights(a.attempt.server, m)
	if m.Died {
		s.serverDied(now, a.attempt)
	}
	switch m.Outcome {
	case Succeeded:
		if s.repeatsFaulty(now, a, m) {
			s.fireAttempt(a, "fail", now)
			s.attemptFailed(now, a, "attempt_failed", code.New(code.BackendLost, "the backend server failed"))
			break
		}
		s.answered(now, a)
	case DialFailed:
		s.fireAttempt(a, a.attempt.dialEvent(), now)
		s.dialFailed(now, a, m.Cause)
	case Rejected:
		s.rest(now, a.attempt.server, m)
		s.fireAttempt(a, refusalEvent(m, newer), now)
		s.attemptFailed(now, a, "attempt_refused", m.Cause)
	case Lost:
		s.fireAttempt(a, "fail", now)
		s.attemptFailed(now, a, "attempt_failed", m.Cause)
	case Stopped:
		s.fireAttempt(a, "drop", now)
		s.stopped(now, a, m.Cause)
	}
	s.assignQueued(now)
}

// busyTime is how long a server that refused a call gets no other one. It is
// full, or it loads weights.
const busyTime = 250 * time.Millisecond

// rest keeps forwarded calls off a server that refused one.
func (s *State) rest(now time.Time, server *fleet.Server, m AttemptDone) {
	if s.options.Forwarding && !m.OtherServer {
		server.BusyUntil = now.Add(busyTime)
	}
}

// refusalEvent blames a server that is not the expected one, so that its
// circuit opens until its entry is up to date. One that named newer weights gets
// the next calls with these.
func refusalEvent(m AttemptDone, newer bool) chart.Event {
	if m.OtherServer && !newer {
		return "fail"
	}
	return "drop"
}

// stopped ends a request whose attempt the node ended itself.
func (s *State) stopped(now time.Time, a *active, cause *code.Error) {
	if !a.mayHaveRun() {
		cause = a.deadlineError()
	}
	s.attemptFailed(now, a, "expire", cause)
}

// refuseLate answers for an attempt whose request has ended meanwhile. A
// claimed request that was not dispatched still has its claim to release.
func (s *State) refuseLate(a *active, m AttemptDone) {
	if a != nil && a.position.Is(tagReleasesClaim) {
		s.conclude(a, a.deadlineError())
		return
	}
	if m.Unsent {
		s.refuse(m.Request, code.DeadlinePassedNotRun, "the deadline passed before the request was sent")
		return
	}
	s.refuse(m.Request, code.DeadlinePassed, "the deadline passed while the request ran")
}

func (s *State) answered(now time.Time, a *active) {
	server := a.attempt.server
	s.fireAttempt(a, "succeed", now)
	if !s.fireRequest(a, "answered", now) {
		s.end(now, a, "expire", code.New(code.Internal, "the response arrived in an unexpected state"))
		return
	}
	if a.Call == nil {
		s.budget.Credit(a.organisation)
	}
	s.clearSuspicion(now, a)
	s.considerExport(now, a, server)
	a.responded = true
	s.reply(a.ID, Deliver{Record: a.once()})
	s.forgetFinal(a)
}

// dialEvent blames the server for a failed dial unless the node itself denied
// the use of the connection.
func (at *attempt) dialEvent() chart.Event {
	if at.denied {
		return "drop"
	}
	return "fail"
}

// dialFailed repeats an attempt that never reached the backend server. When
// the decision to send it was made but lost on the way, the attempt counts as
// dispatched.
func (s *State) dialFailed(now time.Time, a *active, cause *code.Error) {
	if a.position.Is(tagDispatched) {
		s.attemptFailed(now, a, "attempt_failed", cause)
		return
	}
	s.prepareRetry(a)
	if a.late(now) {
		s.end(now, a, "expire", a.deadlineError())
		return
	}
	s.fireRequest(a, "dial_failed", now)
	s.follow(now, a, code.New(code.DialRefused, "no connection to a backend server could be opened"))
}

// attemptFailed repeats an attempt that failed after it was sent, when the
// request's chart allows it.
func (s *State) attemptFailed(now time.Time, a *active, event chart.Event, cause *code.Error) {
	s.prepareRetry(a)
	s.fireRequest(a, event, now)
	if s.quarantine.IsQuarantined(a.fingerprint) {
		cause = code.New(code.QuarantinedRan, "the request crashed backend servers and is quarantined")
	}
	if cause == nil {
		cause = code.New(code.BackendLost, "the backend server failed during the request")
	}
	s.follow(now, a, cause)
}

// prepareRetry sets what the next attempt avoids and when it may begin.
func (s *State) prepareRetry(a *active) {
	a.avoid = append(a.avoid, a.attempt.server.ID)
	a.backoff = retry.Backoff(s.random, int(a.attempts))
	if a.Call != nil && a.attempts == 1 {
		// Another server gets the first repeat, so there is nothing to wait for.
		a.backoff = 0
	}
}

// follow continues a request after a failed attempt according to the state
// that its chart entered.
func (s *State) follow(now time.Time, a *active, cause *code.Error) {
	if a.position.Is(tagPlaceable) {
		s.enqueue(now, a)
		return
	}
	s.conclude(a, s.truthful(a, cause))
}

// truthful replaces a cause that claims that the request was not run when an
// attempt may have run.
func (s *State) truthful(a *active, cause *code.Error) *code.Error {
	if a.mayHaveRun() && cause.Info().Execution == code.NotRun {
		return code.Wrap(code.RetriesExhausted, "an earlier attempt may have run", cause)
	}
	return cause
}

// mayRetry is the guard of every further attempt.
func (s *State) mayRetry(a *active, now time.Time) bool {
	if int(a.attempts) >= maxAttempts {
		return false
	}
	if a.late(now) || s.quarantine.IsQuarantined(a.fingerprint) {
		return false
	}
	return retry.FitsDeadline(now, a.backoff, a.Deadline) && s.budget.Allows(a.organisation)
}

// spendRetry is the action of every further attempt.
func (s *State) spendRetry(a *active, _ time.Time) {
	s.options.Checker.Check(s.budget.Take(a.organisation), invariant.BudgetNotNegative, "request %s", a.ID)
}

// noteServer stores what a response said about its backend server. The load
// is in the headers of the response, so it is as old as the first token.
func (s *State) noteServer(now time.Time, at *attempt, m AttemptDone) {
	if m.Load != nil {
		reported, own := now, at.server.PrefillTokens
		if !at.firstAt.IsZero() {
			reported, own = at.firstAt, at.ownAtFirst
		}
		at.server.ReportLoad(*m.Load, reported, own)
	}
	if m.Leaving {
		s.serverSaid(at.server, now, now)
	}
}

func (s *State) creditServer(a *active, now time.Time) {
	a.attempt.server.Succeed(a.attempt.began)
	s.fireServer(a.attempt.server, "succeed", now)
}

func (s *State) blameServer(a *active, now time.Time) {
	a.attempt.server.Fail(now)
	s.fireServer(a.attempt.server, "fail", now)
}
