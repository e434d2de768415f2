package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
)

// maxTokens is the largest accepted max_tokens of a request.
const maxTokens = 1 << 16

// foreignRequestID is the identifier that MismatchNextID puts into events when the
// batch contains no other request.
const foreignRequestID = "foreign-request"

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var request engine.CompletionRequest
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	w.Header().Set(engine.HeaderExecution, engine.ExecutionNotRun)
	if !wire.Decode(w, r, &request) {
		return
	}
	w.Header().Del(engine.HeaderExecution)
	var accepted *run
	var refusal *code.Error
	e.do(func(s *state) { accepted, refusal = s.acceptCompletion(request, time.Now()) })
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	if accepted == nil {
		return
	}
	defer e.do(func(s *state) { s.batch.remove(time.Now(), accepted) })
	e.stream(r.Context(), w, accepted)
}

// acceptCompletion adds a request to the batch or refuses it as not run. It
// returns neither a run nor a refusal when the engine is down.
func (s *state) acceptCompletion(request engine.CompletionRequest, now time.Time) (*run, *code.Error) {
	if s.down {
		return nil, nil
	}
	if refusal := s.checkRequest(request); refusal != nil {
		return nil, refusal
	}
	s.arrivals++
	r := newRun(request, s.arrivals)
	if len(s.pendingFaults) > 0 {
		r.fault = s.pendingFaults[0]
		s.pendingFaults = s.pendingFaults[1:]
	}
	s.batch.add(now, r)
	return r, nil
}

func (s *state) checkRequest(request engine.CompletionRequest) *code.Error {
	if s.leaving {
		return code.New(code.Draining, "the engine is leaving")
	}
	if request.MaxTokens < 0 || request.MaxTokens > maxTokens {
		return code.Newf(code.MalformedBody, "max_tokens is not between 0 and %d", maxTokens)
	}
	if s.current.Model != "" && !servesRequest(s.current, request) {
		return code.New(code.UnknownModel, "the engine has another model, adapter or weight version")
	}
	if s.batch.count(waiting) >= s.options.MaxWaiting {
		return code.New(code.QueueFull, "the engine has too many waiting requests")
	}
	return s.checkResume(request)
}

func servesRequest(current engine.Desired, request engine.CompletionRequest) bool {
	return current.Model == request.Model && current.Adapter == request.Adapter && current.Weights == request.Weights
}

func (s *state) checkResume(request engine.CompletionRequest) *code.Error {
	if request.Resume == nil {
		return nil
	}
	from := request.Resume.From
	if from < 0 || from > request.MaxTokens || request.Resume.Text != Text(request.Prompt, from) {
		s.resumeMismatches++
		return code.New(code.MalformedBody, "the resumed text is not the beginning of the response")
	}
	return nil
}

// refuse writes an error response for a request that did not run.
func (e *Engine) refuse(w http.ResponseWriter, refusal *code.Error) {
	writeLoad(w.Header(), e.loadReport())
	if refusal.Code == code.Draining {
		w.Header().Set(engine.HeaderLeaving, "true")
	}
	w.Header().Set(engine.HeaderExecution, engine.ExecutionNotRun)
	wire.ReplyError(w, refusal)
}

// stream writes the events of a run until it finishes or the caller
// disconnects.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, r *run) {
	out := &eventWriter{w: w, run: r}
	for {
		select {
		case <-ctx.Done():
			return
		case sequence, more := <-r.tokens:
			if !out.headerWritten {
				out.writeHeader(e.loadReport())
			}
			if !more {
				e.finish(out)
				return
			}
			if out.truncated(sequence) || !e.sendToken(out, sequence) {
				return
			}
		}
	}
}

func (e *Engine) finish(out *eventWriter) {
	r := out.run
	if out.truncated(r.request.MaxTokens) {
		return
	}
	usage := r.usage()
	out.write(engine.CompletionEvent{
		RequestID: e.eventRequestID(r, r.request.MaxTokens), Sequence: r.request.MaxTokens,
		Done: true, FinishReason: "length", Usage: &usage,
	})
}

// sendToken writes the event of one token and applies the injected fault of the
// run. It returns false when the connection is broken.
func (e *Engine) sendToken(out *eventWriter, sequence int) bool {
	r := out.run
	event := engine.CompletionEvent{
		RequestID: e.eventRequestID(r, sequence),
		Sequence:  sequence,
		Text:      Token(r.request.Prompt, sequence),
	}
	if r.fault.kind == faultDuplicate && sequence == r.fault.sequence && !out.write(event) {
		return false
	}
	return out.write(event)
}

// eventRequestID returns the request identifier for an event: the identifier of
// another request when MismatchNextID affects the event.
func (e *Engine) eventRequestID(r *run, sequence int) string {
	if r.fault.kind != faultMismatchID || sequence < r.fault.sequence {
		return r.request.RequestID
	}
	id := foreignRequestID
	e.do(func(s *state) {
		for _, other := range s.batch.runs {
			if other != r {
				id = other.request.RequestID
			}
		}
	})
	return id
}

// eventWriter writes the server-sent events of one run.
type eventWriter struct {
	w             http.ResponseWriter
	run           *run
	headerWritten bool
}

func (o *eventWriter) writeHeader(load engine.Load) {
	o.headerWritten = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	writeLoad(o.w.Header(), load)
	o.w.WriteHeader(http.StatusOK)
}

// truncated reports whether the injected fault ends the response before the
// event with the given sequence number.
func (o *eventWriter) truncated(sequence int) bool {
	return o.run.fault.kind == faultTruncate && sequence >= o.run.fault.sequence
}

func (o *eventWriter) write(event engine.CompletionEvent) bool {
	data, err := json.Marshal(event)
	if err != nil {
		return false
	}
	if _, err := o.w.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
		return false
	}
	return http.NewResponseController(o.w).Flush() == nil
}
