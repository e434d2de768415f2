package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/request"
	"tanagerspread/node/callerconn"
	"tanagerspread/node/clock"
	"tanagerspread/node/egress"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/forward"
)

// errCallerGone is the error of an attempt whose response cannot be written to
// the caller.
var errCallerGone = errors.New("the caller cannot be written to")

// forwardHandler returns the handler of a node that forwards calls.
func (f *Frontend) forwardHandler() http.Handler {
	return http.HandlerFunc(f.handleForwardedCall)
}

// Readiness returns the handler of the load balancer's readiness checks.
func (f *Frontend) Readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+f.options.Protocol.ReadinessPath(), f.handleReadiness)
	return mux
}

// handleForwardedCall serves one forwarded call.
func (f *Frontend) handleForwardedCall(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	ctx := clock.NewContext(r.Context())
	call, err := f.options.Protocol.DecodeCall(r)
	if err != nil {
		callerconn.FromContext(r.Context()).BeginBody()
		f.refuseCall(w, newID(), &requestError{err: err})
		return
	}
	if !f.beginCall(call.ID) {
		callerconn.FromContext(r.Context()).BeginBody()
		f.refuseCall(w, call.ID, &requestError{err: code.New(code.RequestInProgress, "a request with this id is in progress")})
		return
	}
	defer f.callIDs.Delete(call.ID)
	account := f.newCallMemory()
	defer account.release()
	body, err := f.readCountedBody(w, r, account)
	if err != nil {
		f.refuseCall(w, call.ID, &requestError{err: err, retryAfter: pendingRetryAfter})
		return
	}
	call.Routing.BodyBytes = len(body)
	x := &exchange{frontend: f, callerContext: r.Context(), request: request.Request{
		ID:           call.ID,
		Route:        request.Route{Kind: request.Forward},
		Deadline:     arrivedAt.Add(call.Timeout),
		TokenDigest:  call.APIKeyDigest,
		BodyDigest:   bodyDigest(r, body),
		PromptTokens: call.PromptTokens,
		MaxTokens:    call.MaxTokens,
		Call:         &call.Routing,
	}}
	f.serveForwardedCall(ctx, x, &callRelay{frontend: f, w: w, r: r, exchange: x, body: body, memory: account, lastEventID: call.LastEventID, arrivedAt: arrivedAt})
}

// beginCall records a call in progress. It returns false when the id belongs to one
// already: callers choose the ids, and the control thread addresses its decisions by them.
func (f *Frontend) beginCall(id request.ID) bool {
	_, exists := f.callIDs.LoadOrStore(id, struct{}{})
	return !exists
}

func (f *Frontend) serveForwardedCall(ctx context.Context, x *exchange, relay *callRelay) {
	if early := x.admit(ctx); early != nil {
		f.refuseCall(relay.w, x.request.ID, early.failure)
		return
	}
	callerconn.FromContext(relay.r.Context()).Admitted()
	x.request.Deadline = x.admitted.Deadline
	ctx, cancel := x.context(ctx)
	defer cancel()
	relay.finish(x.execute(ctx, relay.attempt))
}

// refuseCall logs a refusal and writes it to the caller.
func (f *Frontend) refuseCall(w http.ResponseWriter, id request.ID, failure *requestError) {
	err, retryAfter := failure.err, failure.retryAfter
	status := callStatus(err.Info())
	f.recordCallFailure(id, failure, status)
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set(headerCode, strconv.Itoa(int(err.Code)))
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	setWriteDeadline(w)
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write([]byte(err.Detail + "\n"))
}

// recordCallFailure counts and logs a call that ends without a complete response.
// The status is 0 when a stream is aborted.
func (f *Frontend) recordCallFailure(id request.ID, failure *requestError, status int) {
	f.options.Observer.ObserveOutcome(failure.err)
	eventlog.Write(f.options.Logger, event.CallRefused, failure.err.Cause,
		"request", id, "code", int(failure.err.Code), "execution", string(failure.err.Info().Execution), "status", status,
		"detail", failure.err.Detail, "retry_after_ms", failure.retryAfter.Milliseconds(), "version", uint64(failure.version))
}

// callStatus returns the HTTP status of a refused call. Callers take 408, 421,
// 429 and 503 to mean that the call has not run and never will, and repeat it,
// so these are returned only for codes of the execution class not-run.
func callStatus(info code.Info) int {
	if info.Execution == code.NotRun {
		switch info.HTTPStatus {
		case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError, http.StatusUnprocessableEntity:
			return http.StatusServiceUnavailable
		}
		return info.HTTPStatus
	}
	switch info.HTTPStatus {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return http.StatusBadGateway
	}
	return info.HTTPStatus
}

