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

// completion serves a completion or chat request.
func (f *Front) completion(w http.ResponseWriter, r *http.Request, chat bool) {
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
	call, err := decodeCompletion(body, chat)
	if err != nil {
		f.refuse(w, id, err, 0)
		return
	}
	x := &exchange{front: f, request: fields.request(id, request.Route{Kind: request.Completion, Name: call.Model}, bodyDigest(r, body))}
	x.request.PromptTokens = len(call.Prompt) / cachekey.BytesPerToken
	x.request.MaxTokens = call.MaxTokens
	f.serveCompletion(w, r, x, call)
}

// bodyDigest binds method, path and body, so that an idempotency key cannot
// be used for another call.
func bodyDigest(r *http.Request, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(r.Method + "\n" + r.URL.RequestURI() + "\n"))
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

func (f *Front) serveCompletion(w http.ResponseWriter, r *http.Request, x *exchange, call completionCall) {
	ctx, cancel := x.context(r.Context())
	defer cancel()
	if end := x.admit(ctx); end != nil {
		f.writeEnd(w, x, end)
		return
	}
	sink := newSink(w, x.request.ID, call, f.options.Checker)
	x.prefix = cachekey.Chain(x.admitted.Scope, []byte(call.Prompt))
	x.namespace = blocks.EncodeKey(cachekey.Root(x.admitted.Scope))
	refused := x.run(ctx, f.completionRunner(x, call, sink))
	if refused != nil {
		f.refuseSink(w, x, sink, refused)
		return
	}
	var kept Kept
	if x.admitted.Claim || !call.Stream {
		kept = sink.finish()
	}
	if x.admitted.Claim {
		x.record(ctx, kept)
	}
	f.noteDelivered(x.request.ID)
	sink.send(kept)
}

// context bounds the request by its deadline. A non-idempotent request goes
// on when its caller leaves, because its record needs the response.
func (x *exchange) context(parent context.Context) (context.Context, context.CancelFunc) {
	if x.request.KeyDigest != "" {
		parent = context.WithoutCancel(parent)
	}
	x.caller = parent
	return context.WithDeadline(parent, x.request.Deadline)
}

func (f *Front) writeEnd(w http.ResponseWriter, x *exchange, end *ended) {
	if end.refused != nil {
		f.refuse(w, x.request.ID, end.refused.err, end.refused.retryAfter)
		return
	}
	f.noteDelivered(x.request.ID)
	writeKept(w, x.request.ID, *end.kept)
}

// completionRunner returns the function that performs attempts. An attempt
// after a broken stream resumes behind the tokens already received.
func (f *Front) completionRunner(x *exchange, call completionCall, sink *sink) runner {
	return func(ctx context.Context, dispatch control.Dispatch, gate egress.Gate) egress.Result {
		x.importBlocks(ctx, dispatch)
		body := x.engineRequest(call, dispatch, sink)
		timeouts := timeoutsOf(dispatch)
		began := time.Now()
		return f.options.Egress.Complete(ctx, dispatch.Address, body, timeouts, gate, func(e engine.CompletionEvent) error {
			if e.Sequence == 0 {
				f.options.Control.Tell(control.FirstToken{Request: x.request.ID, Attempt: dispatch.Attempt, Elapsed: time.Since(began)})
			}
			return sink.receive(e)
		})
	}
}

// importBlocks runs the import that the placement plans. Whatever becomes of
// it, the engine computes what it lacks.
func (x *exchange) importBlocks(ctx context.Context, dispatch control.Dispatch) {
	if dispatch.Import == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dispatch.ImportTimeout)
	defer cancel()
	x.front.options.Importer.Import(ctx, blocks.ImportSpec{
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

func (x *exchange) engineRequest(call completionCall, dispatch control.Dispatch, sink *sink) engine.CompletionRequest {
	body := engine.CompletionRequest{
		RequestID:      string(x.request.ID),
		Model:          call.Model,
		Adapter:        x.admitted.Scope.Adapter,
		Weights:        x.admitted.Scope.Weights,
		CacheNamespace: x.namespace,
		PrefixKeys:     blocks.EncodeKeys(x.prefix),
		Prompt:         call.Prompt,
		MaxTokens:      call.MaxTokens,
		Priority:       dispatch.Priority,
		DeadlineMS:     time.Until(x.request.Deadline).Milliseconds(),
	}
	if sink.next > 0 {
		body.Resume = &engine.Resume{From: sink.next, Text: sink.text.String()}
	}
	return body
}

// refuseSink ends a response with an error: as a refusal when nothing was
// sent, and as an error event in a stream that has begun.
func (f *Front) refuseSink(w http.ResponseWriter, x *exchange, sink *sink, refused *refused) {
	if sink.begun {
		err := refused.err
		if err.Info().Execution == code.NotRun {
			err = code.Wrap(code.BackendLost, "the backend server failed during the request", err)
		}
		f.noteRefused(x.request.ID, err)
		sink.fail(newRefusal(x.request.ID, err, refused.retryAfter))
		return
	}
	f.refuse(w, x.request.ID, refused.err, refused.retryAfter)
}
