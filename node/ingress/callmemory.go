package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/node/callerconn"
	"tanagerspread/node/memory"
)

const (
	// callBytes is the memory of a call beside its header and body: the connection to
	// its server with two goroutines and the buffers of net/http.
	callBytes = 24 << 10
	// pendingRetryAfter is the advised delay before a repeat of a call that was
	// refused because the calls in progress take too much memory.
	pendingRetryAfter = 200 * time.Millisecond
)

// readCountedBody reads the body of a call. It reserves the memory of the call in the
// account, of the body as it arrives, and of the header in that of the connection. A body
// that is refused counts no longer; it is read and discarded, because a connection that
// closes with unread bytes may be reset before the caller has read the refusal.
func (f *Frontend) readCountedBody(w http.ResponseWriter, r *http.Request, account *memory.Account) ([]byte, *code.Error) {
	conn := callerconn.FromContext(r.Context())
	conn.BeginBody()
	limit := f.maxBodyBytes.Load()
	limited := http.MaxBytesReader(w, r.Body, limit)
	err := memory.ErrNoMemory
	if conn.AdmitHead(r.Header) && account.Grow(callBytes) {
		var body []byte
		if body, err = memory.ReadAll(limited, account, r.ContentLength, limit); err == nil {
			conn.EndBody()
			return body, nil
		}
	}
	if !errors.Is(err, memory.ErrNoMemory) {
		return nil, bodyError(err, limit)
	}
	account.Release()
	// The call is refused in any case; a failed read means that the caller has
	// disconnected or sends more than the limit.
	_, _ = io.Copy(io.Discard, limited)
	return nil, code.New(code.Overloaded, "the calls in progress take too much memory")
}