// callRelay performs the attempts of one forwarded call and writes the response
// to its caller. It implements egress.Receiver.
type callRelay struct {
	frontend *Frontend
	w        http.ResponseWriter
	r        *http.Request
	exchange *exchange
	body     []byte
	memory   *callMemory
	dispatch control.Dispatch
	running  *runningAttempt
	// arrivedAt is when the call arrived, attemptStartedAt when its attempt
	// started (zero once the first event is reported), and firstPartAt when the
	// first part of the response was received.
	arrivedAt        time.Time
	attemptStartedAt time.Time
	firstPartAt      time.Time
	// lastEventID is the id of the last event that the caller has received, or
	// forward.NoEventID.
	lastEventID int64
	// largestStep is the largest difference between the ids of two successive events
	// of the response, or 0 before the second one.
	largestStep int64
	// numbered is true once an event with an id was written to the caller, and joined
	// once one of the current attempt was.
	numbered, joined bool
	// stream holds the headers of the stream of the current attempt, or nil.
	stream *http.Response
	// heldComments holds the comments of that stream that are not written yet.
	heldComments []byte
	// streamStarted is true once the headers of a stream were written to the
	// caller. They are written with the first event: a stream that ends before it
	// is answered like any other attempt.
	streamStarted bool
	// resumes is true when the attempt started after the headers were written.
	resumes bool
	// unnumbered is true once an event without an id was written to the caller.
	unnumbered bool
	// complete is a complete response that is no stream, with the body
	// completeBody, or nil.
	complete     *http.Response
	completeBody []byte
}

// attempt performs one attempt. It implements attemptFunc.
func (c *callRelay) attempt(ctx context.Context, dispatch control.Dispatch, checkSend egress.SendCheck) egress.Result {
	c.dispatch = dispatch
	c.attemptStartedAt = time.Now()
	c.resumes = c.streamStarted
	c.stream, c.heldComments, c.joined = nil, nil, false
	running, end := c.frontend.startAttempt(ctx, attemptKey{c.exchange.request.ID, dispatch.Attempt})
	defer end()
	c.running = running
	c.logAssignment(dispatch)
	attempt := egress.ForwardAttempt{
		ID:     c.exchange.request.ID,
		Method: c.r.Method,
		Target: forward.RequestTarget(c.r),
		Host:   c.r.Host,
		Header: c.frontend.options.Protocol.AttemptHeader(c.r.Header, *dispatch.Forward, c.workTime(), c.lastEventID),
		Body:   c.body,

		Account: c.memory.response,
		Unread:  c.memory.unread,
		Resumes: c.resumes,
	}
	return c.frontend.options.Egress.Forward(running.ctx, dispatch.Address, c.frontend.options.Protocol, attempt, timeoutsOf(dispatch), checkSend, c)
}

// workTime returns how long the server may work on the attempt.
func (c *callRelay) workTime() time.Duration {
	until := c.exchange.request.Deadline
	if limit := c.dispatch.Forward.WorkUntil; !limit.IsZero() && limit.Before(until) {
		until = limit
	}
	return time.Until(until)
}

// logAssignment logs the server of an attempt and the inputs of the decision.
func (c *callRelay) logAssignment(dispatch control.Dispatch) {
	plan := dispatch.Forward
	eventlog.Write(c.frontend.options.Logger, event.AttemptAssigned, nil,
		"request", c.exchange.request.ID, "attempt", int(dispatch.Attempt), "server", string(dispatch.Server),
		"route", c.exchange.admitted.Route.Name, "weights", plan.Weights, "newer", plan.NewerWeights,
		"newer_ms", plan.NewerAge.Milliseconds(), "prefix", plan.Prefix, "prompt", plan.PromptTokens,
		"prefill", plan.PrefillTokens, "fetch", countAddresses(plan.FetchFrom), "save", countAddresses(plan.SaveTo),
		"memory", plan.CommittedMemory, "queue_ms", plan.QueueTime.Milliseconds(), "version", uint64(plan.Version))
}

// countAddresses returns the number of non-empty addresses in a list.
func countAddresses(addresses []string) int {
	total := 0
	for _, address := range addresses {
		if address != "" {
			total++
		}
	}
	return total
}

// recordCallDelivered counts and logs a call with a complete response.
func (c *callRelay) recordCallDelivered(status int) {
	c.frontend.options.Observer.ObserveOutcome(nil)
	now := time.Now()
	c.frontend.options.Observer.ObserveCallDuration(c.exchange.admitted.Route.Kind, c.firstPartAt.Sub(c.arrivedAt), now.Sub(c.arrivedAt))
	eventlog.Write(c.frontend.options.Logger, event.CallDelivered, nil,
		"request", c.exchange.request.ID, "attempt", int(c.dispatch.Attempt), "server", string(c.dispatch.Server),
		"status", status, "first_ms", c.firstPartAt.Sub(c.arrivedAt).Milliseconds(), "total_ms", now.Sub(c.arrivedAt).Milliseconds())
}

// Notice passes what the server says about itself to the control thread.
func (c *callRelay) Notice(notice control.Notice) {
	c.frontend.options.Control.Tell(control.ServerNotice{Request: c.exchange.request.ID, Attempt: c.dispatch.Attempt, Notice: notice})
}

// CompleteResponse stores a complete response until the control thread has
// decided whether the call is finished.
func (c *callRelay) CompleteResponse(response *http.Response, body []byte) {
	c.complete = response
	c.completeBody = body
	c.firstPartAt = time.Now()
}

