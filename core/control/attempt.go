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
	// minSpeedTokens is the smallest prefill work in tokens with which an attempt
	// counts for the learned speed of its group.
	minSpeedTokens = 1000
	// maxFetchPart is the inverse of the largest part of the time to the first token that
	// the fetches of an attempt may take if it is to count for the learned speed.
	maxFetchPart = 8
)

// prepareAttempt sets the attempt that the chart's action begin_attempt starts.
func (s *State) prepareAttempt(now time.Time, req *activeRequest, choice placement.Choice) {
	req.attempt = &activeAttempt{id: req.attempts + 1, server: choice.Server, weights: choice.Server.Weights, startedAt: now, choice: choice}
	req.attempt.workUntil = s.workUntil(req.attempt)
	if choice.Plan != nil {
		req.attempt.store = s.stores[choice.Plan.Store]
	}
}

func (s *State) beginAttempt(req *activeRequest, now time.Time) {
	req.attempts++
	req.attempt.chart = s.charts.attempt.Start(now)
	s.acquireServer(now, req)
	s.startImport(req, now)
}

func (s *State) endAttempt(req *activeRequest, now time.Time) {
	if req.attempt == nil {
		return
	}
	s.group(req).ObserveSlotTime(now.Sub(req.attempt.startedAt))
	s.rememberSilentCall(now, req)
	s.releaseServer(now, req)
	req.attempt = nil
}

// markDispatched counts an attempt whose connection is ready for sending. A
// non-idempotent request must reach this point at most once.
func (s *State) markDispatched(req *activeRequest, _ time.Time) {
	req.dispatches++
	s.checkSingleDispatch(req)
	if req.atMostOnce() {
		s.options.Checker.Check(req.dispatches == 1, invariant.AtMostOneDispatch, "request %s: %d dispatches", req.ID, req.dispatches)
	}
}

// markNotRun takes back the count of a dispatch that the backend server reported as
// not run.
func (s *State) markNotRun(req *activeRequest, _ time.Time) {
	req.dispatches--
}

// noneRan is the guard for a refusal by a backend server. It reports whether no
// other attempt of the request may have run.
func (s *State) noneRan(req *activeRequest, _ time.Time) bool {
	return req.dispatches <= 1
}

// currentAttempt returns the request, or nil when it is not in progress, and
// whether the attempt is its current one.
func (s *State) currentAttempt(id request.ID, attemptID request.AttemptID) (*activeRequest, bool) {
	req, ok := s.requests[id]
	if !ok || req.attempt == nil || req.attempt.id != attemptID {
		return req, false
	}
	return req, true
}

// deadlinePassed reports whether the caller's deadline has passed. A node that
// was paused may handle a message before the tick that expires the request.
func (req *activeRequest) deadlinePassed(now time.Time) bool {
	return !req.Deadline.IsZero() && !req.Deadline.After(now)
}

// connected decides whether an attempt may still be sent. After a refusal the
// attempt stays in progress until AttemptDone.
func (s *State) connected(now time.Time, m Connected) {
	req, ok := s.currentAttempt(m.Request, m.Attempt)
	if !ok {
		s.refuse(m.Request, code.DeadlinePassedNotRun, "the deadline passed while the connection was opened")
		return
	}
	server := req.attempt.server
	mayRun := !server.Chart.Is(fleet.TagLeaving) && !server.Chart.Is(fleet.TagPaused) && s.sameWeights(req, server) && !s.weightsExpired(now, server)
	if !mayRun || s.isQuarantined(req) || s.stopEnds(now) || !s.maySend(now, req.attempt) {
		// The requester closes the connection and reports a failed dial.
		req.attempt.connectionDenied = true
		s.refuse(m.Request, code.DialRefused, "the request may no longer be sent to the backend server")
		return
	}
	if req.deadlinePassed(now) || !s.fireRequestEvent(req, "connect", now) {
		s.refuse(req.ID, code.DeadlinePassedNotRun, "the deadline passed while the connection was opened")
		return
	}
	s.fireAttemptEvent(req, "connect", now)
	req.attempt.sentAt = now
	req.attempt.backlogAtSend = int(req.attempt.server.Backlog(now))
	s.reply(req.ID, Proceed{})
}

func (s *State) firstToken(now time.Time, m FirstToken) {
	if req, ok := s.currentAttempt(m.Request, m.Attempt); ok {
		s.fireAttemptEvent(req, "receive", now)
		s.recordResponse(now, req.attempt.server)
		s.observeSpeed(req, m.Elapsed)
		s.observeFirstTokenDelay(now, req, m.Elapsed)
		s.observePace(now, req, m.Elapsed)
		s.releasePrefill(req.attempt)
		req.attempt.firstTokenAt = now
		req.attempt.prefillAtFirstToken = req.attempt.server.PrefillTokens
		s.assignQueued(now)
	}
}

