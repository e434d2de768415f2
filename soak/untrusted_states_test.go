package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// slowPath is the path of calls that their server answers only when the node gives
	// them up, streamPath that of a stream of streamBytes in events of streamEventBytes.
	slowPath         = "/lookup/slow-"
	streamPath       = "/lookup/stream-"
	streamEventBytes = 16 << 10
	streamBytes      = 8 << 20
	// followingBytes is what a client sends behind a call on the same connection.
	followingBytes = 2 << 20
	// pauseTime is how long a node is paused.
	pauseTime = 5 * time.Second
)

// startStates starts a site whose servers have calls with slowPath and streamPath.
func startStates(t *testing.T, options siteOptions) *site {
	t.Helper()
	options.wrapServer = func(next http.Handler) http.Handler { return withStates(withLargeResponses(next)) }
	if options.nodes == 0 {
		options.nodes = 1
	}
	return startUntrustedSite(t, options)
}

// withStates adds the calls with slowPath and streamPath to a server.
func withStates(next http.Handler) http.Handler {
	event := []byte("data: " + strings.Repeat("x", streamEventBytes) + "\n\n")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Attempt-Id", r.Header.Get("Request-Attempt-Id"))
		w.Header().Set("Server-Seal", "seal")
		switch {
		case strings.HasPrefix(r.URL.Path, slowPath):
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case strings.HasPrefix(r.URL.Path, streamPath):
			w.Header().Set("Content-Type", "text/event-stream")
			for sent := 0; sent < streamBytes; sent += len(event) {
				if _, err := w.Write(event); err != nil {
					return
				}
			}
		default:
			w.Header().Del("Server-Seal")
			w.Header().Del("Request-Attempt-Id")
			next.ServeHTTP(w, r)
		}
	})
}

// sendFollowed sends a call and behind it bytes that belong to no request.
func sendFollowed(conn net.Conn, number int) {
	_, err := io.WriteString(conn, headOf("followed", number, slowPath)+"\r\n")
	block := strings.Repeat("x", 64<<10)
	for sent := 0; err == nil && sent < followingBytes; sent += len(block) {
		_, err = io.WriteString(conn, block)
	}
}

// TestBytesBehindCalls guards against bytes that clients send behind calls in progress,
// and that the node neither reads nor counts.
func TestBytesBehindCalls(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: untrustedMemoryMB, descriptors: untrustedDescriptors})
	s.checkWithstands(t, crowd{clients: 480, client: sendFollowed})
}

// readOneByte sends a call and reads the first byte of its response only.
func readOneByte(kind, path string) untrustedClient {
	return func(conn net.Conn, number int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, headOf(kind, number, path)+"\r\n")
		awaitByte(conn)
	}
}

// TestUnreadStreams guards against the part of streams that servers have sent and the
// node does not read, because the clients have stopped reading. The beginning that they
// read makes the kernel enlarge the buffers.
func TestUnreadStreams(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: untrustedMemoryMB, descriptors: untrustedDescriptors, serverConcurrency: 150})
	s.checkWithstands(t, crowd{clients: 300, client: func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, headOf("stream", number, streamPath)+"\r\n")
		_, _ = io.CopyN(io.Discard, conn, 1<<20)
	}})
}

// TestUnreadStreamsFreeServers guards against streams that keep their places at servers after
// their deadline, because the node waits for clients that have stopped reading.
func TestUnreadStreamsFreeServers(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: untrustedMemoryMB, descriptors: untrustedDescriptors})
	s.checkWithstands(t, crowd{clients: 100, client: readOneByte("stream", streamPath)})
}

// TestRefusedBodies guards against clients that hold all connections with calls that were
// refused for their head, because the node waits for bodies that do not arrive.
func TestRefusedBodies(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: untrustedMemoryMB, descriptors: untrustedDescriptors})
	s.checkWithstands(t, crowd{clients: 600, client: func(conn net.Conn, number int) {
		head := headOf("refused", number, "/lookup/", "Deadline-Ms: soon", "Content-Length: 100000")
		_, _ = io.WriteString(conn, head+"\r\n"+strings.Repeat("x", 1000))
	}})
}

