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
	headerTag    = "ETag"
	headerIfNone = "If-None-Match"
)

// Copy is the value of a path as it was read last, with its entity tag.
type Copy[T any] struct {
	Value T
	tag   string
}

// Refresh reads a path within the timeout of the client. It returns last
// itself when the service confirms that the value has not changed. A service
// without entity tags sends the value each time. The errors are those of Call.
func Refresh[T any](ctx context.Context, c *Client, path string, last *Copy[T]) (*Copy[T], *code.Error) {
	header := http.Header{}
	if last != nil && last.tag != "" {
		header.Set(headerIfNone, last.tag)
	}
	response, err := c.Send(ctx, c.options.Timeout, Message{Method: http.MethodGet, Path: path, Header: header})
	if err != nil {
		return nil, err
	}
	if response.NotModified && last != nil {
		return last, nil
	}
	fresh := &Copy[T]{tag: response.Header.Get(headerTag)}
	if err := json.Unmarshal(response.Body, &fresh.Value); err != nil {
		return nil, code.Wrap(c.options.Away, "the response is malformed", err)
	}
	return fresh, nil
}

// ReplyTagged writes a successful response with an entity tag, or only a
// confirmation when the caller has the value already.
func ReplyTagged(w http.ResponseWriter, r *http.Request, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		Refuse(w, code.Wrap(code.Internal, "the response cannot be encoded", err))
		return
	}
	sum := sha256.Sum256(data)
	tag := `"` + hex.EncodeToString(sum[:]) + `"`
	w.Header().Set(headerTag, tag)
	if r.Header.Get(headerIfNone) == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	write(w, r, data)
}
