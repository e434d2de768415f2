package wire

import (
	"encoding/json"
	"io"
	"net/http"

	"tanagerspread/core/code"
)

// Error is the body of an error response.
type Error struct {
	Code   code.Code `json:"code"`
	Detail string    `json:"detail"`
}

// Reply writes a successful response with value as JSON.
func Reply(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ReplyError(w, code.Wrap(code.Internal, "the response cannot be encoded", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// ReplyOrError writes the error if there is one, otherwise the value.
func ReplyOrError(w http.ResponseWriter, value any, err *code.Error) {
	if err != nil {
		ReplyError(w, err)
		return
	}
	Reply(w, value)
}

// ReplyError writes an error response with the HTTP status of its code.
func ReplyError(w http.ResponseWriter, err *code.Error) {
	data, _ := json.Marshal(Error{Code: err.Code, Detail: err.Detail})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(err.Info().HTTPStatus)
	_, _ = w.Write(data)
}

// Decode decodes the JSON body of a request into value. When the body is
// malformed or larger than MaxMessageBytes, it writes an error response and
// returns false.
func Decode(w http.ResponseWriter, r *http.Request, value any) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxMessageBytes+1))
	if err != nil || len(data) > MaxMessageBytes {
		ReplyError(w, code.New(code.BodyTooLarge, "the message is larger than the limit or broke off"))
		return false
	}
	if err := json.Unmarshal(data, value); err != nil {
		ReplyError(w, code.Wrap(code.MalformedBody, "the message is malformed", err))
		return false
	}
	return true
}
