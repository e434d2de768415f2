package callerconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/node/callerconn"
	"tanagerspread/node/memory"
	"tanagerspread/standin/pipe"
)

const address = "callers"

// site is a server behind a Listener in virtual time.
type site struct {
	network  *pipe.Network
	listener *callerconn.Listener
	budget   *memory.Budget
	// release lets the calls to /wait finish.
	release chan struct{}
}

func runSite(t *testing.T, budgetBytes int64, maxConnections int, test func(*testing.T, *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{network: pipe.NewNetwork(), budget: memory.NewBudget(budgetBytes), release: make(chan struct{})}
		s.listener = callerconn.NewListener(s.network.Listen(address), callerconn.Options{Budget: s.budget, MaxConnections: maxConnections})
		server := &http.Server{Handler: http.HandlerFunc(s.serve)}
		callerconn.Attach(server)
		ctx, cancel := context.WithCancel(t.Context())
		go s.listener.Run(ctx)
		go func() { _ = server.Serve(s.listener) }()
		test(t, s)
		cancel()
		_ = server.Close()
		synctest.Wait()
		if used := s.budget.Used(); used != 0 || s.listener.Count() != 0 {
			t.Errorf("%d bytes and %d connections are left", used, s.listener.Count())
		}
	})
}

func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	conn := callerconn.FromContext(r.Context())
	if !conn.AdmitHead(r.Header) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn.BeginBody()
	_, err := io.Copy(io.Discard, r.Body)
	if err == nil && !conn.EndBody() {
		return
	}
	if err == nil && r.URL.Path == "/wait" {
		<-s.release
	}
}

// client sends bytes on a new connection and returns a function that waits for the status
// of the response, which is empty when the connection was closed without one.
func (s *site) client(t *testing.T, text string) (net.Conn, func() string) {
	t.Helper()
	conn, err := s.network.Dial(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(conn, text) }()
	synctest.Wait()
	return conn, func() string {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return ""
		}
		return response.Status
	}
}

func head(path string, lines int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: h\r\n", path)
	for i := range lines {
		fmt.Fprintf(&b, "%d:\r\n", i)
	}
	return b.String()
}

// TestHeadsCounted guards against heads that take more memory than the node has, against
// one that is refused in calm although it is within the limits, and against memory that
// still counts after the request.
func TestHeadsCounted(t *testing.T) {
	runSite(t, 4<<20, 100, func(t *testing.T, s *site) {
		conn, status := s.client(t, head("/", 3000)+"\r\n")
		if got := status(); got != "200 OK" {
			t.Errorf("a head within the limits got %q", got)
		}
		synctest.Wait()
		if used := s.budget.Used(); used > 64<<10 {
			t.Errorf("%d bytes count after the request", used)
		}
		_ = conn.Close()
		if _, status := s.client(t, head("/", 0)+"Long: "+strings.Repeat("x", 40<<10)); status() != "431 Request Header Fields Too Large" {
			t.Error("a head over the limit is accepted")
		}
		const clients = 5
		refused := make(chan bool, clients)
		for range clients {
			_, status := s.client(t, head("/wait", 3000)+"\r\n")
			if s.budget.Used() > 4<<20 {
				t.Errorf("%d bytes are reserved", s.budget.Used())
			}
			go func() { refused <- status() == "503 Service Unavailable" }()
			synctest.Wait()
		}
		if len(refused) != 3 || !<-refused {
			t.Errorf("%d requests are finished, want three refusals", len(refused))
		}
		close(s.release)
		synctest.Wait()
	})
}

// TestBodyIsNoHead guards against the lines of a body that arrive together with the head
// and count as lines of a header.
func TestBodyIsNoHead(t *testing.T) {
	runSite(t, 4<<20, 100, func(t *testing.T, s *site) {
		_, status := s.client(t, "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n"+strings.Repeat("\n", 3000))
		synctest.Wait()
		if used := s.budget.Used(); used > 64<<10 {
			t.Errorf("%d bytes are reserved for three header lines", used)
		}
		close(s.release)
		if got := status(); got != "200 OK" {
			t.Errorf("got %q", got)
		}
	})
}

// TestPipelinedHeadCounted guards against heads that were read together with an earlier
// request and never counted.
func TestPipelinedHeadCounted(t *testing.T) {
	runSite(t, 4<<20, 100, func(t *testing.T, s *site) {
		const lines, lineBytes = 500, 400
		_, status := s.client(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+head("/wait", lines)+"\r\n")
		if got := status(); got != "200 OK" {
			t.Errorf("the first request got %q", got)
		}
		synctest.Wait()
		if used := s.budget.Used(); used < lines*lineBytes {
			t.Errorf("%d bytes are reserved for a head of %d lines", used, lines)
		}
		close(s.release)
		synctest.Wait()
	})
}

// TestEmptyLineEndsNoHead guards against a head that is neither counted nor bounded because
// it follows an empty line, which net/http skips after a POST, or because the carriage
// return of its first line was read together with an earlier request.
func TestEmptyLineEndsNoHead(t *testing.T) {
	long := "Long: " + strings.Repeat("x", 40<<10) + "\r\n\r\n"
	for name, parts := range map[string][2]string{
		"empty line after a POST": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "\r\n" + head("/wait", 0) + long},
		"divided line end":        {"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /wait HTTP/1.1\r", "\nHost: h\r\n" + long},
	} {
		runSite(t, 4<<20, 100, func(t *testing.T, s *site) {
			conn, _ := s.client(t, parts[0])
			go func() { _, _ = io.WriteString(conn, parts[1]) }()
			reader := bufio.NewReader(conn)
			for _, want := range []string{"200 OK", "431 Request Header Fields Too Large"} {
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				response, err := http.ReadResponse(reader, nil)
				if err != nil || response.Status != want {
					t.Errorf("%s: response %+v, error %v, want %q", name, response, err, want)
					break
				}
			}
			close(s.release)
		})
	}
}

// TestConnectionsBounded guards against more connections than the node may have, against
// clients that lock out others with connections that send nothing, and against a call in
// progress that ends for a new connection.
func TestConnectionsBounded(t *testing.T) {
	runSite(t, 4<<20, 3, func(t *testing.T, s *site) {
		_, waiting := s.client(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		for range 10 {
			s.client(t, "")
			time.Sleep(time.Millisecond)
		}
		if count := s.listener.Count(); count != 3 {
			t.Errorf("%d connections, want 3", count)
		}
		if _, status := s.client(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status() != "200 OK" {
			t.Error("a new caller gets no response")
		}
		close(s.release)
		if got := waiting(); got != "200 OK" {
			t.Errorf("the call in progress got %q", got)
		}
	})
}

// TestStalledBodyClosed guards against a body that stops before its end and keeps its
// connection while connections are scarce, and against a calm node that closes it.
func TestStalledBodyClosed(t *testing.T) {
	for clients, want := range map[int]int{1: 1, 3: 0} {
		runSite(t, 4<<20, 4, func(t *testing.T, s *site) {
			for range clients {
				s.client(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n12345678")
			}
			time.Sleep(8 * time.Second)
			synctest.Wait()
			if got := s.listener.Count(); got != want {
				t.Errorf("%d stalled bodies: %d connections are open, want %d", clients, got, want)
			}
		})
	}
}
