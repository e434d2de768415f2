package egress

import (
	"fmt"
	"net/http"
	"testing"

	"tanagerspread/core/control"
)

// TestStatusOutOfRange guards against a status that reaches the caller, or ends the
// handler, although no response of HTTP can have it.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "199", "600", "999", "99", "1", "0", "-01", "+20", "0x2", "2000", ""} {
		for _, kind := range []string{"", "Content-Type: text/event-stream\r\n"} {
			head := fmt.Sprintf("HTTP/1.1 %s X\r\nId: a\r\nSeal: s\r\n%sContent-Length: 9\r\n\r\ndata: x\n\n", status, kind)
			result, received, _ := forwardTo(t, head, "")
			if received.complete || received.started || result.Outcome != control.Lost {
				t.Errorf("status %q: complete %t, stream %t, result %+v", status, received.complete, received.started, result)
			}
			server := &rawServer{response: head}
			call := ServiceCall{Method: http.MethodGet, Path: "/x", RequestID: "a", EchoOptional: true}
			if _, result := server.client().CallService(t.Context(), "s:1", call, testTimeouts, maySend); result.Outcome != control.Lost {
				t.Errorf("status %q, service: %+v", status, result)
			}
		}
	}
}
