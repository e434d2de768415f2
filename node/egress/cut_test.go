package egress

import (
	"strings"
	"testing"

	"tanagerspread/core/control"
)

// TestCutResponseNotWhole guards against a response that looks whole although its server
// stopped inside its head or body and closed the connection, in any framing.
func TestCutResponseNotWhole(t *testing.T) {
	const (
		plain  = sealedHead + "Content-Type: text/plain\r\n"
		stream = sealedHead + "Content-Type: text/event-stream\r\n"
		events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	)
	chunked := func(parts ...string) string {
		encoded := "Transfer-Encoding: chunked\r\n\r\n"
		for _, part := range parts {
			encoded += string("0123456789abcdef"[len(part)]) + "\r\n" + part + "\r\n"
		}
		return encoded + "0\r\n"
	}
	for name, c := range map[string]struct {
		response string
		// unframed is true when the response ends with its connection, so that an end after
		// the head may be its end: of a plain body anywhere, of a stream after an event.
		unframed bool
	}{
		"length":                     {response: plain + "Content-Length: 5\r\n\r\nwhole"},
		"chunks":                     {response: plain + chunked("who", "le") + "\r\n"},
		"trailer":                    {response: plain + chunked("who", "le") + "X: y\r\n\r\n"},
		"after an informational one": {response: "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + plain + "Content-Length: 5\r\n\r\nwhole"},
		"HTTP/1.0":                   {response: strings.Replace(plain, "1.1", "1.0", 1) + "Content-Length: 5\r\n\r\nwhole"},
		"stream with a length":       {response: stream + "Content-Length: 30\r\n\r\n" + events},
		"stream in chunks":           {response: stream + chunked(events[:15], events[15:]) + "\r\n"},
		"plain, unframed":            {response: plain + "\r\nwhole", unframed: true},
		"stream, unframed":           {response: stream + "\r\n" + events, unframed: true},
	} {
		whole, received, _ := forwardTo(t, c.response, "")
		if whole.Outcome != control.Succeeded || !received.complete && received.events != 2 {
			t.Errorf("%s: the whole response: %+v, %d events", name, whole, received.events)
		}
		headEnd := strings.LastIndex(c.response, "\r\n\r\n") + len("\r\n\r\n")
		if strings.Contains(c.response, "chunked") {
			headEnd = strings.Index(c.response, "chunked\r\n\r\n") + len("chunked\r\n\r\n")
		}
		for cut := range len(c.response) {
			result, received, _ := forwardTo(t, c.response[:cut], "")
			body := ""
			if cut >= headEnd {
				body = c.response[headEnd:cut]
			}
			mayBeWhole := c.unframed && cut >= headEnd && (!strings.HasPrefix(c.response, stream) || body != "" && strings.HasSuffix(body, "\n\n"))
			if (received.complete || result.Outcome == control.Succeeded) && !mayBeWhole {
				t.Errorf("%s: cut after %d bytes: delivered %t, result %+v", name, cut, received.complete, result)
			}
			if result.Outcome == control.Rejected || cut > 0 && result.Outcome != control.Succeeded && !result.ConnectionBroken {
				t.Errorf("%s: cut after %d bytes: %+v, want a broken connection", name, cut, result)
			}
		}
	}
}
