package wire

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"tanagerspread/core/code"
)

// The headers of a conditional read.
const (
	headerETag        = "ETag"
	headerIfNoneMatch = "If-None-Match"
)

// CachedValue is the last value that was read from a path, with its entity tag.
type CachedValue[T any] struct {
	Value T
	etag  string
}

// Refresh reads a path with a conditional request within Options.Timeout. It
// returns last itself when the service responds that the value has not changed. A
// service without entity tags sends the value each time. The errors are those of
// Call.
func Refresh[T any](ctx context.Context, c *Client, path string, last *CachedValue[T]) (*CachedValue[T], *code.Error) {
	header := http.Header{}
	if last != nil && last.etag != "" {
		header.Set(headerIfNoneMatch, last.etag)
	}
	response, err := c.Send(ctx, c.options.Timeout, Message{Method: http.MethodGet, Path: path, Header: header})
	if err != nil {
		return nil, err
	}
	if response.NotModified && last != nil {
		return last, nil
	}
	fresh := &CachedValue[T]{etag: response.Header.Get(headerETag)}
	if err := json.Unmarshal(response.Body, &fresh.Value); err != nil {
		return nil, code.Wrap(c.options.UnreachableCode, "the response is malformed", err)
	}
	return fresh, nil
}

// ReplyWithETag writes a successful response with an entity tag, or status 304
// without a body when the caller already has the value.
func ReplyWithETag(w http.ResponseWriter, r *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ReplyError(w, code.Wrap(code.Internal, "the response cannot be encoded", err))
		return
	}
	sum := sha256.Sum256(data)
	tag := `"` + hex.EncodeToString(sum[:]) + `"`
	w.Header().Set(headerETag, tag)
	if r.Header.Get(headerIfNoneMatch) == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, r, data)
}
