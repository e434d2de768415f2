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

// maxAnswerBytes bounds the text of one response.
const maxAnswerBytes = 8 << 20

// writeTimeout bounds each write to a caller. A caller that stops reading
// would otherwise hold its server slot and the planned stop of the node.
const writeTimeout = 60 * time.Second

// boundWrite sets the deadline of the next write to the caller.
func boundWrite(w http.ResponseWriter) {
	// A writer without deadlines is one of a test; its writes do not block.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// sink receives the verified events of a completion and writes them to the
// caller, as a stream or as one response.
type sink struct {
	w     http.ResponseWriter
	id    request.ID
	call  completionCall
	text  strings.Builder
	next  int
	usage engine.Usage
	// reason is why the engine stopped generating.
	reason  string
	begun   bool
	checker invariant.Checker
}

func newSink(w http.ResponseWriter, id request.ID, call completionCall, checker invariant.Checker) *sink {
	return &sink{w: w, id: id, call: call, checker: checker}
}

// receive takes the next event in sequence.
func (s *sink) receive(e engine.CompletionEvent) error {
	if !s.checker.Check(e.RequestID == string(s.id), invariant.OwnResponse, "request %s", s.id) {
		return code.New(code.InvariantFailed, "the response belongs to another request")
	}
	if s.text.Len()+len(e.Text) > maxAnswerBytes {
		return code.Newf(code.AnswerTooLarge, "the response is larger than %d bytes", maxAnswerBytes)
	}
	s.next = e.Sequence + 1
	s.text.WriteString(e.Text)
	if e.Usage != nil {
		s.usage = *e.Usage
	}
	if e.Done {
		s.reason = e.FinishReason
		return nil
	}
	if !s.call.Stream {
		return nil
	}
	return s.stream(chunkOf(s, e.Text, nil))
}

// stream writes one server-sent event and flushes it.
func (s *sink) stream(value any) error {
	s.begin()
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	boundWrite(s.w)
	if _, err := s.w.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *sink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.Header().Set(headerRequestID, string(s.id))
	s.w.WriteHeader(http.StatusOK)
}

// finish renders the whole response. A stream is kept as a whole response,
// which is what a repeat of the request receives.
func (s *sink) finish() Kept {
	body, err := json.Marshal(wholeOf(s))
	if err != nil {
		body = nil
	}
	return Kept{Status: http.StatusOK, ContentType: "application/json", Body: body}
}

// send writes the whole response, or the end of the stream.
func (s *sink) send(kept Kept) {
	if !s.call.Stream {
		writeKept(s.w, s.id, kept)
		return
	}
	reason := s.reason
	if s.stream(chunkOf(s, "", &reason)) != nil {
		return
	}
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
}

// fail ends a stream with an error event, so that it never ends silently.
func (s *sink) fail(r refusal) {
	if s.stream(r) != nil {
		return
	}
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
}

// writeKept writes a whole response.
func writeKept(w http.ResponseWriter, id request.ID, kept Kept) {
	header := w.Header()
	header.Set("Content-Type", kept.ContentType)
	header.Set("Content-Length", strconv.Itoa(len(kept.Body)))
	header.Set(headerRequestID, string(id))
	header.Set(headerExecution, string(code.Ran))
	boundWrite(w)
	w.WriteHeader(kept.Status)
	_, _ = w.Write(kept.Body)
}
