package wire

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"tanagerspread/core/code"
)

// TestBytesWithoutEnd guards against a service in trouble whose response never ends and
// fills the memory of the caller.
func TestBytesWithoutEnd(t *testing.T) {
	cases := []struct {
		name, first, endless string
		most                 int
	}{
		{"status line", "HTTP/1.1 200 ", "O", 2 * maxHeaderBytes},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n", 2 * maxHeaderBytes},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", " ", 2 * MaxMessageBytes},
	}
	for _, c := range cases {
		accepted := make(chan int, 1)
		client := NewClient(Options{Address: "service:1", Timeout: time.Minute, UnreachableCode: code.KeyValueAway, Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				_, _ = far.Read(make([]byte, 4096))
				total, err := far.Write([]byte(c.first))
				for chunk := []byte(strings.Repeat(c.endless, 4096/len(c.endless))); err == nil; {
					var n int
					n, err = far.Write(chunk)
					total += n
				}
				accepted <- total
			}()
			return near, nil
		}})
		err := client.Call(t.Context(), http.MethodGet, "/x", nil, nil)
		if err == nil || err.Code != code.KeyValueAway {
			t.Errorf("%s: got error %v", c.name, err)
		}
		client.Close()
		if got := <-accepted; got > c.most {
			t.Errorf("%s: %d bytes were accepted, want at most %d", c.name, got, c.most)
		}
	}
}

// TestCutResponseIsError guards against a response that counts as whole although its
// service stopped inside its head or body and closed the connection.
func TestCutResponseIsError(t *testing.T) {
	const body = `{"revision":7}`
	for name, response := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n" + body,
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n" + body[:7] + "\r\n7\r\n" + body[7:] + "\r\n0\r\n\r\n",
		"unframed": "HTTP/1.1 200 OK\r\n\r\n" + body,
		"HTTP/1.0": "HTTP/1.0 200 OK\r\nContent-Length: 14\r\n\r\n" + body,
	} {
		for cut := range len(response) + 1 {
			client := NewClient(Options{Address: "service:1", Timeout: time.Minute, UnreachableCode: code.KeyValueAway, Dial: func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					_, _ = far.Read(make([]byte, 4096))
					_, _ = far.Write([]byte(response[:cut]))
					_ = far.Close()
				}()
				return near, nil
			}})
			var reply struct{ Revision int }
			err := client.Call(t.Context(), http.MethodGet, "/x", nil, &reply)
			client.Close()
			whole := cut == len(response)
			if (err == nil) != whole || whole && reply.Revision != 7 {
				t.Errorf("%s: cut after %d bytes of %d: error %v, revision %d", name, cut, len(response), err, reply.Revision)
			}
		}
	}
}
