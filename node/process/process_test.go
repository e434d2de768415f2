package process_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
	"tanagerspread/node/process"
	"tanagerspread/node/runtime"
	"tanagerspread/node/settings"
)

// The texts that must appear in no dump and no log line.
const (
	token    = "token-marker-8d1f"
	unknown  = "unknown-token-marker-77aa"
	prompt   = "prompt-marker-51c2"
	response = "response-marker-e09b"
	key      = "key-marker-3b64"
)

// session is one process with a backend server.
type session struct {
	t         *testing.T
	log       bytes.Buffer
	callers   string
	operators string
	signals   chan os.Signal
	done      chan error
}

func start(t *testing.T, backend http.HandlerFunc) *session {
	t.Helper()
	server := httptest.NewServer(backend)
	t.Cleanup(server.Close)
	s := &session{t: t, signals: make(chan os.Signal, 2), done: make(chan error, 1)}
	started := make(chan struct{})
	var addresses []string
	options := process.Options{
		Settings: &settings.Settings{
			Node: "n1", Domain: "hobart-a", DrainDelay: 100 * time.Millisecond,
			MaxBodyBytes: 1 << 20, ServerSlots: 4, LogLevel: "debug",
		},
		Log:     &s.log,
		Signals: s.signals,
		Listen: func(string, string) (net.Listener, error) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			addresses = append(addresses, listener.Addr().String())
			return listener, err
		},
		Started: func(_ context.Context, node *runtime.Node) {
			node.Control().Tell(control.Configure{Version: 3, Rules: testRules()})
			node.Control().Tell(control.VMList{VMs: []control.VM{
				{ID: "e1", Address: strings.TrimPrefix(server.URL, "http://"), Role: fleet.RoleEngine, Serves: "m", Weights: 1},
				{ID: "s1", Address: strings.TrimPrefix(server.URL, "http://"), Role: fleet.RoleService, Serves: "tide"},
			}})
			close(started)
		},
	}
	go func() { s.done <- process.Run(context.Background(), options) }()
	<-started
	s.callers, s.operators = addresses[0], addresses[1]
	return s
}

func testRules() *config.Rules {
	return &config.Rules{
		Organisations: map[request.Organisation]config.Organisation{"guild": {}},
		Tokens:        map[request.Digest]config.Token{sha256.Sum256([]byte(token)): {Organisation: "guild"}},
		Classes:       map[request.Class]config.Class{"check": {Queue: 10}},
		Models:        map[string]config.Model{"m": {Weights: 1, Class: "check"}},
		Services:      map[string]config.Service{"tide": {Class: "check"}},
		Comments:      map[string]string{"models/m": "M. Tasker"},
	}
}

// do sends a request and returns status, request identifier and body.
func (s *session) do(method, url, bearer, body string) (int, string, string) {
	s.t.Helper()
	r, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+bearer)
	if strings.Contains(url, "/services/") {
		r.Header.Set("Idempotency-Key", key)
	}
	if strings.Contains(body, "broken") || strings.Contains(body, "refused") {
		// A failing request may be repeated until its deadline.
		r.Header.Set("Tanagerspread-Deadline-Ms", "300")
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return answer.StatusCode, answer.Header.Get("Tanagerspread-Request-Id"), string(data)
}

