package ingress

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"tanagerspread/core/code"
)

const (
	// maxMessages is the largest number of messages of one chat.
	maxMessages = 1024
	// maxNameBytes bounds the name of a model, service or class. Names are stored
	// with recorded decisions, so unbounded names would exhaust memory.
	maxNameBytes = 128
	// defaultMaxTokens is used when the caller sets no limit.
	defaultMaxTokens = 256
	// maxTokensLimit is the largest number of generated tokens of one request.
	maxTokensLimit = 32768
)

// completionParams are the decoded parameters of a completion or chat request.
type completionParams struct {
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	Chat      bool
}

// completionWire is the JSON form of the body. A completion request has a prompt,
// a chat request has messages.
type completionWire struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []messageWire `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type messageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// decodeCompletion decodes the body of a completion request, or of a chat
// request if chat is true. Unknown fields are ignored, as callers of this
// protocol expect.
func decodeCompletion(body []byte, chat bool) (completionParams, *code.Error) {
	var wire completionWire
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&wire); err != nil {
		return completionParams{}, code.Wrap(code.MalformedBody, "the body is not valid JSON of the expected form", err)
	}
	if decoder.More() {
		return completionParams{}, code.New(code.MalformedBody, "the body has data after its JSON value")
	}
	return newCompletionParams(wire, chat)
}

// newCompletionParams returns the parameters in the body of a completion request,
// or of a chat request if chat is true, or the error to refuse the request with.
func newCompletionParams(wire completionWire, chat bool) (completionParams, *code.Error) {
	params := completionParams{Model: wire.Model, Prompt: wire.Prompt, Stream: wire.Stream, Chat: chat, MaxTokens: defaultMaxTokens}
	if wire.Model == "" {
		return params, code.New(code.MalformedBody, "the body names no model")
	}
	if len(wire.Model) > maxNameBytes {
		return params, code.Newf(code.MalformedBody, "the model name is longer than %d bytes", maxNameBytes)
	}
	if len(wire.Messages) > maxMessages {
		return params, code.Newf(code.TooManyItems, "the body has more than %d messages", maxMessages)
	}
	if chat {
		params.Prompt = joinMessages(wire.Messages)
	}
	if params.Prompt == "" {
		return params, code.New(code.MalformedBody, "the body has no prompt")
	}
	if wire.MaxTokens != nil {
		params.MaxTokens = *wire.MaxTokens
	}
	if params.MaxTokens < 1 || params.MaxTokens > maxTokensLimit {
		return params, code.Newf(code.MalformedBody, "max_tokens is not between 1 and %d", maxTokensLimit)
	}
	return params, nil
}

// joinMessages returns the prompt of a chat. Appending messages to a chat leaves
// the prompt before them unchanged, so that cached blocks stay usable.
func joinMessages(messages []messageWire) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString("<|" + m.Role + "|>\n" + m.Content + "\n")
	}
	return b.String()
}

// readBody reads the body. It returns code.BodyTooLarge above limit bytes,
// code.SlowCaller when the read times out, and code.MalformedBody when it fails.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *code.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, nil
	}
	return nil, bodyError(err, limit)
}

// bodyError returns the coded error of a failed read of a body.
func bodyError(err error, limit int64) *code.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return code.Newf(code.BodyTooLarge, "the body is larger than %d bytes", limit)
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return code.Wrap(code.SlowCaller, "the caller did not send its request in time", err)
	}
	return code.Wrap(code.MalformedBody, "the body cannot be read", err)
}
