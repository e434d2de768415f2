package ingress_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
	"tanagerspread/node/ingress"
	"tanagerspread/node/runtime"
)

// pipeNetwork is an in-memory network: it is a listener that accepts the other
// end of each connection opened by dial.
type pipeNetwork struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeNetwork) Close() error   { close(p.closed); return nil }
func (p *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (p *pipeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.conns <- far
	return near, nil
}

// runtimeNode is a runtime.Node with one HTTP handler as its backend servers. It
// runs in virtual time.
type runtimeNode struct {
	t             *testing.T
	callerNetwork *pipeNetwork
	node          *runtime.Node
}

func newRuntimeNode(t *testing.T, backend http.HandlerFunc) runtimeNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := runtimeNode{t: t, callerNetwork: newPipeNetwork()}
	backends := newPipeNetwork()
	server := &http.Server{Handler: backend}
	go func() { _ = server.Serve(backends) }()
	node, err := runtime.New(runtime.Options{
		Control:      control.Options{Charts: chart.Embedded(), ServerSlots: 1},
		Listener:     n.callerNetwork,
		Dial:         backends.dial,
		Recorder:     ingress.NoRecorder(),
		Logger:       logr.Discard(),
		MaxBodyBytes: 1000,
	})
	if err != nil {
		t.Fatal(err)
	}
	n.node = node
	done := make(chan struct{})
	go func() {
		_ = node.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = server.Close()
		// net/http closes a refused connection half a second later.
		time.Sleep(time.Second)
	})
	n.configure()
	return n
}

func (n runtimeNode) configure() {
	n.node.Control().Tell(control.Configure{Version: 1, Rules: &config.Rules{
		Organisations: map[request.Organisation]config.Organisation{"guild": {}, "narrow": {Models: []string{"other"}}},
		Tokens: map[request.Digest]config.Token{
			sha256.Sum256([]byte("secret")): {Organisation: "guild"},
			sha256.Sum256([]byte("narrow")): {Organisation: "narrow"},
		},
		Classes:  map[request.Class]config.Class{"check": {QueueLimit: 10}},
		Models:   map[string]config.Model{"m": {Weights: 1, Class: "check"}},
		Services: map[string]config.Service{"lodge": {Class: "check", NonIdempotent: true}, "tide": {Class: "check"}},
	}})
	n.node.Control().Tell(control.VMList{VMs: []control.VM{
		{ID: "e1", Address: "127.0.0.1:1", Role: fleet.RoleEngine, Serves: "m", Weights: 1},
		{ID: "s1", Address: "127.0.0.1:2", Role: fleet.RoleService, Serves: "tide"},
	}})
	synctest.Wait()
}

// send writes a raw request on a connection of its own and returns the response
// with its body.
func (n runtimeNode) send(raw string) (*http.Response, string) {
	n.t.Helper()
	conn, _ := n.callerNetwork.dial(n.t.Context(), "", "")
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, raw) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		n.t.Fatalf("no response to %.80q: %v", raw, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		n.t.Fatal(err)
	}
	return response, string(body)
}

// requestsInProgress returns the number of requests that the control thread
// counts as in progress.
func (n runtimeNode) requestsInProgress() int {
	decision, err := n.node.Control().Ask(n.t.Context(), control.AskStatus{ID: "test"})
	if err != nil {
		n.t.Fatal(err)
	}
	return decision.(control.Status).Requests
}

// post returns a raw POST request. Each header ends with a line break.
func post(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n%s\r\n%s", path, len(body), headers, body)
}

const (
	bearerHeader = "Authorization: Bearer secret\r\n"
	validBody    = `{"model":"m","prompt":"p","max_tokens":1}`
)