// engine responds with the marker. A prompt that ends in "broken" gets a
// malformed event, and one that ends in "refused" an error status.
func engine(w http.ResponseWriter, r *http.Request) {
	var call struct {
		RequestID string `json:"request_id"`
		Prompt    string `json:"prompt"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		_, _ = io.WriteString(w, response)
		return
	}
	switch {
	case strings.HasSuffix(call.Prompt, "broken"):
		_, _ = io.WriteString(w, "data: {"+response+"\n\n")
	case strings.HasSuffix(call.Prompt, "refused"):
		http.Error(w, response, http.StatusInternalServerError)
	default:
		_, _ = fmt.Fprintf(w, "data: {\"request_id\":%q,\"seq\":0,\"text\":%q}\n\n", call.RequestID, response)
		_, _ = fmt.Fprintf(w, "data: {\"request_id\":%q,\"seq\":1,\"done\":true,\"finish_reason\":\"stop\"}\n\n", call.RequestID)
	}
}

// TestSession guards against prompts, responses, tokens and keys in dumps,
// metrics and log lines, and against admin endpoints that do not see the
// session.
func TestSession(t *testing.T) {
	s := start(t, engine)
	completions := s.callers + "/v1/completions"
	status, id, body := s.do(http.MethodPost, completions, token, `{"model":"m","prompt":"`+prompt+`"}`)
	if status != http.StatusOK || !strings.Contains(body, response) {
		t.Fatalf("status %d, body %s", status, body)
	}
	s.do(http.MethodPost, completions, token, `{"model":"m","stream":true,"prompt":"`+prompt+`"}`)
	s.do(http.MethodPost, completions, token, `{"model":"m","prompt":"`+prompt+`broken"}`)
	s.do(http.MethodPost, completions, token, `{"model":"m","prompt":"`+prompt+`refused"}`)
	s.do(http.MethodPost, completions, unknown, `{"model":"m","prompt":"`+prompt+`"}`)
	s.do(http.MethodPost, completions, token, `{"model":"m","prompt":"`+prompt)
	s.do(http.MethodPost, completions, token, `{"model":"m","max_tokens":"`+prompt+`"}`)
	s.do(http.MethodPost, s.callers+"/services/tide/x", token, prompt)
	var seen strings.Builder
	for _, path := range []string{"/dump", "/status", "/explain?request=" + id, "/metrics"} {
		status, _, text := s.do(http.MethodGet, s.operators+path, token, "")
		if status != http.StatusOK {
			t.Errorf("%s: status %d", path, status)
		}
		seen.WriteString(text)
	}
	for _, want := range []string{`"Version":3`, `"AskedBy":"M. Tasker"`, "tanagerspread_configuration_version 3"} {
		if !strings.Contains(seen.String(), want) {
			t.Errorf("admin endpoints do not show %s", want)
		}
	}
	s.signals <- os.Interrupt
	if err := <-s.done; err != nil {
		t.Fatalf("planned stop: %v", err)
	}
	seen.Write(s.log.Bytes())
	if !strings.Contains(seen.String(), id) {
		t.Errorf("the log does not name request %s", id)
	}
	for _, secret := range []string{token, unknown, prompt, response, key} {
		if strings.Contains(seen.String(), secret) {
			t.Errorf("%s is shown", secret)
		}
	}
}

// TestSecondSignal guards against a process that cannot be ended while a
// request is in progress, and against a first signal that cuts it off.
func TestSecondSignal(t *testing.T) {
	reached := make(chan struct{})
	ended := make(chan struct{})
	s := start(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(reached)
		<-r.Context().Done()
		close(ended)
	})
	go func() {
		r, _ := http.NewRequest(http.MethodPost, "http://"+s.callers+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p"}`))
		r.Header.Set("Authorization", "Bearer "+token)
		if answer, err := http.DefaultClient.Do(r); err == nil {
			_ = answer.Body.Close()
		}
	}()
	<-reached
	if status, _, _ := s.do(http.MethodPost, s.operators+"/drain", "", ""); status != http.StatusAccepted {
		t.Errorf("drain: status %d", status)
	}
	s.signals <- os.Interrupt
	for state := ""; state != "draining"; {
		_, _, body := s.do(http.MethodGet, s.operators+"/status", "", "")
		var got control.Status
		if err := json.Unmarshal([]byte(body), &got); err != nil {
			t.Fatal(err)
		}
		state = got.State
	}
	select {
	case <-ended:
		t.Fatal("the first signal cut off the request")
	default:
	}
	s.signals <- os.Interrupt
	if err := <-s.done; !errors.Is(err, process.ErrInterrupted) {
		t.Errorf("got %v", err)
	}
	<-ended
}
