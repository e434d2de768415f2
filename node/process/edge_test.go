package process_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
)

// TestOptionsAsteriskRefused guards against a 200 that no server sealed: net/http responds to
// "OPTIONS *" by itself unless it is told not to.
func TestOptionsAsteriskRefused(t *testing.T) {
	runAtSite(t, func(s *deployedSite) {
		s.startServer("i-1", 0)
		s.writeConfiguration(testKey)
		n := s.startNode("n1")
		waitForSync()
		for headers, want := range map[string]int{"": http.StatusBadRequest, "Request-Attempt-Id: a\r\n": http.StatusNotFound} {
			conn, err := s.network.Dial(s.t.Context(), "tcp", n.address)
			if err != nil {
				s.t.Fatal(err)
			}
			_, _ = fmt.Fprintf(conn, "OPTIONS * HTTP/1.1\r\nHost: %s\r\n%s\r\n", testHost, headers)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				s.t.Fatal(err)
			}
			if response.StatusCode != want {
				s.t.Errorf("headers %q: got status %d, want %d", headers, response.StatusCode, want)
			}
			_ = conn.Close()
		}
	})
}
