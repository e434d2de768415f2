package egress

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"tanagerspread/client/engine"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// Result is the outcome of an attempt.
type Result struct {
	Outcome control.Outcome
	Cause   *code.Error
	Load    *fleet.Load
	Leaving bool
	// ConnectionBroken is true when the connection broke after the request was
	// sent.
	ConnectionBroken bool
	// OtherServer is true when the server refused a forwarded call because it is
	// not the expected server or has loaded other weights than expected.
	OtherServer bool
	// Weights is the weight version that the server reported, 0 without a
	// report, or forward.InvalidWeights.
	Weights int
	// ServerError is true when the response to a forwarded call has a 5xx
	// status, Answered when it has a 2xx status.
	ServerError bool
	Answered    bool
}

// Complete runs one completion and passes each verified event to receive. An
// error from receive stops the attempt.
func (c *Client) Complete(ctx context.Context, address string, body engine.CompletionRequest, timeouts Timeouts, checkSend SendCheck, receive func(engine.CompletionEvent) error) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := newCompletionRequest(ctx, address, body)
	if err != nil {
		return Result{Outcome: control.Stopped, Cause: code.Wrap(code.Internal, "the request cannot be encoded", err)}
	}
	response, conn, err := c.send(request, timeouts, checkSend)
	if err != nil {
		return failedResult(ctx, err)
	}
	defer conn.close()
	defer func() { _ = response.Body.Close() }()
	result := headerResult(response.Header)
	if response.StatusCode != http.StatusOK {
		return errorStatusResult(result, response, refusesRequest(response, body.RequestID))
	}
	reader, stop := newGapReader(response.Body, timeouts.Gap, cancel)
	defer stop()
	return bodyResult(ctx, result, readEvents(reader, body, receive))
}

func newCompletionRequest(ctx context.Context, address string, body engine.CompletionRequest) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engine.PathCompletions, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(engine.HeaderRequestID, body.RequestID)
	return request, nil
}

// readEvents passes the events in body to receive up to the final one. It
// verifies that they belong to the request and are in sequence.
func readEvents(body io.Reader, request engine.CompletionRequest, receive func(engine.CompletionEvent) error) error {
	next := 0
	if request.Resume != nil {
		next = request.Resume.From
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		event, err := decodeEvent(data, request.RequestID, next)
		if err != nil {
			return err
		}
		next++
		if err := receive(event); err != nil {
			return &stoppedError{cause: err}
		}
		if event.Done {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return code.New(code.AnswerTruncated, "the response ended before it was whole")
}

func decodeEvent(data []byte, requestID string, next int) (engine.CompletionEvent, error) {
	var event engine.CompletionEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return event, code.Wrap(code.AnswerTruncated, "the response has a malformed event", err)
	}
	if event.RequestID != requestID {
		return event, code.New(code.AnswerMismatched, "the response belongs to another request")
	}
	if event.Sequence != next {
		return event, code.Newf(code.AnswerTruncated, "the response has sequence number %d instead of %d", event.Sequence, next)
	}
	return event, nil
}

// stoppedError wraps the error with which the receiver stopped the attempt.
type stoppedError struct {
	cause error
}

func (e *stoppedError) Error() string { return "stopped: " + e.cause.Error() }
func (e *stoppedError) Unwrap() error { return e.cause }

// bodyResult completes the result of an attempt. err is the error from reading
// the response body, or nil for a complete response.
func bodyResult(ctx context.Context, result Result, err error) Result {
	if err == nil {
		result.Outcome = control.Succeeded
		return result
	}
	failed := failedResult(ctx, err)
	failed.Load = result.Load
	failed.Leaving = result.Leaving
	return failed
}

// failedResult classifies an error of an attempt. A coded cancellation cause of
// the context takes precedence over the transport error that results from it.
func failedResult(ctx context.Context, err error) Result {
	var ended *code.Error
	errors.As(context.Cause(ctx), &ended)
	var stopped *stoppedError
	// A receiver that returns the cancellation cause reports it and stops nothing.
	if errors.As(err, &stopped) && (ended == nil || !errors.Is(stopped.cause, ended)) {
		return Result{Outcome: control.Stopped, Cause: stopCause(stopped.cause)}
	}
	if NotSent(err) {
		return Result{Outcome: control.DialFailed, Cause: classify(err)}
	}
	if ended != nil {
		return Result{Outcome: control.Lost, Cause: ended}
	}
	if ctx.Err() != nil {
		return Result{Outcome: control.Stopped, Cause: stopCause(ctx.Err())}
	}
	cause := classify(err)
	broken := cause.Code == code.BackendLost || errors.Is(err, io.ErrUnexpectedEOF)
	return Result{Outcome: control.Lost, Cause: cause, ConnectionBroken: broken}
}

// stopCause returns the reason why the node stopped an attempt. An error
// without a code is a failed write to the caller or the end of the context.
func stopCause(err error) *code.Error {
	var coded *code.Error
	if errors.As(err, &coded) {
		return coded
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return code.Wrap(code.DeadlinePassed, "the deadline passed while the request ran", err)
	}
	return code.Wrap(code.CallerGone, "the caller closed the connection", err)
}

// refusesRequest reports whether a response is the refusal of the request with an id,
// which has not run. A server in trouble may send the refusal of an earlier request
// again.
func refusesRequest(response *http.Response, id string) bool {
	ids := response.Header.Values(engine.HeaderRequestID)
	return response.StatusCode >= http.StatusBadRequest && response.Header.Get(engine.HeaderExecution) == engine.ExecutionNotRun &&
		len(ids) == 1 && ids[0] == id
}

// errorStatusResult returns result with the outcome of a response whose status is
// not 200: Rejected when the headers state that the request did not run, Lost
// otherwise.
func errorStatusResult(result Result, response *http.Response, notRun bool) Result {
	result.Outcome = control.Lost
	result.Cause = code.Newf(code.BackendLost, "the backend server responded with status %d", response.StatusCode)
	if notRun {
		result.Outcome = control.Rejected
		result.Cause = code.New(code.BackendRefused, "the backend server refused the request before running it")
	}
	return result
}

// headerResult returns a result with the load and the leaving report in the
// response headers. Load is nil when the headers have no load.
func headerResult(header http.Header) Result {
	result := Result{Leaving: header.Get(engine.HeaderLeaving) == "true"}
	running, err := strconv.Atoi(header.Get(engine.HeaderRunning))
	if err != nil {
		return result
	}
	waiting, _ := strconv.Atoi(header.Get(engine.HeaderWaiting))
	prefill, _ := strconv.Atoi(header.Get(engine.HeaderPrefillTokens))
	result.Load = &fleet.Load{Running: running, Waiting: waiting, PrefillTokens: prefill}
	return result
}
