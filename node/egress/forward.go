package egress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"net/url"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
	"tanagerspread/node/forward"
)

// maxForwardBytes bounds the body of a whole response.
const maxForwardBytes = 8 << 20

// typeEvents is the media type of a stream of events.
const typeEvents = "text/event-stream"

// ForwardCall is one attempt of a forwarded call.
type ForwardCall struct {
	ID     request.ID
	Method string
	// Target is path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Receiver takes the response of a forwarded call.
type Receiver interface {
	// Whole takes a response with its whole body.
	Whole(response *http.Response, body []byte)
	// Begin takes the headers of a stream. An error stops the attempt.
	Begin(response *http.Response) error
	// Event takes the next whole event of a stream. An error stops the attempt.
	Event(event forward.Event) error
}

// Forward runs one attempt of a forwarded call.
func (c *Client) Forward(ctx context.Context, address string, protocol forward.Protocol, call ForwardCall, timeouts Timeouts, gate Gate, to Receiver) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	response, closeConn, err := c.send(forwardRequest(ctx, address, call), timeouts, gate)
	if err != nil {
		return failure(ctx, err)
	}
	defer closeConn()
	defer func() { _ = response.Body.Close() }()
	answer := protocol.DecodeResponse(call.ID, response)
	if answer.NotRun {
		return forwardRefused(response, answer)
	}
	if !answer.MatchesAttempt || !answer.Sealed {
		return Result{Outcome: control.Lost, Cause: code.New(code.AnswerMismatched, "the response belongs to another request")}
	}
	reader, stop := newGapReader(response.Body, timeouts.Gap, cancel)
	defer stop()
	if isStream(response) {
		return finish(ctx, Result{Weights: answer.Weights}, receiveStream(reader, response, to))
	}
	body, err := readWhole(reader)
	if err == nil {
		to.Whole(response, body)
	}
	result := finish(ctx, Result{Weights: answer.Weights}, err)
	result.Faulty = response.StatusCode >= http.StatusInternalServerError
	return result
}

func forwardRequest(ctx context.Context, address string, call ForwardCall) *http.Request {
	request := &http.Request{
		Method:        call.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Opaque: call.Target},
		Host:          call.Host,
		Header:        call.Header,
		ContentLength: int64(len(call.Body)),
	}
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	if _, set := call.Header["User-Agent"]; !set {
		// An empty value keeps net/http from adding its own.
		call.Header.Set("User-Agent", "")
	}
	return request.WithContext(ctx)
}

func forwardRefused(response *http.Response, answer forward.ResponseInfo) Result {
	return Result{
		Outcome:     control.Rejected,
		Cause:       code.Newf(code.BackendRefused, "the backend server refused the call with status %d before running it", response.StatusCode),
		OtherServer: answer.OtherServer,
		Weights:     answer.Weights,
	}
}

func isStream(response *http.Response) bool {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && media == typeEvents && response.StatusCode == http.StatusOK
}

func readWhole(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxForwardBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxForwardBytes {
		return nil, code.Newf(code.AnswerTooLarge, "the response is larger than %d bytes", maxForwardBytes)
	}
	return data, nil
}

// receiveStream passes on whole events until the stream is complete.
func receiveStream(body io.Reader, response *http.Response, to Receiver) error {
	if err := to.Begin(response); err != nil {
		return &errStopped{cause: err}
	}
	events := forward.NewEventReader(body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := to.Event(event); err != nil {
			return &errStopped{cause: err}
		}
	}
}
