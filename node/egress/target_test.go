package egress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"tanagerspread/core/control"
	"tanagerspread/node/forward"
)

// origin matches the scheme and host of a target in absolute form.
var origin = regexp.MustCompile(`^[a-zA-Z][a-zA-Z0-9+.-]*:(//[^/?]*)?`)

// FuzzRequestTarget guards against a request line that the server receives with another
// method or target than the caller sent. The target of a caller in absolute form reaches
// the server without the scheme and host.
func FuzzRequestTarget(f *testing.F) {
	f.Fuzz(func(t *testing.T, method, target string) {
		caller := "Host: h\r\n\r\n"
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(method + " " + target + " HTTP/1.1\r\n" + caller)))
		if err != nil || r.RequestURI != target {
			t.Skip()
		}
		sent := forward.RequestTarget(r)
		if !strings.HasPrefix(sent, "/") && sent != "*" {
			t.Skip() // No route has such a path.
		}
		want := origin.ReplaceAllString(target, "")
		if want == "" || want[0] == '?' {
			want = "/" + want
		}
		if sent != want {
			t.Errorf("target %q is taken as %q, want %q", target, sent, want)
		}
		line := make(chan string, 1)
		client := NewClient(func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				received, _ := bufio.NewReader(far).ReadString('\n')
				line <- received
				_ = far.Close()
			}()
			return near, nil
		})
		attempt := ForwardAttempt{ID: "a", Method: r.Method, Target: sent, Host: "h", Header: http.Header{}}
		if result := client.Forward(t.Context(), "server:1", testProtocol{}, attempt, testTimeouts, maySend, &recorder{}); result.Outcome == control.DialFailed || !result.ConnectionBroken {
			t.Fatalf("the request was not sent: %+v", result)
		}
		if got, want := <-line, r.Method+" "+want+" HTTP/1.1\r\n"; got != want {
			t.Errorf("the server received %q, want %q", got, want)
		}
	})
}
