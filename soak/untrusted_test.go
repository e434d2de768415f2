package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// untrustedMemoryMB is the memory of the node in MiB, which is also the bound
	// on its resident set.
	untrustedMemoryMB = 64
	// untrustedDescriptors is the number of descriptors of the smallest node.
	untrustedDescriptors = 4100
	// clientPatience bounds each wait of an untrusted client, so that its loops end.
	clientPatience = 10 * time.Second
	// answerPatience bounds the attempts of the ordinary caller. It only ends a
	// test whose node hangs.
	answerPatience = 40 * time.Second
	// largePath is the path of calls with a response of largeResponseBytes.
	largePath          = "/lookup/large-"
	largeResponseBytes = 7 << 20
)

// untrustedClient sends bytes on a connection to a node and returns when it has
// nothing more to send. The connection stays open until the end of the test unless
// the node closes it.
type untrustedClient func(conn net.Conn, number int)

// crowd is a number of clients of the same kind.
type crowd struct {
	clients int
	client  untrustedClient
	// address is where they connect to, or empty for the port of callers.
	address string
}

// startUntrusted starts a site with one node that is ready for calls.
func startUntrusted(t *testing.T, descriptors int) *site {
	t.Helper()
	return startUntrustedSite(t, siteOptions{nodes: 1, memoryMB: untrustedMemoryMB, descriptors: descriptors, wrapServer: withLargeResponses})
}

// startUntrustedSite starts a site whose nodes are ready for calls.
func startUntrustedSite(t *testing.T, options siteOptions) *site {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes of the program")
	}
	s, err := startSite(buildProgram(t), t.TempDir(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	if err := s.retryUntil(startTimeout, s.checkServing); err != nil {
		t.Fatalf("start: %v\n%s", err, s.logTails())
	}
	return s
}

// withLargeResponses adds calls with large responses to a server.
func withLargeResponses(next http.Handler) http.Handler {
	body := bytes.Repeat([]byte("x"), largeResponseBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, largePath) {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Request-Attempt-Id", r.Header.Get("Request-Attempt-Id"))
		w.Header().Set("Server-Seal", "seal")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// The node may close the connection.
		_, _ = w.Write(body)
	})
}

// checkWithstands runs the crowds at the same time. It verifies that the node keeps
// running within its memory, which holds its resident set and the bytes that it has
// received and not read, and within its descriptors, and that it answers an ordinary call
// while the connections of the crowds are open and after they are closed.
func (s *site) checkWithstands(t *testing.T, crowds ...crowd) {
	t.Helper()
	defer s.checkFootprints(t)()
	conns := s.runCrowds(t, crowds)
	s.checkBounds(t, "while the clients are connected")
	s.checkAnswers(t, "while the clients are connected")
	for _, conn := range conns {
		_ = conn.Close()
	}
	s.checkAnswers(t, "after the clients have left")
	s.checkBounds(t, "after the clients have left")
}

// checkFootprints measures all nodes until the returned function is called, which verifies
// that each stayed within its memory and its descriptors at every measurement.
func (s *site) checkFootprints(t *testing.T) (check func()) {
	stop := s.watchFootprints()
	return func() {
		t.Helper()
		violations, peaks := stop()
		t.Log(strings.Join(peaks, "; "))
		for _, violation := range violations {
			t.Error(violation)
		}
	}
}

// runCrowds connects the clients of all crowds and returns when all have sent what
// they send.
func (s *site) runCrowds(t *testing.T, crowds []crowd) []net.Conn {
	t.Helper()
	var group sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	for _, c := range crowds {
		for i := range c.clients {
			group.Go(func() {
				address := cmp.Or(c.address, s.nodes[0].callerAddress)
				conn, err := net.DialTimeout("tcp", address, clientPatience)
				if err != nil {
					return
				}
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
				_ = conn.SetDeadline(time.Now().Add(clientPatience))
				c.client(conn, i)
			})
		}
	}
	group.Wait()
	return conns
}

// checkBounds verifies that the node runs, and its resident set and descriptors.
func (s *site) checkBounds(t *testing.T, when string) {
	t.Helper()
	pid := s.nodes[0].process.Pid
	peak, err := statusKB(pid, "VmHWM:")
	if err != nil {
		t.Fatalf("%s: the node has ended: %v\n%s", when, err, s.logTails())
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatalf("%s: descriptors: %v", when, err)
	}
	t.Logf("%s: peak resident set %d KiB, %d descriptors", when, peak, len(open))
	if limit := s.options.memoryMB << 10; peak > limit {
		t.Errorf("%s: peak resident set %d KiB, the memory of the node is %d KiB", when, peak, limit)
	}
	if len(open) > s.options.descriptors {
		t.Errorf("%s: %d open descriptors, the node may have %d", when, len(open), s.options.descriptors)
	}
}

