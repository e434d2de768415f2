package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/request"
	"tanagerspread/node/clock"
	"tanagerspread/node/egress"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/forward"
)

// errCallerLeft ends an attempt whose caller cannot be written to.
var errCallerLeft = errors.New("the caller cannot be written to")

// forwardHandler returns the routes of a node that forwards calls.
func (f *Front) forwardHandler() http.Handler {
	return http.HandlerFunc(f.forwardCall)
}

// Readiness returns the handler of the load balancer's check.
func (f *Front) Readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+f.options.Protocol.ReadinessPath(), f.readiness)
	return mux
}

// forwardCall serves one forwarded call.
func (f *Front) forwardCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	ctx := clock.NewContext(r.Context())
	call, err := f.options.Protocol.Decode(r)
	if err != nil {
		f.refuseCall(w, newID(), &refused{err: err})
		return
	}
	body, release, err := f.holdBody(w, r)
	defer release()
	if err != nil {
		f.refuseCall(w, call.ID, &refused{err: err, retryAfter: pendingRetry})
		return
	}
	call.Routing.BodyBytes = len(body)
	x := &exchange{front: f, caller: r.Context(), request: request.Request{
		ID:           call.ID,
		Route:        request.Route{Kind: request.Forward},
		Deadline:     arrived.Add(call.Deadline),
		TokenDigest:  call.KeyDigest,
		BodyDigest:   bodyDigest(r, body),
		PromptTokens: call.PromptTokens,
		MaxTokens:    call.MaxTokens,
		Call:         &call.Routing,
	}}
	f.serveCall(ctx, x, &callRelay{front: f, w: w, r: r, exchange: x, body: body, lastEvent: call.LastEvent, arrived: arrived})
}

// pendingRetry is the advised delay after a call was refused because the bodies
// in progress take too much memory.
const pendingRetry = 200 * time.Millisecond

// holdBody reads the body of a call and counts its bytes until release is
// called. A body that is refused is read and dropped: a connection that closes
// with unread bytes may be reset before the caller has seen the refusal.
func (f *Front) holdBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), _ *code.Error) {
	held := max(r.ContentLength, 0)
	release = func() { f.pending.Add(-held) }
	if total := f.pending.Add(held); f.options.MaxPendingBytes > 0 && total > f.options.MaxPendingBytes {
		f.dropBody(w, r)
		return nil, release, code.New(code.Overloaded, "the bodies of the calls in progress take too much memory")
	}
	body, err := readBody(w, r, f.options.MaxBodyBytes)
	if extra := int64(len(body)) - held; extra > 0 {
		held += extra
		f.pending.Add(extra)
	}
	return body, release, err
}

// dropBody reads a body without keeping it.
func (f *Front) dropBody(w http.ResponseWriter, r *http.Request) {
	limited := http.MaxBytesReader(w, r.Body, f.options.MaxBodyBytes)
	// The call is refused either way; a failed read means that the caller has left
	// or sends more than is allowed.
	_, _ = io.Copy(io.Discard, limited)
}

func (f *Front) serveCall(ctx context.Context, x *exchange, relay *callRelay) {
	if end := x.admit(ctx); end != nil {
		f.refuseCall(relay.w, x.request.ID, end.refused)
		return
	}
	x.request.Deadline = x.admitted.Deadline
	ctx, cancel := x.context(ctx)
	defer cancel()
	relay.finish(x.run(ctx, relay.attempt))
}

// refuseCall logs a refusal and responds with it.
func (f *Front) refuseCall(w http.ResponseWriter, id request.ID, end *refused) {
	err, retryAfter := end.err, end.retryAfter
	status := statusOf(err.Info())
	f.noteCallRefused(id, end, status)
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set(headerCode, strconv.Itoa(int(err.Code)))
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	boundWrite(w)
	w.WriteHeader(status)
	// A failed write means that the caller has left; nothing is left to do.
	_, _ = w.Write([]byte(err.Detail + "\n"))
}

// noteCallRefused counts and logs a call that ends without a whole response. The
// status is 0 when a stream is broken off.
func (f *Front) noteCallRefused(id request.ID, end *refused, status int) {
	f.options.Observer.Outcome(end.err)
	eventlog.Write(f.options.Logger, event.CallRefused, end.err.Cause,
		"request", id, "code", int(end.err.Code), "execution", string(end.err.Info().Execution), "status", status,
		"detail", end.err.Detail, "retry_after_ms", end.retryAfter.Milliseconds(), "version", uint64(end.version))
}

