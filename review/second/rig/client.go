package rig

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one client attempt.
type Call struct {
	ID       string
	Path     string
	Body     string
	Deadline time.Duration
	// Parts is the prompt as ID:TOKENS, or empty.
	Parts []string
}

// Answer is what the client got.
type Answer struct {
	Status int
	Body   string
	// Complete is true when the answer was received to its end.
	Complete bool
	// Header is the head of the answer, and HeadAt when the client had received it.
	Header http.Header
	HeadAt time.Time
	Err    error
}

// String describes the answer without its body.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("%d (%v)", a.Status, a.Err)
	}
	return strconv.Itoa(a.Status)
}

// Send makes one attempt at a node on a new connection, waits for the answer until the
// deadline and records both.
func (s *Site) Send(n *Node, c Call) Answer {
	s.record.Printf("client sends %s %s to %s", c.ID, c.Path, n.Name)
	a := send(n, c)
	s.record.Printf("client gets %s for %s", a, c.ID)
	return a
}

func send(n *Node, c Call) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return Answer{Err: err}
	}
	request.GetBody = nil
	request.Host = Host
	request.Header.Set("Request-Attempt-Id", c.ID)
	request.Header.Set("Api-Key", Key)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if len(c.Parts) > 0 {
		total := 0
		for _, part := range c.Parts {
			_, tokens, _ := strings.Cut(part, ":")
			count, _ := strconv.Atoi(tokens)
			total += count
		}
		request.Header.Set("Model", Model)
		request.Header.Set("Token-Count", fmt.Sprintf("%d,40", total))
		request.Header.Set("Prompt-Prefix", strings.Join(c.Parts, ","))
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	headAt := time.Now()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Body: string(body), Complete: err == nil, Header: response.Header, HeadAt: headAt, Err: err}
}
