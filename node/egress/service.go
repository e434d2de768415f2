package egress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"tanagerspread/client/service"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
)

// maxServiceResponseBytes bounds the response body of a plain service.
const maxServiceResponseBytes = 4 << 20

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Method       string
	Path         string
	ContentType  string
	Body         []byte
	RequestID    string
	Organisation string
	// KeyDigest is the digest of the idempotency key, or empty. The key
	// itself is not sent, because net/http treats a request with an
	// Idempotency-Key header as one that it may retry.
	KeyDigest string
	// EchoOptional accepts a response without a request id.
	EchoOptional bool
	// TimeToDeadline is the time left until the caller's deadline.
	TimeToDeadline time.Duration
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// CallService calls a plain service and returns its complete response.
func (c *Client) CallService(ctx context.Context, address string, call ServiceCall, timeouts Timeouts, checkSend SendCheck) (ServiceResponse, Result) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := newServiceRequest(ctx, address, call)
	if err != nil {
		return ServiceResponse{}, Result{Outcome: control.DialFailed, Cause: code.Wrap(code.MalformedHeader, "the call cannot be encoded", err)}
	}
	response, conn, err := c.send(request, timeouts, checkSend)
	if err != nil {
		return ServiceResponse{}, failedResult(ctx, err)
	}
	defer conn.close()
	defer func() { _ = response.Body.Close() }()
	if !validStatus(response) {
		return ServiceResponse{}, invalidStatusResult(response)
	}
	result := headerResult(response.Header)
	if refusesRequest(response, call.RequestID) {
		return ServiceResponse{}, errorStatusResult(result, response, true)
	}
	reader, stop := newGapReader(response.Body, timeouts.Gap, cancel)
	defer stop()
	body, err := io.ReadAll(io.LimitReader(reader, maxServiceResponseBytes+1))
	if err == nil {
		err = verifyServiceResponse(response, call, body)
	}
	complete := ServiceResponse{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}
	return complete, bodyResult(ctx, result, err)
}

// isFramed reports whether a length or the chunked encoding marks the end of
// the response body. A body that ends when the connection closes cannot be
// distinguished from a truncated one.
func isFramed(response *http.Response, method string) bool {
	if method == http.MethodHead || response.ContentLength >= 0 {
		return true
	}
	return len(response.TransferEncoding) > 0
}

// verifyServiceResponse verifies that the response is complete and belongs to
// the call.
func verifyServiceResponse(response *http.Response, call ServiceCall, body []byte) error {
	if len(body) > maxServiceResponseBytes {
		return code.Newf(code.AnswerTooLarge, "the response is larger than %d bytes", maxServiceResponseBytes)
	}
	if !isFramed(response, call.Method) {
		return code.New(code.AnswerTruncated, "the response does not say where its body ends")
	}
	echoed := response.Header.Values(service.HeaderRequestID)
	matches := len(echoed) == 1 && echoed[0] == call.RequestID
	if !matches && (len(echoed) > 0 || !call.EchoOptional) {
		return code.New(code.AnswerMismatched, "the response belongs to another request")
	}
	return nil
}

func newServiceRequest(ctx context.Context, address string, call ServiceCall) (*http.Request, error) {
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
	header.Set(service.HeaderDeadline, strconv.FormatInt(call.TimeToDeadline.Milliseconds(), 10))
	if call.KeyDigest != "" {
		header.Set(service.HeaderKeyDigest, call.KeyDigest)
	}
	return request, nil
}