// statusOf returns a status that promises no more than the code does. Callers
// take 408, 421, 429 and 503 as the promise that a call has not run and never
// will, and repeat it.
func statusOf(info code.Info) int {
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

// callRelay carries the response of one forwarded call to its caller.
type callRelay struct {
	front    *Front
	w        http.ResponseWriter
	r        *http.Request
	exchange *exchange
	body     []byte
	dispatch control.Dispatch
	// arrived, sent and first are when the call arrived, when its attempt
	// began, and when the first part of the response came.
	arrived time.Time
	sent    time.Time
	first   time.Time
	// lastEvent is the last event that the caller has, or forward.NoEvent.
	lastEvent int64
	// begun is true once the headers of a stream are with the caller.
	begun bool
	// whole is a response with its whole body, or nil.
	whole     *http.Response
	wholeBody []byte
}

// attempt performs one attempt.
func (c *callRelay) attempt(ctx context.Context, dispatch control.Dispatch, gate egress.Gate) egress.Result {
	c.dispatch = dispatch
	c.sent = time.Now()
	left := time.Until(c.exchange.request.Deadline)
	c.logAssigned(dispatch)
	call := egress.ForwardCall{
		ID:     c.exchange.request.ID,
		Method: c.r.Method,
		Target: forward.Target(c.r),
		Host:   c.r.Host,
		Header: c.front.options.Protocol.Outgoing(c.r.Header, *dispatch.Forward, left, c.lastEvent),
		Body:   c.body,
	}
	return c.front.options.Egress.Forward(ctx, dispatch.Address, c.front.options.Protocol, call, timeoutsOf(dispatch), gate, c)
}

// logAssigned says where the call goes and what decided it.
func (c *callRelay) logAssigned(dispatch control.Dispatch) {
	plan := dispatch.Forward
	eventlog.Write(c.front.options.Logger, event.AttemptAssigned, nil,
		"request", c.exchange.request.ID, "attempt", int(dispatch.Attempt), "server", string(dispatch.Server),
		"route", c.exchange.admitted.Route.Name, "weights", plan.Weights, "prefix", plan.Prefix, "prompt", plan.PromptTokens,
		"prefill", plan.PrefillTokens, "fetch", count(plan.FetchFrom), "save", count(plan.SaveTo),
		"queue_ms", plan.QueueTime.Milliseconds(), "version", uint64(plan.Version))
}

// count returns the number of addresses in a list.
func count(addresses []string) int {
	found := 0
	for _, address := range addresses {
		if address != "" {
			found++
		}
	}
	return found
}

// noteAnswered logs a response that is whole with the caller.
func (c *callRelay) noteAnswered(status int) {
	c.front.options.Observer.Outcome(nil)
	now := time.Now()
	c.front.options.Observer.Answered(c.exchange.admitted.Route.Kind, c.first.Sub(c.arrived), now.Sub(c.arrived))
	eventlog.Write(c.front.options.Logger, event.CallDelivered, nil,
		"request", c.exchange.request.ID, "attempt", int(c.dispatch.Attempt), "server", string(c.dispatch.Server),
		"status", status, "first_ms", c.first.Sub(c.arrived).Milliseconds(), "total_ms", now.Sub(c.arrived).Milliseconds())
}

// CompleteResponse keeps a response until the control thread has decided what follows.
func (c *callRelay) CompleteResponse(response *http.Response, body []byte) {
	c.whole = response
	c.wholeBody = body
	c.first = time.Now()
}

// StartStream writes the headers of the first stream; a resumed one keeps them.
func (c *callRelay) StartStream(response *http.Response) error {
	if c.begun {
		return nil
	}
	c.begun = true
	c.copyHeaders(response)
	c.w.WriteHeader(response.StatusCode)
	return nil
}

// Event writes the next event and flushes it. Events that the caller already
// has are left out.
func (c *callRelay) Event(event forward.Event) error {
	c.noteFirst()
	if event.ID != forward.NoEvent {
		if event.ID <= c.lastEvent {
			return nil
		}
		if c.lastEvent != forward.NoEvent && event.ID != c.lastEvent+1 {
			return code.Newf(code.AnswerTruncated, "the stream has event %d after event %d", event.ID, c.lastEvent)
		}
		c.lastEvent = event.ID
	}
	boundWrite(c.w)
	if _, err := c.w.Write(event.Raw); err != nil {
		return errors.Join(errCallerLeft, err)
	}
	return http.NewResponseController(c.w).Flush()
}

// noteFirst reports the first event of an attempt.
func (c *callRelay) noteFirst() {
	if c.sent.IsZero() {
		return
	}
	now := time.Now()
	if c.first.IsZero() {
		c.first = now
	}
	c.front.options.Control.Tell(control.FirstToken{
		Request: c.exchange.request.ID, Attempt: c.dispatch.Attempt, Elapsed: now.Sub(c.sent),
	})
	c.sent = time.Time{}
}

// finish ends the response. A whole response of a server is delivered even when
// the decision was to refuse, because it is the true outcome.
func (c *callRelay) finish(refused *refused) {
	id := c.exchange.request.ID
	switch {
	case c.whole != nil && !c.begun:
		c.noteAnswered(c.whole.StatusCode)
		c.writeWhole()
	case refused == nil:
		c.noteAnswered(http.StatusOK)
	case c.begun:
		// A broken connection is the only way to tell that the stream is not
		// complete.
		c.front.noteCallRefused(id, refused, 0)
		panic(http.ErrAbortHandler)
	default:
		c.front.refuseCall(c.w, id, refused)
	}
}

func (c *callRelay) writeWhole() {
	c.copyHeaders(c.whole)
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(c.wholeBody)))
	}
	boundWrite(c.w)
	c.w.WriteHeader(c.whole.StatusCode)
	// A failed write means that the caller has left; nothing is left to do.
	_, _ = c.w.Write(c.wholeBody)
}

// copyHeaders passes on the headers of a server without adding any.
func (c *callRelay) copyHeaders(response *http.Response) {
	header := c.w.Header()
	for name, values := range forward.EndToEnd(response.Header) {
		header[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, set := header[name]; !set {
			// A nil value keeps net/http from adding its own.
			header[name] = nil
		}
	}
}