// checkAnswers verifies that an ordinary call is answered. A refused call is
// repeated.
func (s *site) checkAnswers(t *testing.T, when string) {
	t.Helper()
	client := newClient()
	defer client.CloseIdleConnections()
	err := s.retryUntil(answerPatience, func() error {
		id := fmt.Sprintf("ordinary-%d", time.Now().UnixNano())
		if o := call(context.Background(), client, s.nodes[0], id, "/lookup/", validKey); o.status != http.StatusOK || !o.complete {
			return fmt.Errorf("got %s", o)
		}
		return nil
	})
	if err != nil {
		t.Errorf("%s: no ordinary call is answered: %v\n%s", when, err, s.logTails())
	}
}

// headOf returns the head of a call without its last empty line.
func headOf(kind string, number int, path string, lines ...string) string {
	id := fmt.Sprintf("%s-%d", kind, number)
	head := []string{
		"POST " + path + id + " HTTP/1.1", "Host: " + soakHost, "Request-Attempt-Id: " + id, "Api-Key: " + validKey, "Deadline-Ms: 60000",
	}
	return strings.Join(append(head, lines...), "\r\n") + "\r\n"
}

// awaitByte waits until the node sends a byte or closes the connection.
func awaitByte(conn net.Conn) {
	_, _ = conn.Read(make([]byte, 1))
}

// TestManyHeaderLines guards against heads of legal size that take many times their
// bytes once they are parsed. Each has as many short lines as fit into 16,000 bytes
// and belongs to a call whose body lacks its last byte.
func TestManyHeaderLines(t *testing.T) {
	s := startUntrusted(t, untrustedDescriptors)
	var lines strings.Builder
	for i := 0; lines.Len() < 15_600; i++ {
		fmt.Fprintf(&lines, "%s:\r\n", strconv.FormatInt(int64(i+36*36), 36))
	}
	s.checkWithstands(t, crowd{clients: 400, client: func(conn net.Conn, number int) {
		head := headOf("lines", number, "/lookup/", "Content-Length: 10", "Expect: 100-continue")
		if _, err := io.WriteString(conn, head+lines.String()+"\r\n"); err != nil {
			return
		}
		awaitByte(conn)
		_, _ = io.WriteString(conn, "123456789")
	}})
}

// TestEndlessHeads guards against memory and descriptors that grow with clients
// whose heads do not end or do not begin: header lines and one line without end,
// empty lines, and heads that stop before their end.
func TestEndlessHeads(t *testing.T) {
	const descriptors = 256
	s := startUntrusted(t, descriptors)
	repeat := func(prefix, text string) untrustedClient {
		block := strings.Repeat(text, (64<<10)/len(text))
		return func(conn net.Conn, number int) {
			_, err := io.WriteString(conn, prefix)
			for sent := 0; err == nil && sent < 1<<20; sent += len(block) {
				_, err = io.WriteString(conn, block)
			}
		}
	}
	s.checkWithstands(t,
		crowd{clients: 100, client: repeat(headOf("endless", 0, "/lookup/"), "a:\r\n")},
		crowd{clients: 100, client: repeat(headOf("endless", 0, "/lookup/")+"Long: ", "x")},
		crowd{clients: 100, client: repeat("", "\r\n")},
		crowd{clients: 300, client: func(conn net.Conn, number int) {
			_, _ = io.WriteString(conn, headOf("short", number, "/lookup/")+strings.Repeat("a:\r\n", 3000))
		}},
	)
}

// sendChunks sends a call with a chunked body of total bytes that lacks its last
// chunk.
func sendChunks(conn net.Conn, number, chunkBytes, total int) {
	w := bufio.NewWriterSize(conn, 64<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	_, err := w.WriteString(headOf("chunked", number, "/lookup/", "Transfer-Encoding: chunked") + "\r\n")
	for sent := 0; err == nil && sent < total; sent += chunkBytes {
		_, err = w.WriteString(chunk)
	}
	_ = w.Flush()
}

// TestLargeChunks guards against chunked bodies that are not counted until they are
// complete: each stops before its end with 4,000,000 bytes.
func TestLargeChunks(t *testing.T) {
	s := startUntrusted(t, untrustedDescriptors)
	s.checkWithstands(t, crowd{clients: 60, client: func(conn net.Conn, number int) { sendChunks(conn, number, 50_000, 4_000_000) }})
}

// TestTinyChunks guards against the same as TestLargeChunks with more bodies of
// 200,000 bytes, each byte in a chunk of its own.
func TestTinyChunks(t *testing.T) {
	s := startUntrusted(t, untrustedDescriptors)
	s.checkWithstands(t, crowd{clients: 400, client: func(conn net.Conn, number int) { sendChunks(conn, number, 1, 200_000) }})
}

// TestSlowReaders guards against responses that stay in memory because their callers
// read them slowly or not at all.
func TestSlowReaders(t *testing.T) {
	s := startUntrusted(t, untrustedDescriptors)
	request := func(conn net.Conn, number int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, headOf("reader", number, "/lookup/large-")+"\r\n")
		awaitByte(conn)
	}
	s.checkWithstands(t,
		crowd{clients: 60, client: request},
		crowd{clients: 20, client: func(conn net.Conn, number int) {
			request(conn, number)
			for range 50 {
				awaitByte(conn)
				time.Sleep(10 * time.Millisecond)
			}
		}},
	)
}
