package egress

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/core/control"
)

// rawServer is a server that writes the same bytes after each request.
type rawServer struct {
	response string
	// dials is the number of connections that were opened.
	dials int
}

func (s *rawServer) client() *Client {
	return NewClient(func(context.Context, string, string) (net.Conn, error) {
		s.dials++
		near, far := net.Pipe()
		go func() {
			buffer := make([]byte, 4096)
			for {
				if _, err := far.Read(buffer); err != nil {
					return
				}
				if _, err := far.Write([]byte(s.response)); err != nil {
					return
				}
			}
		}()
		return near, nil
	})
}

var (
	testTimeouts = Timeouts{Dial: time.Minute, Header: time.Minute, Gap: time.Minute}
	maySend      = func(context.Context) error { return nil }
)

// TestRefusalNeedsID guards against the refusal of another request, which a server in
// trouble sends again, that counts as a proof that this request has not run.
func TestRefusalNeedsID(t *testing.T) {
	const (
		status  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
		notRun  = engine.HeaderExecution + ": " + engine.ExecutionNotRun + "\r\n"
		idField = engine.HeaderRequestID + ": "
	)
	for name, c := range map[string]struct {
		response string
		want     control.Outcome
	}{
		"own id":     {status + notRun + idField + "a\r\n\r\n", control.Rejected},
		"other id":   {status + notRun + idField + "b\r\n\r\n", control.Lost},
		"no id":      {status + notRun + "\r\n", control.Lost},
		"two ids":    {status + notRun + idField + "a\r\n" + idField + "b\r\n\r\n", control.Lost},
		"not a fail": {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + notRun + idField + "b\r\n\r\n", control.Lost},
	} {
		server := &rawServer{response: c.response}
		if got := server.client().Complete(t.Context(), "s:1", engine.CompletionRequest{RequestID: "a"}, testTimeouts, maySend, nil); got.Outcome != c.want {
			t.Errorf("%s, completion: got %+v, want outcome %v", name, got, c.want)
		}
		call := ServiceCall{Method: http.MethodPost, Path: "/x", RequestID: "a"}
		if _, got := server.client().CallService(t.Context(), "s:1", call, testTimeouts, maySend); got.Outcome != c.want {
			t.Errorf("%s, service: got %+v, want outcome %v", name, got, c.want)
		}
	}
}

// TestEarlierRefusalOnConnection guards against attempts that share a connection: a
// server in trouble may send the refusal of an earlier attempt once more, which has the
// same id when the request goes to the same server again.
func TestEarlierRefusalOnConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" +
		engine.HeaderExecution + ": " + engine.ExecutionNotRun + "\r\n" + engine.HeaderRequestID + ": a\r\n\r\n"
	server := &rawServer{response: refusal + refusal}
	client := server.client()
	for attempt := 1; attempt <= 3; attempt++ {
		client.Complete(t.Context(), "s:1", engine.CompletionRequest{RequestID: "a"}, testTimeouts, maySend, nil)
		if server.dials != attempt {
			t.Errorf("%d connections after %d attempts, want one for each", server.dials, attempt)
		}
	}
}
