package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"tanagerspread/standin/deployed"
)

const (
	// untrustedMemory is the memory of a node in MiB in a run with untrusted clients.
	untrustedMemory = 64
	// untrustedHold is the longest time that an untrusted client keeps its connection
	// after it has sent what it sends.
	untrustedHold = 3 * time.Second
)

// behaviour is what an untrusted client does on a new connection.
type behaviour func(conn net.Conn, id string, random *rand.Rand)

// behaviours are the kinds of untrusted clients. A call that may reach a server has the body
// and the path that the oracle expects.
var behaviours = []behaviour{sendEndlessHead, sendManyLines, stopInBody, stopInChunks, sendBehindCall, stopReading, sendRefusedBody, repeatID, sendNothing}

// untrustedHead returns the head of a call without its last empty line.
func untrustedHead(id, path string, lines ...string) string {
	head := "POST " + path + id + " HTTP/1.1\r\nHost: " + soakHost + "\r\n" + callLines(id)
	if len(lines) > 0 {
		head += strings.Join(lines, "\r\n") + "\r\n"
	}
	return head
}

// callLines returns the header lines that each call has.
func callLines(id string) string {
	var lines strings.Builder
	// A strings.Builder takes all writes.
	_ = deployed.Call{ID: id, Key: validKey, Deadline: callDeadline}.Header().Write(&lines)
	return lines.String()
}

// completeCall returns a call with its body.
func completeCall(id, path string) string {
	body := "body of " + id
	return untrustedHead(id, path, fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n" + body
}

// send writes text to a connection, which the node may close.
func send(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text)
}

func sendEndlessHead(conn net.Conn, id string, random *rand.Rand) {
	if random.IntN(3) == 0 {
		send(conn, strings.Repeat("\r\n", 50_000))
		return
	}
	line := []string{"a:\r\n", "Name: " + strings.Repeat("x", 100) + "\r\n"}[random.IntN(2)]
	send(conn, untrustedHead(id, "/lookup/")+strings.Repeat(line, 20_000))
}

func sendManyLines(conn net.Conn, id string, _ *rand.Rand) {
	send(conn, untrustedHead(id, "/lookup/", "Content-Length: 10")+strings.Repeat("b:\r\n", 3500)+"\r\nbody")
}

func stopInBody(conn net.Conn, id string, random *rand.Rand) {
	send(conn, untrustedHead(id, "/charge/", "Content-Length: 2000000")+"\r\n"+strings.Repeat("x", random.IntN(1_999_999)))
}

func stopInChunks(conn net.Conn, id string, random *rand.Rand) {
	size := []int{1, 100, 40_000}[random.IntN(3)]
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	send(conn, untrustedHead(id, "/charge/", "Transfer-Encoding: chunked")+"\r\n"+strings.Repeat(chunk, 1+random.IntN(50_000/size+50)))
}

func sendBehindCall(conn net.Conn, id string, _ *rand.Rand) {
	send(conn, completeCall(id, "/lookup/")+strings.Repeat("x", 1<<20))
}

func stopReading(conn net.Conn, id string, _ *rand.Rand) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The connection stays readable with the default size too.
		_ = tcp.SetReadBuffer(2 << 10)
	}
	send(conn, completeCall(id, "/lookup/"))
}

// sendRefusedBody sends a call that is refused because its header lines are repeated.
func sendRefusedBody(conn net.Conn, id string, _ *rand.Rand) {
	send(conn, untrustedHead(id, "/charge/", strings.TrimSuffix(callLines(id), "\r\n"), "Content-Length: 100000")+"\r\n"+strings.Repeat("x", 1000))
}

// repeatID sends a call whose id other clients use at the same time. It may be repeated, so
// that it may run more than once.
func repeatID(conn net.Conn, _ string, random *rand.Rand) {
	id := fmt.Sprintf("repeated-%d", random.IntN(2))
	for range 10 {
		send(conn, completeCall(id, "/lookup/"))
	}
}

func sendNothing(net.Conn, string, *rand.Rand) {}

// runUntrusted runs an untrusted client until the context ends. The seed and the number
// determine what it does.
func (s *site) runUntrusted(ctx context.Context, seed uint64, number int) {
	random := rand.New(rand.NewPCG(seed, 1<<32+uint64(number)))
	for i := 0; ctx.Err() == nil; i++ {
		n := s.nodes[random.IntN(len(s.nodes))]
		act := behaviours[random.IntN(len(behaviours))]
		hold := time.Duration(random.Int64N(int64(untrustedHold)))
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", n.callerAddress)
		if err != nil {
			sleep(ctx, hold/10)
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(untrustedHold))
		act(conn, fmt.Sprintf("untrusted-%d-%d", number, i), random)
		sleep(ctx, hold)
		_ = conn.Close()
	}
}