// observeFirstTokenDelay updates the excess delay of an engine, which reflects the
// work of other nodes, with the time to the first token.
func (s *State) observeFirstTokenDelay(now time.Time, req *activeRequest, elapsed time.Duration) {
	server := req.attempt.server
	if server.Role == fleet.RoleEngine {
		expected := max(server.Speed.Time(float64(req.attempt.backlogAtSend)), req.attempt.fetchWait+server.Speed.Time(float64(req.attempt.choice.Prefill)))
		server.ObserveFirstToken(expected, elapsed, now)
	}
}

// observeSpeed updates the learned speed of the server's group. Attempts with
// little prefill work are ignored, because the queue determines most of their
// delay, and so are those whose fetches took a good part of it.
func (s *State) observeSpeed(req *activeRequest, elapsed time.Duration) {
	attempt := req.attempt
	if attempt.prefillTokens >= minSpeedTokens && attempt.fetchWait < elapsed/maxFetchPart {
		attempt.server.Speed.Observe(attempt.backlogAtSend, elapsed)
	}
}

// attemptDone finishes an attempt and delivers the response, starts a further
// attempt or refuses the request.
func (s *State) attemptDone(now time.Time, m AttemptDone) {
	req, ok := s.currentAttempt(m.Request, m.Attempt)
	if !ok {
		s.refuseStaleAttempt(req, m)
		return
	}
	req.attempt.conclusive = m.isConclusive()
	s.recordServerReport(now, req.attempt, m)
	s.recordPartOutcome(now, req, m)
	newerWeights := s.updateReportedWeights(now, req.attempt.server, m)
	if m.ConnectionBroken && !req.attempt.endedAtStartLimit(now, m) {
		s.recordServerCrash(now, req.attempt)
	}
	switch m.Outcome {
	case Succeeded:
		if s.repeatsFaultyResponse(now, req, m) {
			s.fireAttemptEvent(req, req.attempt.failureEvent(now, m), now)
			s.attemptFailed(now, req, "attempt_failed", code.New(code.BackendLost, "the backend server failed"))
			break
		}
		s.attemptSucceeded(now, req)
	case DialFailed:
		s.fireAttemptEvent(req, req.attempt.dialEvent(), now)
		s.dialFailed(now, req, m.Cause)
	case Rejected:
		s.backOff(now, req.attempt.server, m)
		s.fireAttemptEvent(req, refusalEvent(m, newerWeights), now)
		s.attemptFailed(now, req, "attempt_refused", m.Cause)
	case Lost:
		s.logLateStart(now, req, m)
		s.fireAttemptEvent(req, req.attempt.failureEvent(now, m), now)
		s.attemptFailed(now, req, "attempt_failed", m.Cause)
	case Stopped:
		s.fireAttemptEvent(req, "drop", now)
		s.attemptStopped(now, req, m.Cause)
	}
	s.assignQueued(now)
}

// isConclusive reports whether an attempt ended by a response of the server or of its
// connection, and not because the node waited no longer.
func (m AttemptDone) isConclusive() bool {
	ended := m.Outcome == Succeeded || m.Outcome == Rejected || m.Outcome == DialFailed
	return ended || m.ConnectionBroken || m.ServerError
}

// refusalBackoff is how long a server that refused a call gets no other call,
// because it has no free slot or loads weights.
const refusalBackoff = 250 * time.Millisecond

// backOff starts the backoff of a server that refused a forwarded call, except when
// another server than the expected one answered.
func (s *State) backOff(now time.Time, server *fleet.Server, m AttemptDone) {
	if s.options.Forwarding && !m.OtherServer {
		server.BackoffUntil = now.Add(refusalBackoff)
		s.pacer.Fail(&server.Pace, now)
	}
}

// refusalEvent returns the event of an attempt that a server refused. Another
// server than the expected one counts as a failure, so that the circuit opens
// until the entry in the VM list is up to date. A server that reported newer
// weights does not, because the next calls use these weights.
func refusalEvent(m AttemptDone, newerWeights bool) chart.Event {
	if m.OtherServer && !newerWeights {
		return "fail"
	}
	return "drop"
}

// attemptStopped finishes a request whose attempt the node stopped itself.
func (s *State) attemptStopped(now time.Time, req *activeRequest, cause *code.Error) {
	if !req.mayHaveRun() {
		cause = req.deadlineError()
	}
	s.attemptFailed(now, req, "expire", cause)
}

// refuseStaleAttempt refuses the result of an attempt whose request has finished
// in the meantime. A claimed request that was not dispatched still has to
// release its claim.
func (s *State) refuseStaleAttempt(req *activeRequest, m AttemptDone) {
	if req != nil && req.chart.Is(tagReleasesClaim) {
		s.sendRefusal(req, req.deadlineError())
		return
	}
	if m.NoneRan {
		s.refuse(m.Request, code.DeadlinePassedNotRun, "the deadline passed before the request was sent")
		return
	}
	s.refuse(m.Request, code.DeadlinePassed, "the deadline passed while the request ran")
}