// TestIdleClientsReturn guards against clients that keep all connections of a node idle after
// an answered call each, and connect again as soon as the node closes them.
func TestIdleClientsReturn(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: untrustedMemoryMB, descriptors: 320})
	defer s.checkFootprints(t)()
	ctx, cancel := context.WithTimeout(t.Context(), 2*answerPatience)
	var group sync.WaitGroup
	for number := range 200 {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				s.callAndIdle(ctx, fmt.Sprintf("idle-%d-%d", number, i))
			}
		})
	}
	sleep(ctx, pauseTime)
	s.checkAnswers(t, "while the clients return")
	cancel()
	group.Wait()
	s.checkAnswers(t, "after the clients have left")
}

// callAndIdle makes a call on a new connection and keeps it until the node closes it or the
// context ends.
func (s *site) callAndIdle(ctx context.Context, id string) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", s.nodes[0].callerAddress)
	if err != nil {
		sleep(ctx, 10*time.Millisecond)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	send(conn, completeCall(id, "/lookup/"))
	reader := bufio.NewReader(conn)
	if skipResponse(reader) == nil {
		_, _ = reader.ReadByte()
	}
}

// TestOtherPorts guards against heads of any size on the ports of readiness checks and of
// metrics.
func TestOtherPorts(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: untrustedMemoryMB, descriptors: untrustedDescriptors})
	head := "GET /readiness HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("Name: "+strings.Repeat("x", 1000)+"\r\n", 900)
	send := func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, head) }
	s.checkWithstands(t,
		crowd{clients: 60, client: send, address: s.nodes[0].readyAddress},
		crowd{clients: 60, client: send, address: s.nodes[0].operatorAddress},
	)
}

// TestSockets guards against connections of callers and servers that use up the
// descriptors of the node together.
func TestSockets(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: untrustedMemoryMB, descriptors: 320, serverConcurrency: 100})
	s.checkWithstands(t, crowd{clients: 200, client: func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, headOf("slow", number, slowPath)+"\r\n")
		awaitByte(conn)
	}})
}

// TestPausedNode guards against connections that wait to be accepted while the machine of the
// node is suspended, with what their clients have sent already.
func TestPausedNode(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: 48, descriptors: untrustedDescriptors})
	head := headOf("paused", 0, "/lookup/") + strings.Repeat("a:\r\n", 3000)
	s.nodes[0].signal(syscall.SIGSTOP)
	time.AfterFunc(pauseTime, func() { s.nodes[0].signal(syscall.SIGCONT) })
	s.checkWithstands(t, crowd{clients: 4000, client: func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, head)
	}})
}

// TestStopAmidClients guards against a planned stop that does not end, because clients
// keep their connections open: with incomplete heads and bodies, with responses that they
// do not read, and with calls that wait.
func TestStopAmidClients(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: untrustedMemoryMB, descriptors: untrustedDescriptors})
	defer s.checkFootprints(t)()
	conns := s.runCrowds(t, []crowd{
		{clients: 40, client: func(conn net.Conn, number int) {
			_, _ = io.WriteString(conn, headOf("head", number, "/lookup/"))
		}},
		{clients: 40, client: func(conn net.Conn, number int) { sendChunks(conn, number, 1000, 50_000) }},
		{clients: 20, client: readOneByte("large", largePath)},
		{clients: 10, client: readOneByte("stream", streamPath)},
		{clients: 20, client: func(conn net.Conn, number int) {
			_, _ = io.WriteString(conn, headOf("slow", number, slowPath)+"\r\n")
		}},
		{clients: 40, client: func(conn net.Conn, number int) {
			_, _ = io.WriteString(conn, headOf("answered", number, "/lookup/")+"\r\n")
			awaitByte(conn)
		}},
	})
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	s.nodes[0].signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.nodes[0].wait()
	}()
	select {
	case <-ended:
	case <-time.After(answerPatience):
		t.Errorf("the node does not end while clients are connected\n%s", s.logTails())
	}
}

