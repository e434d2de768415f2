package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Outcome is how one client attempt ended.
type Outcome struct {
	Status int
	Sealed bool
	// Answered is true when any byte of an answer arrived, Complete when all of it did.
	Answered bool
	Complete bool
	// Read is true when the whole request was written before the end.
	Sent bool
	Err  error
	Body string
}

func (o Outcome) String() string {
	switch {
	case o.Complete:
		return fmt.Sprintf("%d, sealed %t, whole", o.Status, o.Sealed)
	case o.Answered:
		return fmt.Sprintf("%d, cut in the answer: %v", o.Status, o.Err)
	}
	return fmt.Sprintf("no answer: %v", o.Err)
}

var attempts atomic.Int64

// NextID returns a new attempt id.
func NextID(kind string) string {
	return fmt.Sprintf("%s-%04d", kind, attempts.Add(1))
}

// Conn is a client's connection that is kept for many requests.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a connection to a node.
func Dial(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Head returns the head of a request of the only tenant with extra header lines.
func Head(method, target, id string, deadline time.Duration, extra ...string) string {
	return HeadWithKey(Key, method, target, id, deadline, extra...)
}

// HeadWithKey returns the head of a request with an API key and extra header lines.
func HeadWithKey(key, method, target, id string, deadline time.Duration, extra ...string) string {
	lines := append([]string{
		method + " " + target + " HTTP/1.1", "Host: " + Host, "Request-Attempt-Id: " + id,
		fmt.Sprintf("Deadline-Ms: %d", deadline.Milliseconds()), "Api-Key: " + key,
	}, extra...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// Exchange writes a request and reads its answer until limit.
func (c *Conn) Exchange(method string, limit time.Duration, write func(io.Writer) error) Outcome {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if err := write(c.conn); err != nil {
		return Outcome{Err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Outcome{Sent: true, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Outcome{
		Status: response.StatusCode, Sealed: response.Header.Get("Server-Seal") != "", Answered: true, Complete: err == nil, Sent: true, Err: err, Body: string(body),
	}
}
