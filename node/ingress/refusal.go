package ingress

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/request"
)

// The response headers of the code, the execution class and the request id.
const (
	headerCode      = "Tanagerspread-Code"
	headerExecution = "Tanagerspread-Execution"
	headerRequestID = "Tanagerspread-Request-Id"
)

// errorResponse is the JSON body of an error response and of an error event.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code         int    `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	Retry        string `json:"retry"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	Execution    string `json:"execution"`
	RequestID    string `json:"request_id"`
}

func newErrorResponse(id request.ID, err *code.Error, retryAfter time.Duration) errorResponse {
	info := err.Info()
	return errorResponse{Error: errorBody{
		Code:         int(err.Code),
		Name:         info.Name,
		Message:      err.Detail,
		Retry:        string(info.Retry),
		RetryAfterMS: retryAfter.Milliseconds(),
		Execution:    string(info.Execution),
		RequestID:    string(id),
	}}
}

// writeErrorResponse writes an error response. No part of a response may have
// been written before.
func writeErrorResponse(w http.ResponseWriter, id request.ID, err *code.Error, retryAfter time.Duration) {
	info := err.Info()
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerCode, strconv.Itoa(int(err.Code)))
	header.Set(headerExecution, string(info.Execution))
	header.Set(headerRequestID, string(id))
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	setWriteDeadline(w)
	w.WriteHeader(info.HTTPStatus)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(newErrorResponse(id, err, retryAfter))
}
