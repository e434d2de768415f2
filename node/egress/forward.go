package egress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"net/url"

	"tanagerspread/core/callerconn"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
	"tanagerspread/node/forward"
	"tanagerspread/node/memory"
	"tanagerspread/node/sockopt"
)

// maxForwardResponseBytes bounds the body of a response that is not a
// stream.
const maxForwardResponseBytes = 8 << 20

// mediaTypeEventStream is the media type of server-sent events.
const mediaTypeEventStream = "text/event-stream"

// ForwardAttempt is one attempt of a forwarded call.
type ForwardAttempt struct {
	// ID is the id of the call, which the response must repeat.
	ID     request.ID
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the headers to send; the attempt owns the map.
	Header http.Header
	Body   []byte
	// Account holds the memory of the response until the caller has received it.
	Account *memory.Account
	// Unread holds the receive buffer of the connection, a small one at first.
	Unread *memory.Account
	// Resumes is true when the caller has received the beginning of a stream, which
	// only a stream can continue.
	Resumes bool
}

// Receiver receives the response of a forwarded call.
type Receiver interface {
	// Notice receives what the server says about itself in the headers of a response.
	Notice(notice control.Notice)
	// CompleteResponse receives a response with its complete body.
	CompleteResponse(response *http.Response, body []byte)
	// StartStream receives the headers of a stream. An error stops the attempt.
	StartStream(response *http.Response) error
	// Event receives the next complete event of a stream. An error stops the
	// attempt.
	Event(event forward.Event) error
}

// Forward runs one attempt of a forwarded call. It may add headers to
// attempt.Header.
func (c *Client) Forward(ctx context.Context, address string, protocol forward.Protocol, attempt ForwardAttempt, timeouts Timeouts, checkSend SendCheck, receiver Receiver) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	response, conn, err := c.send(newForwardRequest(ctx, address, attempt), timeouts, checkSend)
	if err != nil {
		return failedResult(ctx, err)
	}
	defer conn.close()
	defer func() { _ = response.Body.Close() }()
	if !validStatus(response) {
		return invalidStatusResult(response)
	}
	info := protocol.DecodeResponse(attempt.ID, response)
	if notice, ok := info.Notice(); ok {
		receiver.Notice(notice)
	}
	switch info.Meaning() {
	case forward.ProvesNotRun:
		return refusedResult(response, info)
	case forward.UnprovenRefusal:
		cause := code.Newf(code.BackendLost, "the backend server responded with status %d without stating that the call did not run", response.StatusCode)
		return Result{Outcome: control.Lost, Cause: cause, Weights: info.Weights, ServerError: true}
	case forward.ProvesNothing:
		return Result{Outcome: control.Lost, Cause: code.New(code.AnswerMismatched, "the response belongs to another request")}
	}
	reader, stop := newGapReader(response.Body, timeouts.Gap, cancel)
	defer stop()
	if isStream(response) {
		return bodyResult(ctx, Result{Weights: info.Weights, Answered: true}, receiveStream(reader, response, attempt.Account, receiver))
	}
	if attempt.Resumes {
		return Result{Outcome: control.Lost, Cause: code.Newf(code.BackendLost, "the backend server responded with status %d to a resumed stream", response.StatusCode)}
	}
	if !isSmall(response) {
		unread := attempt.Unread.Held()
		sockopt.Enlarge(conn.socket, attempt.Unread)
		defer func() { attempt.Unread.Shrink(attempt.Unread.Held() - unread) }()
	}
	body, err := readBody(reader, attempt.Account, response.ContentLength)
	if err == nil {
		receiver.CompleteResponse(response, body)
	}
	result := bodyResult(ctx, Result{Weights: info.Weights}, err)
	result.ServerError = response.StatusCode >= http.StatusInternalServerError
	result.Answered = response.StatusCode/100 == http.StatusOK/100
	return result
}

// newForwardRequest returns the HTTP request of an attempt. It uses the header map
// of the attempt as it is, without a copy.
func newForwardRequest(ctx context.Context, address string, attempt ForwardAttempt) *http.Request {
	request := &http.Request{
		Method: attempt.Method,
		// net/http sends Opaque as the request target without decoding and
		// encoding it again; newTargetConn removes the scheme that it adds to some.
		URL:           &url.URL{Scheme: "http", Host: address, Opaque: attempt.Target},
		Host:          attempt.Host,
		Header:        attempt.Header,
		ContentLength: int64(len(attempt.Body)),
	}
	if len(attempt.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(attempt.Body))
	}
	if _, set := attempt.Header["User-Agent"]; !set {
		// An empty value keeps net/http from adding its own.
		attempt.Header.Set("User-Agent", "")
	}
	return request.WithContext(ctx)
}

// validStatus reports whether the status is one that a final response may have. net/http
// takes any number of three characters for a status, and 101 for a final one.
func validStatus(response *http.Response) bool {
	return response.StatusCode >= http.StatusOK && response.StatusCode < 600
}

func invalidStatusResult(response *http.Response) Result {
	cause := code.Newf(code.BackendLost, "the backend server responded with the invalid status %d", response.StatusCode)
	return Result{Outcome: control.Lost, Cause: cause, ServerError: true}
}

func refusedResult(response *http.Response, info forward.ResponseInfo) Result {
	return Result{
		Outcome:     control.Rejected,
		Cause:       code.Newf(code.BackendRefused, "the backend server refused the call with status %d before running it", response.StatusCode),
		OtherServer: info.OtherServer,
		Weights:     info.Weights,
	}
}

func isStream(response *http.Response) bool {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && media == mediaTypeEventStream && response.StatusCode == http.StatusOK
}

// isSmall reports whether the body of a response fits into a small receive buffer.
func isSmall(response *http.Response) bool {
	return response.ContentLength >= 0 && response.ContentLength <= callerconn.SmallBuffer
}

// readBody reads a complete response and reserves its memory in the account, which keeps it
// until the response was written to the caller. It returns code.AnswerTooLarge for a
// response of more than maxForwardResponseBytes. For one that does not fit into the memory
// of the node it returns a stoppedError with that code, because the server is not at fault.
func readBody(body io.Reader, account *memory.Account, length int64) ([]byte, error) {
	data, err := memory.ReadAll(body, account, length, maxForwardResponseBytes)
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return nil, code.Newf(code.AnswerTooLarge, "the response is larger than %d bytes", maxForwardResponseBytes)
	case errors.Is(err, memory.ErrNoMemory):
		return nil, errNoResponseMemory()
	}
	return data, err
}

// errNoResponseMemory returns the error that stops an attempt whose response does not fit
// into the memory of the node.
func errNoResponseMemory() error {
	return &stoppedError{cause: code.New(code.AnswerTooLarge, "the calls in progress take too much memory for the response")}
}

// receiveStream passes the headers and each complete event of a stream to the
// receiver until the stream ends. A stream that ends with its connection is whole when
// it ends after an event; without an event its server ended before it began.
func receiveStream(body io.Reader, response *http.Response, account *memory.Account, receiver Receiver) error {
	defer account.Release()
	if err := receiver.StartStream(response); err != nil {
		return &stoppedError{cause: err}
	}
	events := forward.NewEventReader(body, account)
	begun := isFramed(response, http.MethodGet)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && !begun {
			return code.Wrap(code.AnswerTruncated, "the connection ended before the first event", io.ErrUnexpectedEOF)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if errors.Is(err, memory.ErrNoMemory) {
			return errNoResponseMemory()
		}
		if err != nil {
			return err
		}
		begun = begun || !event.IsComment()
		if err := receiver.Event(event); err != nil {
			return &stoppedError{cause: err}
		}
	}
}