// sendSerially sends calls one after the other on one connection and reads their
// responses. A closed connection is replaced.
func sendSerially(address string, calls int, head func(i int) string) error {
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; i < calls; {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", address, clientPatience); err != nil {
				return err
			}
			_ = conn.SetDeadline(time.Now().Add(answerPatience))
			reader = bufio.NewReader(conn)
		}
		i++
		_, err := io.WriteString(conn, head(i)+"\r\n")
		if err == nil {
			err = skipResponse(reader)
		}
		if err != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		return conn.Close()
	}
	return nil
}

// skipResponse reads a response to its end.
func skipResponse(reader *bufio.Reader) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.Close {
		return io.EOF
	}
	return err
}

// TestNewPartsInEachCall guards against memory that grows with the ids, prompt parts, hosts
// and keys of calls, none of which any other call has. The spaces make each list of parts
// as long as a head may be.
func TestNewPartsInEachCall(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: untrustedMemoryMB, descriptors: untrustedDescriptors, nodes: 2})
	defer s.checkFootprints(t)()
	const senders, calls = 8, 900
	spaces := strings.Repeat(" ", 15_000)
	var group sync.WaitGroup
	for sender := range senders {
		group.Go(func() {
			_ = sendSerially(s.nodes[0].callerAddress, calls, func(i int) string {
				id := fmt.Sprintf("part-%d-%d", sender, i)
				host, key := soakHost, validKey
				switch i % 16 {
				case 0:
					host = id + ".example"
				case 8:
					key = id
				}
				return "POST /review/" + id + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Attempt-Id: " + id + "\r\nApi-Key: " + key +
					"\r\nModel: m\r\nToken-Count: 20,1\r\nPrompt-Prefix: a" + id + ":1," + spaces + "b" + id + ":1,c" + id + ":1\r\n"
			})
		})
	}
	group.Wait()
	s.checkAnswers(t, "after calls with new parts")
}

// TestSameID guards against calls with an id that is in progress already: their decisions
// mix, and the places that they take at servers are never given back.
func TestSameID(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: untrustedMemoryMB, descriptors: untrustedDescriptors})
	s.checkWithstands(t, crowd{clients: 200, client: func(net.Conn, int) {
		_ = sendSerially(s.nodes[0].callerAddress, 4, func(i int) string { return headOf("same", i, slowPath) })
	}})
}

// TestUnreadLogs guards against a node that waits for, or remembers, log lines that nobody
// reads.
func TestUnreadLogs(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: untrustedMemoryMB, descriptors: untrustedDescriptors, unreadLogs: true})
	defer s.checkFootprints(t)()
	var group sync.WaitGroup
	for sender := range 8 {
		group.Go(func() {
			_ = sendSerially(s.nodes[0].callerAddress, 1500, func(i int) string {
				// A byte that is no valid text takes six bytes in a log line.
				id := strings.Repeat("\xff", 100) + fmt.Sprintf("%d-%d", sender, i)
				return "GET /lookup/" + strings.Repeat("x", 1000) + " HTTP/1.1\r\nHost: " + soakHost + "\r\nRequest-Attempt-Id: " + id + "\r\nApi-Key: none\r\n"
			})
		})
	}
	group.Wait()
	s.checkAnswers(t, "after many log lines")
}

// oddLines are header lines that few clients send.
var oddLines = strings.Repeat("Connection: a, b, , c\r\n", 40) + strings.Repeat("X-Same: \r\n", 300) +
	strings.Repeat("!#$%&'*+-.^_`|~:\t \r\n", 100) + strings.Repeat("Cookie: \xff\xfe;;==\r\n", 100) +
	"Prompt-Prefix: " + strings.Repeat("a:0,", 500) + "a:0\r\n" + "X-Long-" + strings.Repeat("y", 2000) + ": z\r\n"

