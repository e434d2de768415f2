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
