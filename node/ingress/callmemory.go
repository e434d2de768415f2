package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	corecallerconn "tanagerspread/core/callerconn"
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

// callMemory holds the memory of one call.
type callMemory struct {
	// request holds the call and its body, response the response until the caller has
	// received it.
	request, response *memory.Account
	// unread holds the receive buffer of the connection to the server.
	unread *memory.Account
}

func (f *Frontend) newCallMemory() *callMemory {
	return &callMemory{
		request:  f.options.Budget.NewAccount(),
		response: f.options.Budget.NewResponseAccount(),
		unread:   f.options.Unread.NewAccount(),
	}
}

// admit reserves the memory of a call beside its head and body.
func (m *callMemory) admit() bool {
	return m.request.Grow(callBytes) && m.unread.Grow(corecallerconn.SmallUnread)
}

func (m *callMemory) release() {
	m.request.Release()
	m.response.Release()
	m.unread.Release()
}

// readCountedBody reads the body of a call. It reserves the memory of the call, of the body
// as it arrives, and of the header in the account of the connection. A body
// that is refused counts no longer; it is read and discarded, because a connection that
// closes with unread bytes may be reset before the caller has read the refusal.
func (f *Frontend) readCountedBody(w http.ResponseWriter, r *http.Request, account *callMemory) ([]byte, *code.Error) {
	conn := callerconn.FromContext(r.Context())
	conn.BeginBody()
	limit := f.maxBodyBytes.Load()
	limited := http.MaxBytesReader(w, r.Body, limit)
	err := memory.ErrNoMemory
	if conn.AdmitHead(r.Header) && account.admit() {
		if r.ContentLength < 0 || r.ContentLength > corecallerconn.SmallBuffer {
			conn.EnlargeBuffer()
		}
		var body []byte
		if body, err = memory.ReadAll(limited, account.request, r.ContentLength, limit); err == nil {
			if !conn.EndBody() {
				return nil, code.New(code.Overloaded, "the node closes the connection")
			}
			return body, nil
		}
	}
	if !errors.Is(err, memory.ErrNoMemory) {
		return nil, bodyError(err, limit)
	}
	account.release()
	// The call is refused in any case; a failed read means that the caller has
	// disconnected or sends more than the limit.
	_, _ = io.Copy(io.Discard, limited)
	return nil, code.New(code.Overloaded, "the calls in progress take too much memory")
}
