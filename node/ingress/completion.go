package ingress

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
	"tanagerspread/node/blocks"
	"tanagerspread/node/egress"
)

// handleCompletion serves a completion request, or a chat request if chat is
// true.
func (f *Frontend) handleCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	id := newID()
	fields, err := readHeaders(r.Header, time.Now())
	if err != nil {
		f.refuse(w, id, err, 0)
		return
	}
	body, err := readBody(w, r, f.options.MaxBodyBytes)
	if err != nil {
		f.refuse(w, id, err, 0)
		return
	}
	params, err := decodeCompletion(body, chat)
	if err != nil {
		f.refuse(w, id, err, 0)
		return
	}
	x := &exchange{frontend: f, request: fields.request(id, request.Route{Kind: request.Completion, Name: params.Model}, bodyDigest(r, body))}
	x.request.PromptTokens = len(params.Prompt) / cachekey.BytesPerToken
	x.request.MaxTokens = params.MaxTokens
	f.serveCompletion(w, r, x, params)
}

// bodyDigest returns the digest of method, path, query and body, so that an
// idempotency key cannot be used for another call.
func bodyDigest(r *http.Request, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(r.Method + "\n" + r.URL.RequestURI() + "\n"))
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

func (f *Frontend) serveCompletion(w http.ResponseWriter, r *http.Request, x *exchange, params completionParams) {
	ctx, cancel := x.context(r.Context())
	defer cancel()
	if early := x.admit(ctx); early != nil {
		f.writeEarlyResult(w, x, early)
		return
	}
	writer := newCompletionWriter(w, x.request.ID, params, f.options.Checker)
	x.prefix = cachekey.Chain(x.admitted.Scope, []byte(params.Prompt))
	x.namespace = blocks.EncodeKey(cachekey.Root(x.admitted.Scope))
	failure := x.execute(ctx, f.completionAttempt(x, params, writer))
	if failure != nil {
		f.writeFailure(w, x, writer, failure)
		return
	}
	var stored StoredResponse
	if x.admitted.Claim || !params.Stream {
		stored = writer.completeResponse()
	}
	if x.admitted.Claim {
		x.recordResponse(ctx, stored)
	}
	f.recordDelivered(x.request.ID)
	writer.deliver(stored)
}

// context returns a context that ends at the deadline of the request. A request
// with an idempotency key continues when its caller disconnects, because its
// record needs the response.
func (x *exchange) context(parent context.Context) (context.Context, context.CancelFunc) {
	if x.request.KeyDigest != "" {
		parent = context.WithoutCancel(parent)
	}
	x.callerContext = parent
	return context.WithDeadline(parent, x.request.Deadline)
}

func (f *Frontend) writeEarlyResult(w http.ResponseWriter, x *exchange, early *earlyResult) {
	if early.failure != nil {
		f.refuse(w, x.request.ID, early.failure.err, early.failure.retryAfter)
		return
	}
	f.recordDelivered(x.request.ID)
	writeStoredResponse(w, x.request.ID, *early.stored)
}

// completionAttempt returns the function that performs attempts. An attempt
// after a broken stream resumes after the tokens that were already received.
func (f *Frontend) completionAttempt(x *exchange, params completionParams, writer *completionWriter) attemptFunc {
	return func(ctx context.Context, dispatch control.Dispatch, checkSend egress.SendCheck) egress.Result {
		x.importBlocks(ctx, dispatch)
		body := x.engineRequest(params, dispatch, writer)
		timeouts := timeoutsOf(dispatch)
		startedAt := time.Now()
		return f.options.Egress.Complete(ctx, dispatch.Address, body, timeouts, checkSend, func(e engine.CompletionEvent) error {
			if e.Sequence == 0 {
				f.options.Control.Tell(control.FirstToken{Request: x.request.ID, Attempt: dispatch.Attempt, Elapsed: time.Since(startedAt)})
			}
			return writer.receive(e)
		})
	}
}

// importBlocks runs the import that the placement planned, if any. Its result
// does not matter to the attempt: the engine computes the blocks it is missing.
func (x *exchange) importBlocks(ctx context.Context, dispatch control.Dispatch) {
	if dispatch.Import == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dispatch.ImportTimeout)
	defer cancel()
	x.frontend.options.Importer.Import(ctx, blocks.ImportSpec{
		Request:   x.request.ID,
		Attempt:   dispatch.Attempt,
		Namespace: x.namespace,
		Engine:    dispatch.Address,
		Plan:      *dispatch.Import,
	})
}

func timeoutsOf(dispatch control.Dispatch) egress.Timeouts {
	return egress.Timeouts{Dial: dispatch.DialTimeout, Header: dispatch.HeaderTimeout, Gap: dispatch.GapTimeout}
}

func (x *exchange) engineRequest(params completionParams, dispatch control.Dispatch, writer *completionWriter) engine.CompletionRequest {
	body := engine.CompletionRequest{
		RequestID:      string(x.request.ID),
		Model:          params.Model,
		Adapter:        x.admitted.Scope.Adapter,
		Weights:        x.admitted.Scope.Weights,
		CacheNamespace: x.namespace,
		PrefixKeys:     blocks.EncodeKeys(x.prefix),
		Prompt:         params.Prompt,
		MaxTokens:      params.MaxTokens,
		Priority:       dispatch.Priority,
		DeadlineMS:     time.Until(x.request.Deadline).Milliseconds(),
	}
	if writer.nextSequence > 0 {
		body.Resume = &engine.Resume{From: writer.nextSequence, Text: writer.text.String()}
	}
	return body
}

// writeFailure ends a response with an error: with an error response when nothing
// was sent to the caller, and with an error event in a stream that has started.
func (f *Frontend) writeFailure(w http.ResponseWriter, x *exchange, writer *completionWriter, failure *requestError) {
	if writer.streamStarted {
		err := failure.err
		// The last error may mean that the last attempt did not run. The request
		// must not be reported as not run, because an earlier attempt has run and
		// sent part of the stream.
		if err.Info().Execution == code.NotRun {
			err = code.Wrap(code.BackendLost, "the backend server failed during the request", err)
		}
		f.recordFailure(x.request.ID, err)
		writer.writeStreamError(newErrorResponse(x.request.ID, err, failure.retryAfter))
		return
	}
	f.refuse(w, x.request.ID, failure.err, failure.retryAfter)
}