// maxHeldCommentBytes bounds the comments of a stream that are held until its first
// event. Further ones start the response.
const maxHeldCommentBytes = 4 << 10

// StartStream stores the headers of a stream until its first event. Those of a resumed
// stream are dropped.
func (c *callRelay) StartStream(response *http.Response) error {
	c.stream = response
	return nil
}

// startStream writes the headers of the stream, if none were written, and the comments
// that were held.
func (c *callRelay) startStream() error {
	if !c.streamStarted {
		c.streamStarted = true
		c.copyHeaders(c.stream)
		c.w.WriteHeader(c.stream.StatusCode)
	}
	held := c.heldComments
	c.heldComments = nil
	_, err := c.w.Write(held)
	return err
}

// Event writes the next event and flushes it. It skips events that the caller has
// already received, by their ids, which may increase by more than one. It returns
// code.AnswerTruncated when events without ids do not show where a resumed stream
// continues, or when the first further event of a resumed stream shows that events may be
// missing before it. A comment is no first part of the response, and is held while the response
// has none.
func (c *callRelay) Event(event forward.Event) error {
	if !event.IsComment() {
		if err := c.reportFirstEvent(); err != nil {
			return err
		}
		numbered := event.ID != forward.NoEventID
		if c.resumes && (c.unnumbered || !numbered) {
			return code.New(code.AnswerTruncated, "the stream has events without ids and cannot be resumed")
		}
		c.unnumbered = c.unnumbered || !numbered
	} else if !c.streamStarted && len(c.heldComments)+len(event.Raw) <= maxHeldCommentBytes {
		c.heldComments = append(c.heldComments, event.Raw...)
		return nil
	}
	if event.ID != forward.NoEventID {
		if event.ID <= c.lastEventID {
			return nil
		}
		if err := c.countStep(event.ID); err != nil {
			return err
		}
	}
	setWriteDeadline(c.w)
	if err := c.startStream(); err != nil {
		return errors.Join(errCallerGone, err)
	}
	if _, err := c.w.Write(event.Raw); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return http.NewResponseController(c.w).Flush()
}

// countStep records the id of the next event. The first event that a resumed stream adds
// may be ahead of the last one by at most the largest step of the response so far, or 1
// before there was any. Otherwise its server may have left out events.
func (c *callRelay) countStep(id int64) error {
	if c.numbered {
		step := id - c.lastEventID
		if c.resumes && !c.joined && step > max(c.largestStep, 1) {
			return code.Newf(code.AnswerTruncated, "the resumed stream continues with event %d after event %d", id, c.lastEventID)
		}
		c.largestStep = max(c.largestStep, step)
	}
	c.numbered, c.joined = true, true
	c.lastEventID = id
	return nil
}

// reportFirstEvent reports the first event of an attempt to the control thread. It
// returns an error when the attempt was stopped before.
func (c *callRelay) reportFirstEvent() error {
	if c.attemptStartedAt.IsZero() {
		return nil
	}
	if err := c.running.firstPart(); err != nil {
		return err
	}
	now := time.Now()
	if c.firstPartAt.IsZero() {
		c.firstPartAt = now
	}
	c.frontend.options.Control.Tell(control.FirstToken{
		Request: c.exchange.request.ID, Attempt: c.dispatch.Attempt, Elapsed: now.Sub(c.attemptStartedAt),
	})
	c.attemptStartedAt = time.Time{}
	return nil
}

// finish writes the end of the response. A complete response of a server is
// delivered even when the decision was to refuse, because it is the outcome of
// the call.
func (c *callRelay) finish(failure *requestError) {
	id := c.exchange.request.ID
	switch {
	case c.complete != nil && !c.streamStarted:
		c.recordCallDelivered(c.complete.StatusCode)
		c.writeCompleteResponse()
	case failure == nil:
		c.recordCallDelivered(http.StatusOK)
		setWriteDeadline(c.w)
		// A failed write means that the caller has disconnected.
		_ = c.startStream()
	case c.streamStarted:
		// Aborting the connection is the only way to show the caller that the
		// stream is incomplete.
		c.frontend.recordCallFailure(id, failure, 0)
		panic(http.ErrAbortHandler)
	default:
		c.frontend.refuseCall(c.w, id, failure)
	}
}

func (c *callRelay) writeCompleteResponse() {
	c.copyHeaders(c.complete)
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(c.completeBody)))
	}
	setWriteDeadline(c.w)
	c.w.WriteHeader(c.complete.StatusCode)
	// A failed write means that the caller has disconnected.
	_, _ = c.w.Write(c.completeBody)
}

// copyHeaders copies the end-to-end headers of a server. It adds none of its own.
func (c *callRelay) copyHeaders(response *http.Response) {
	header := c.w.Header()
	for name, values := range forward.EndToEndHeader(response.Header) {
		header[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, set := header[name]; !set {
			// A nil value prevents net/http from adding the header.
			header[name] = nil
		}
	}
}
