package egress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/client/service"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
)

// maxServiceBytes bounds the response of a plain service.
const maxServiceBytes = 4 << 20

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Method       string
	Path         string
	ContentType  string
	Body         []byte
	RequestID    string
	Organisation string
	// KeyDigest is the digest of the idempotency key, or empty. The key
	// itself stays off the wire, because net/http treats a request with an
	// Idempotency-Key header as one that it may replay.
	KeyDigest string
	// EchoOptional accepts a response that does not name the request.
	EchoOptional bool
	// Deadline is the time left until the caller's deadline.
	Deadline time.Duration
}

// ServiceResponse is the whole response of a plain service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call runs one call of a plain service and reads its whole response.
func (c *Client) Call(ctx context.Context, address string, call ServiceCall, timeouts Timeouts, gate Gate) (ServiceResponse, Result) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := serviceRequest(ctx, address, call)
	if err != nil {
		return ServiceResponse{}, Result{Outcome: control.DialFailed, Cause: code.Wrap(code.MalformedHeader, "the call cannot be encoded", err)}
	}
	response, closeConn, err := c.send(request, timeouts, gate)
	if err != nil {
		return ServiceResponse{}, failure(ctx, err)
	}
	defer closeConn()
	defer func() { _ = response.Body.Close() }()
	result := loadOf(response.Header)
	if saysNotRun(response) {
		return ServiceResponse{}, rejected(result, response)
	}
	reader, stop := newGapReader(response.Body, timeouts.Gap, cancel)
	defer stop()
	body, err := io.ReadAll(io.LimitReader(reader, maxServiceBytes+1))
	if err == nil {
		err = checkService(response, call, body)
	}
	whole := ServiceResponse{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}
	return whole, finish(ctx, result, err)
}

// saysNotRun reports whether a plain service refused the call before running
// it.
func saysNotRun(response *http.Response) bool {
	return response.StatusCode >= http.StatusBadRequest &&
		response.Header.Get(engine.HeaderExecution) == engine.ExecutionNotRun
}

// endIsMarked reports whether the response says where its body ends. A body
// that ends with the connection cannot be told from a truncated one.
func endIsMarked(response *http.Response, method string) bool {
	if method == http.MethodHead || response.ContentLength >= 0 {
		return true
	}
	return len(response.TransferEncoding) > 0
}

// checkService verifies that the response is whole and belongs to the call.
func checkService(response *http.Response, call ServiceCall, body []byte) error {
	if len(body) > maxServiceBytes {
		return code.Newf(code.AnswerTooLarge, "the response is larger than %d bytes", maxServiceBytes)
	}
	if !endIsMarked(response, call.Method) {
		return code.New(code.AnswerTruncated, "the response does not say where its body ends")
	}
	echoed := response.Header.Get(service.HeaderRequestID)
	if echoed != call.RequestID && (echoed != "" || !call.EchoOptional) {
		return code.New(code.AnswerMismatched, "the response belongs to another request")
	}
	return nil
}

func serviceRequest(ctx context.Context, address string, call ServiceCall) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	header := request.Header
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
	header.Set(service.HeaderRequestID, call.RequestID)
	header.Set(service.HeaderOrganisation, call.Organisation)
	header.Set(service.HeaderDeadline, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	if call.KeyDigest != "" {
		header.Set(service.HeaderKeyDigest, call.KeyDigest)
	}
	return request, nil
}