// TestBadInput guards against a malformed request that crashes the node,
// reaches a backend server, stays in progress, or is refused without the code
// for it.
func TestBadInput(t *testing.T) {
	completions := "/v1/completions"
	cases := map[string]struct {
		raw  string
		want code.Code
	}{
		"oversized body":     {post(completions, bearerHeader, `{"prompt":"`+strings.Repeat("p", 1000)), code.BodyTooLarge},
		"broken JSON":        {post(completions, bearerHeader, `{"model":`), code.MalformedBody},
		"wrong JSON type":    {post(completions, bearerHeader, `{"model":"m","prompt":7}`), code.MalformedBody},
		"trailing JSON":      {post(completions, bearerHeader, validBody+validBody), code.MalformedBody},
		"empty body":         {post(completions, bearerHeader, ""), code.MalformedBody},
		"long model name":    {post(completions, bearerHeader, `{"prompt":"p","model":"`+strings.Repeat("m", 129)+`"}`), code.MalformedBody},
		"negative tokens":    {post(completions, bearerHeader, `{"model":"m","prompt":"p","max_tokens":-1}`), code.MalformedBody},
		"unknown model":      {post(completions, bearerHeader, `{"model":"x","prompt":"p"}`), code.UnknownModel},
		"model not allowed":  {post(completions, "Authorization: Bearer narrow\r\n", validBody), code.ModelNotAllowed},
		"no token":           {post(completions, "", validBody), code.MissingToken},
		"wrong token":        {post(completions, "Authorization: Bearer wrong\r\n", validBody), code.UnknownToken},
		"wrong scheme":       {post(completions, "Authorization: Basic secret\r\n", validBody), code.MissingToken},
		"repeated token":     {post(completions, bearerHeader+bearerHeader, validBody), code.MalformedHeader},
		"repeated deadline":  {post(completions, bearerHeader+"Tanagerspread-Deadline-Ms: 5\r\ntanagerspread-deadline-ms: 9\r\n", validBody), code.MalformedHeader},
		"negative deadline":  {post(completions, bearerHeader+"Tanagerspread-Deadline-Ms: -5\r\n", validBody), code.MalformedHeader},
		"unknown class":      {post(completions, bearerHeader+"Tanagerspread-Class: x\r\n", validBody), code.MalformedHeader},
		"long class":         {post(completions, bearerHeader+"Tanagerspread-Class: "+strings.Repeat("c", 129)+"\r\n", validBody), code.MalformedHeader},
		"long key":           {post("/services/tide/", bearerHeader+"Idempotency-Key: "+strings.Repeat("k", 256)+"\r\n", ""), code.MalformedHeader},
		"missing key":        {post("/services/lodge/entry", bearerHeader, "{}"), code.MissingIdempotencyKey},
		"unknown service":    {post("/services/none/x", bearerHeader, "{}"), code.UnknownService},
		"long service name":  {post("/services/"+strings.Repeat("s", 129)+"/x", bearerHeader, "{}"), code.UnknownService},
		"unknown route":      {post("/v2/completions", bearerHeader, validBody), code.UnknownRoute},
		"wrong method":       {"DELETE /v1/completions HTTP/1.1\r\nHost: node\r\n\r\n", code.UnknownRoute},
		"key without record": {post("/services/lodge/entry", bearerHeader+"Idempotency-Key: k\r\n", "{}"), code.ClaimUnavailable},
	}
	synctest.Test(t, func(t *testing.T) {
		n := newRuntimeNode(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached a backend server") })
		for name, c := range cases {
			response, body := n.send(c.raw)
			var refusal struct {
				Error struct {
					Code      code.Code
					Execution string
				}
			}
			if err := json.Unmarshal([]byte(body), &refusal); err != nil {
				t.Errorf("%s: %v in %q", name, err, body)
			}
			if refusal.Error.Code != c.want || refusal.Error.Execution != "not-run" || response.StatusCode != code.Lookup(c.want).HTTPStatus {
				t.Errorf("%s: got status %d and %s, want code %d", name, response.StatusCode, body, c.want)
			}
		}
		if count := n.requestsInProgress(); count != 0 {
			t.Errorf("%d refused requests are still in progress", count)
		}
	})
}

// TestMalformedHTTP guards against accepting requests that two hops could read in
// different ways. net/http refuses them before the handler runs, so the refusal
// has no code.
func TestMalformedHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRuntimeNode(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached a backend server") })
		for name, headers := range map[string]string{
			"two lengths":        "Content-Length: 5\r\nContent-Length: 6\r\n",
			"unknown encoding":   "Transfer-Encoding: gzip\r\n",
			"two encodings":      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
			"space before colon": "Authorization : Bearer secret\r\n",
			"control character":  "Tanagerspread-Class: a\x00b\r\n",
			"oversized headers":  "X-Filler: " + strings.Repeat("f", 64<<10) + "\r\n",
		} {
			response, body := n.send("POST /v1/completions HTTP/1.1\r\nHost: node\r\n" + headers + "\r\n")
			if response.StatusCode < 400 || response.StatusCode == http.StatusUnauthorized {
				t.Errorf("%s: got status %d and %s", name, response.StatusCode, body)
			}
		}
	})
}

