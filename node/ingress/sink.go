package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/core/code"
	"tanagerspread/core/invariant"
	"tanagerspread/core/request"
)

// maxResponseBytes is the largest text of one response.
const maxResponseBytes = 8 << 20

// writeTimeout bounds each write to a caller. A caller that stops reading would
// otherwise occupy its server slot and delay the planned stop of the node.
const writeTimeout = 60 * time.Second

// setWriteDeadline sets the deadline of the next write to the caller to
// writeTimeout from now.
func setWriteDeadline(w http.ResponseWriter) {
	// Only writers of tests have no deadlines; their writes do not block.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// completionWriter receives the verified events of a completion and writes them
// to the caller, as a stream or as one response.
type completionWriter struct {
	w            http.ResponseWriter
	id           request.ID
	params       completionParams
	text         strings.Builder
	nextSequence int
	usage        engine.Usage
	// finishReason is the reason that the engine gave for the end of the text.
	finishReason  string
	streamStarted bool
	checker       invariant.Checker
}

func newCompletionWriter(w http.ResponseWriter, id request.ID, params completionParams, checker invariant.Checker) *completionWriter {
	return &completionWriter{w: w, id: id, params: params, checker: checker}
}

// receive processes the next event in sequence and writes it to a streaming
// caller.
func (s *completionWriter) receive(e engine.CompletionEvent) error {
	if !s.checker.Check(e.RequestID == string(s.id), invariant.OwnResponse, "request %s", s.id) {
		return code.New(code.InvariantFailed, "the response belongs to another request")
	}
	if s.text.Len()+len(e.Text) > maxResponseBytes {
		return code.Newf(code.AnswerTooLarge, "the response is larger than %d bytes", maxResponseBytes)
	}
	s.nextSequence = e.Sequence + 1
	s.text.WriteString(e.Text)
	if e.Usage != nil {
		s.usage = *e.Usage
	}
	if e.Done {
		s.finishReason = e.FinishReason
		return nil
	}
	if !s.params.Stream {
		return nil
	}
	return s.writeEvent(newChunk(s, e.Text, nil))
}

// writeEvent writes one server-sent event and flushes it.
func (s *completionWriter) writeEvent(value any) error {
	s.startStream()
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	setWriteDeadline(s.w)
	if _, err := s.w.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *completionWriter) startStream() {
	if s.streamStarted {
		return
	}
	s.streamStarted = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.Header().Set(headerRequestID, string(s.id))
	s.w.WriteHeader(http.StatusOK)
}

// completeResponse returns the complete response. A stream is stored in this form
// too, which is what a repeat of the request receives.
func (s *completionWriter) completeResponse() StoredResponse {
	body, err := json.Marshal(newCompletionResponse(s))
	if err != nil {
		body = nil
	}
	return StoredResponse{Status: http.StatusOK, ContentType: "application/json", Body: body}
}

// deliver writes the complete response, or the end of the stream.
func (s *completionWriter) deliver(stored StoredResponse) {
	if !s.params.Stream {
		writeStoredResponse(s.w, s.id, stored)
		return
	}
	reason := s.finishReason
	if s.writeEvent(newChunk(s, "", &reason)) != nil {
		return
	}
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
}

// writeStreamError ends a stream with an error event, so that the caller can tell
// it from a complete one.
func (s *completionWriter) writeStreamError(r errorResponse) {
	if s.writeEvent(r) != nil {
		return
	}
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
}

// writeStoredResponse writes a complete response.
func writeStoredResponse(w http.ResponseWriter, id request.ID, stored StoredResponse) {
	header := w.Header()
	header.Set("Content-Type", stored.ContentType)
	header.Set("Content-Length", strconv.Itoa(len(stored.Body)))
	header.Set(headerRequestID, string(id))
	header.Set(headerExecution, string(code.Ran))
	setWriteDeadline(w)
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}