// TestRealNodes guards against limits that hold at the lowered settings of the other tests
// only. It runs all kinds of clients against nodes with the settings of real ones, and
// checks that a call that was refused as not run did not run.
func TestRealNodes(t *testing.T) {
	for _, test := range []struct{ memoryMB, scale int }{{112, 1}, {536, 4}} {
		t.Run(fmt.Sprintf("%dMB", test.memoryMB), func(t *testing.T) {
			s := startStates(t, siteOptions{memoryMB: test.memoryMB, descriptors: untrustedDescriptors, serverConcurrency: 300})
			calls := &callers{site: s}
			s.checkWithstands(t,
				crowd{clients: 1000 * test.scale, client: sendFollowed},
				crowd{clients: 100 * test.scale, client: readOneByte("stream", streamPath)},
				crowd{clients: 40 * test.scale, client: readOneByte("large", largePath)},
				crowd{clients: 40 * test.scale, client: func(conn net.Conn, number int) { sendChunks(conn, number, 50_000, 4_000_000) }},
				crowd{clients: 100 * test.scale, client: func(conn net.Conn, number int) {
					_, _ = io.WriteString(conn, headOf("odd", number, "/lookup/")+oddLines+"\r\n")
					awaitByte(conn)
				}},
				crowd{clients: 100, client: func(_ net.Conn, number int) {
					client := newClient()
					defer client.CloseIdleConnections()
					id := fmt.Sprintf("charge-%d", number)
					calls.record(call(context.Background(), client, s.nodes[0], id, "/charge/", validKey))
				}},
			)
			if violations := s.untrueRefusals(calls.outcomes); len(violations) > 0 {
				t.Error(strings.Join(violations, "\n"))
			}
		})
	}
}

// TestLargestLegalCall guards against limits that a single call within the documented ones
// meets: a head of 16,384 bytes in lines as short as they can be, and a body of 4 MiB with a
// length or in chunks.
func TestLargestLegalCall(t *testing.T) {
	s := startStates(t, siteOptions{memoryMB: 112, descriptors: untrustedDescriptors})
	const headBytes, bodyBytes, chunkBytes = 16_384, 4 << 20, 1 << 10
	bodies := map[string]string{
		fmt.Sprintf("Content-Length: %d", bodyBytes): strings.Repeat("x", bodyBytes),
		"Transfer-Encoding: chunked":                 strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes)), bodyBytes/chunkBytes) + "0\r\n\r\n",
	}
	for framing, body := range bodies {
		conn, err := net.DialTimeout("tcp", s.nodes[0].callerAddress, clientPatience)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(answerPatience))
		head := headOf("legal", len(framing), "/lookup/", framing)
		head += strings.Repeat("a:\r\n", (headBytes-len(head))/len("a:\r\n")-1) + "\r\n"
		if _, err := io.WriteString(conn, head+body); err != nil {
			t.Errorf("%s: %v", framing, err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: %v", framing, err)
		} else if _ = response.Body.Close(); response.StatusCode != http.StatusOK {
			t.Errorf("%s: got %d", framing, response.StatusCode)
		}
		_ = conn.Close()
	}
}

// untrueRefusals returns the calls that were refused as not run and ran, and those that
// ran twice.
func (s *site) untrueRefusals(outcomes []outcome) []string {
	runs := map[string]int{}
	for _, srv := range s.servers {
		for _, r := range srv.Received() {
			if r.Ran {
				runs[r.Header.Get("Request-Attempt-Id")]++
			}
		}
	}
	var violations []string
	for _, o := range outcomes {
		if o.claimsNotExecuted() && runs[o.id] > 0 || runs[o.id] > 1 {
			violations = append(violations, fmt.Sprintf("%s got %s and ran %d times", o.id, o, runs[o.id]))
		}
	}
	return violations
}