// TestServiceHeaders guards against headers and escaped paths of a caller that
// change the organisation, request id or path that a plain service receives.
func TestServiceHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got *http.Request
		n := newRuntimeNode(t, func(w http.ResponseWriter, r *http.Request) {
			got = r
			w.Header().Set("Tanagerspread-Request-Id", r.Header.Get("Tanagerspread-Request-Id"))
		})
		response, body := n.send(post("/services/tide/a%3Fadmin=1%2Fb?q=1", bearerHeader+"Tanagerspread-Organisation: other\r\nTanagerspread-Request-Id: forged\r\nConnection: close, Authorization\r\n", ""))
		if response.StatusCode != http.StatusOK {
			t.Fatalf("got status %d and %s", response.StatusCode, body)
		}
		if organisation := got.Header.Get("Tanagerspread-Organisation"); organisation != "guild" {
			t.Errorf("organisation: got %q", organisation)
		}
		if id := got.Header.Get("Tanagerspread-Request-Id"); id == "forged" || got.Header.Get("Authorization") != "" {
			t.Errorf("a header of the caller was passed on: %v", got.Header)
		}
		if got.RequestURI != "/a%3Fadmin=1%2Fb?q=1" {
			t.Errorf("path: got %q", got.RequestURI)
		}
	})
}

// TestSlowCaller guards against a caller that never sends the end of its body and
// occupies its connection forever.
func TestSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRuntimeNode(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached a backend server") })
		began := time.Now()
		response, body := n.send("POST /v1/completions HTTP/1.1\r\nHost: node\r\nContent-Length: 900\r\n" + bearerHeader + "\r\n{")
		if response.Header.Get("Tanagerspread-Code") != "1007" {
			t.Errorf("got status %d and %s", response.StatusCode, body)
		}
		if waited := time.Since(began); waited != 60*time.Second {
			t.Errorf("waited %s", waited)
		}
	})
}

// TestCallerStopsReading guards against a caller that stops reading its stream
// and occupies the slot of the backend server forever.
func TestCallerStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var engineErr error
		n := newRuntimeNode(t, func(w http.ResponseWriter, r *http.Request) {
			var call struct {
				RequestID string `json:"request_id"`
			}
			engineErr = json.NewDecoder(r.Body).Decode(&call)
			for i := 0; engineErr == nil; i++ {
				_, _ = fmt.Fprintf(w, "data: {\"request_id\":%q,\"seq\":%d,\"text\":\"t\"}\n\n", call.RequestID, i)
				engineErr = http.NewResponseController(w).Flush()
				engineErr = errors.Join(engineErr, context.Cause(r.Context()))
				time.Sleep(time.Second)
			}
		})
		conn, _ := n.callerNetwork.dial(t.Context(), "", "")
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, post("/v1/completions", bearerHeader, `{"model":"m","prompt":"p","stream":true}`))
		synctest.Wait()
		if got := n.requestsInProgress(); got != 1 {
			t.Fatalf("%d requests in progress", got)
		}
		time.Sleep(65 * time.Second)
		synctest.Wait()
		if got := n.requestsInProgress(); got != 0 || engineErr == nil {
			t.Errorf("%d requests in progress, engine ended with %v", got, engineErr)
		}
	})
}