func (s *State) attemptSucceeded(now time.Time, req *activeRequest) {
	server := req.attempt.server
	s.fireAttemptEvent(req, "succeed", now)
	if !s.fireRequestEvent(req, "answered", now) {
		s.finishWithError(now, req, "expire", code.New(code.Internal, "the response arrived in an unexpected state"))
		return
	}
	if req.Call == nil {
		s.retryBudgets.Credit(req.organisation)
	}
	s.recordServed(now, req)
	s.considerExport(now, req, server)
	req.responded = true
	s.reply(req.ID, Deliver{Record: req.atMostOnce()})
	s.removeIfFinal(req)
}

// dialEvent returns the event of a failed dial. It counts as a failure of the
// server unless the node itself denied the use of the connection.
func (attempt *activeAttempt) dialEvent() chart.Event {
	if attempt.connectionDenied {
		return "drop"
	}
	return "fail"
}

// dialFailed handles an attempt that did not reach the backend server, which is
// repeated when the request's chart allows it. When the control thread had
// already allowed the attempt to be sent, it counts as dispatched.
func (s *State) dialFailed(now time.Time, req *activeRequest, cause *code.Error) {
	if req.chart.Is(tagDispatched) {
		s.attemptFailed(now, req, "attempt_failed", cause)
		return
	}
	s.prepareRetry(req)
	if req.deadlinePassed(now) {
		s.finishWithError(now, req, "expire", req.deadlineError())
		return
	}
	s.fireRequestEvent(req, "dial_failed", now)
	s.continueAfterFailure(now, req, code.New(code.DialRefused, "no connection to a backend server could be opened"))
}

// attemptFailed handles an attempt that failed after it was sent, which is
// repeated when the request's chart allows it.
func (s *State) attemptFailed(now time.Time, req *activeRequest, event chart.Event, cause *code.Error) {
	s.prepareRetry(req)
	s.fireRequestEvent(req, event, now)
	if s.isQuarantined(req) {
		cause = code.New(code.QuarantinedRan, "the request crashed backend servers and is quarantined")
	}
	if cause == nil {
		cause = code.New(code.BackendLost, "the backend server failed during the request")
	}
	s.continueAfterFailure(now, req, cause)
}

// prepareRetry sets the servers that the next attempt avoids and the delay
// before it.
func (s *State) prepareRetry(req *activeRequest) {
	req.avoid = append(req.avoid, req.attempt.server.ID)
	req.backoff = retry.Backoff(s.random, int(req.attempts))
	if req.Call != nil && req.attempts == 1 {
		// The first repeat goes to another server, so no delay is needed.
		req.backoff = 0
	}
}

// continueAfterFailure queues a request again after a failed attempt, or refuses
// it, according to the state that its chart entered.
func (s *State) continueAfterFailure(now time.Time, req *activeRequest, cause *code.Error) {
	if req.chart.Is(tagPlaceable) {
		s.enqueue(now, req)
		return
	}
	s.sendRefusal(req, s.correctExecution(req, cause))
}

// correctExecution returns the cause, or RetriesExhausted when the cause reports
// the request as not run although an attempt may have run.
func (s *State) correctExecution(req *activeRequest, cause *code.Error) *code.Error {
	if req.mayHaveRun() && cause.Info().Execution == code.NotRun {
		return code.Wrap(code.RetriesExhausted, "an earlier attempt may have run", cause)
	}
	return cause
}

// mayRetry is the guard of every further attempt of a request that is not a
// forwarded call.
func (s *State) mayRetry(req *activeRequest, now time.Time) bool {
	if int(req.attempts) >= maxAttempts {
		return false
	}
	if req.deadlinePassed(now) || s.isQuarantined(req) {
		return false
	}
	return retry.FitsDeadline(now, req.backoff, req.Deadline) && s.retryBudgets.Allows(req.organisation)
}

// spendRetry is the action of every further attempt that mayRetry allows: it
// takes one retry from the organisation's budget.
func (s *State) spendRetry(req *activeRequest, _ time.Time) {
	s.options.Checker.Check(s.retryBudgets.Take(req.organisation), invariant.BudgetNotNegative, "request %s", req.ID)
}

// recordServerReport records what a response reported about its backend server.
// The load is in the headers of the response, so it is as old as the first
// token.
func (s *State) recordServerReport(now time.Time, attempt *activeAttempt, m AttemptDone) {
	if m.Load != nil {
		reported, own := now, attempt.server.PrefillTokens
		if !attempt.firstTokenAt.IsZero() {
			reported, own = attempt.firstTokenAt, attempt.prefillAtFirstToken
		}
		attempt.server.UpdateLoad(*m.Load, reported, own)
	}
	if m.Leaving {
		s.recordLeaving(attempt.server, now, now)
	}
}

func (s *State) creditServer(req *activeRequest, now time.Time) {
	req.attempt.server.RecordSuccess(req.attempt.startedAt)
	s.fireServerEvent(req.attempt.server, "succeed", now)
}

func (s *State) blameServer(req *activeRequest, now time.Time) {
	s.pacer.Fail(&req.attempt.server.Pace, now)
	req.attempt.server.RecordFailure(now)
	s.fireServerEvent(req.attempt.server, "fail", now)
}
