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
	"syscall"
	"testing"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/client/service"
	"tanagerspread/client/vmlist"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/node/confkv"
	"tanagerspread/node/process"
	"tanagerspread/node/settings"
	standinkv "tanagerspread/standin/kv"
	standinvmlist "tanagerspread/standin/vmlist"
)

// Texts that must not appear in any dump, metric or log line.
const (
	token          = "token-marker-8d1f"
	unknownToken   = "unknown-token-marker-77aa"
	prompt         = "prompt-marker-51c2"
	response       = "response-marker-e09b"
	idempotencyKey = "key-marker-3b64"
)

// testNode is a running process with one backend server.
type testNode struct {
	t         testing.TB
	log       bytes.Buffer
	callers   string
	operators string
	signals   chan os.Signal
	done      chan error
}

func startTestNode(t *testing.T, backend http.HandlerFunc) *testNode {
	t.Helper()
	server := httptest.NewServer(backend)
	t.Cleanup(server.Close)
	s := &testNode{t: t, signals: make(chan os.Signal, 2), done: make(chan error, 1)}
	addresses := make(chan string, 3)
	keyValue, list := startPlatform(t, server.Listener.Addr().String())
	options := process.Options{
		Settings: &settings.Settings{
			Node: "n1", Domain: "hobart-a", DrainDelay: 100 * time.Millisecond,
			MaxBodyBytes: 1 << 20, ServerSlots: 4, LogLevel: "debug",
			KeyValue: keyValue, VMList: list,
		},
		Log:     &s.log,
		Signals: s.signals,
		Listen: func(string, string) (net.Listener, error) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err == nil {
				addresses <- listener.Addr().String()
			}
			return listener, err
		},
	}
	go func() { s.done <- process.Run(context.Background(), options) }()
	s.callers, s.operators = <-addresses, <-addresses
	s.awaitReady()
	return s
}

// startPlatform starts a key-value service with a configuration of version 3 and
// a VM list, and returns their addresses.
func startPlatform(t *testing.T, backend string) (string, string) {
	t.Helper()
	service := standinkv.NewStore(standinkv.Options{})
	data, err := confkv.Encode(config.Configuration{Version: 3, ApplyID: "a", Author: "M. Tasker", Text: []byte(testRules())})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := service.Put(t.Context(), kv.Write{Key: confkv.KeyCurrent, Value: data, Expected: kv.Absent}); err != nil {
		t.Fatal(err)
	}
	list := standinvmlist.New(0)
	list.Set(vmlist.VM{ID: "e1", Address: backend, Role: "engine", Serves: "m", Weights: 1, State: vmlist.StateLive})
	list.Set(vmlist.VM{ID: "s1", Address: backend, Role: "service", Serves: "tide", State: vmlist.StateLive})
	var addresses []string
	for _, handler := range []http.Handler{service.Handler(), list.Handler()} {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return addresses[0], addresses[1]
}

// awaitReady waits until the node has its configuration and its VM list.
func (s *testNode) awaitReady() {
	s.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		var got control.Status
		_, _, body := s.do(http.MethodGet, s.operators+"/status", "", "")
		if err := json.Unmarshal([]byte(body), &got); err != nil {
			s.t.Fatal(err)
		}
		if got.State == "ready" && got.Servers == 2 {
			return
		}
	}
	s.t.Fatal("the node did not become ready")
}

func testRules() string {
	return fmt.Sprintf(`[classes]
check = priority=0 queue=10 ; M. Tasker
[organisations]
guild = rate=1000/s burst=1000 ; M. Tasker
[tokens]
%x = organisation=guild ; M. Tasker
[models]
m = weights=1 class=check ; M. Tasker
[services]
tide = class=check non-idempotent=no ; M. Tasker
`, sha256.Sum256([]byte(token)))
}

// do sends a request and returns status, request id and body.
func (s *testNode) do(method, url, bearer, body string) (int, string, string) {
	s.t.Helper()
	r, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+bearer)
	if strings.Contains(url, "/services/") {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	if strings.Contains(body, "broken") || strings.Contains(body, "refused") {
		// A failing request may be repeated until its deadline, so the deadline
		// is short.
		r.Header.Set("Tanagerspread-Deadline-Ms", "300")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get("Tanagerspread-Request-Id"), string(data)
}

// engineHandler responds with the response marker. A prompt that ends in
// "broken" gets a malformed event, and one that ends in "refused" an error
// status.
func engineHandler(w http.ResponseWriter, r *http.Request) {
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

// TestSecretsNotShown guards against prompts, responses, tokens and keys in
// dumps, metrics and log lines, and against admin endpoints that do not show
// the configuration in force.
func TestSecretsNotShown(t *testing.T) {
	s := startTestNode(t, engineHandler)
	completions := s.callers + "/v1/completions"
	status, id, body := s.do(http.MethodPost, completions, token, `{"model":"m","prompt":"`+prompt+`"}`)
	if status != http.StatusOK || !strings.Contains(body, response) {
		t.Fatalf("status %d, body %s", status, body)
	}
	s.do(http.MethodPost, completions, token, `{"model":"m","stream":true,"prompt":"`+prompt+`"}`)
	s.do(http.MethodPost, completions, token, `{"model":"m","prompt":"`+prompt+`broken"}`)
	s.do(http.MethodPost, completions, token, `{"model":"m","prompt":"`+prompt+`refused"}`)
	s.do(http.MethodPost, completions, unknownToken, `{"model":"m","prompt":"`+prompt+`"}`)
	s.do(http.MethodPost, completions, token, `{"model":"m","prompt":"`+prompt)
	s.do(http.MethodPost, completions, token, `{"model":"m","max_tokens":"`+prompt+`"}`)
	s.do(http.MethodPost, s.callers+"/services/tide/x", token, prompt)
	var shown strings.Builder
	for _, path := range []string{"/dump", "/status", "/explain?request=" + id, "/metrics"} {
		status, _, text := s.do(http.MethodGet, s.operators+path, token, "")
		if status != http.StatusOK {
			t.Errorf("%s: status %d", path, status)
		}
		shown.WriteString(text)
	}
	for _, want := range []string{`"Version":3`, `"AskedBy":"M. Tasker"`, "tanagerspread_configuration_version 3"} {
		if !strings.Contains(shown.String(), want) {
			t.Errorf("admin endpoints do not show %s", want)
		}
	}
	s.signals <- os.Interrupt
	if err := <-s.done; err != nil {
		t.Fatalf("planned stop: %v", err)
	}
	shown.Write(s.log.Bytes())
	if !strings.Contains(shown.String(), id) {
		t.Errorf("the output does not contain request identifier %s", id)
	}
	for _, secret := range []string{token, unknownToken, prompt, response, idempotencyKey} {
		if strings.Contains(shown.String(), secret) {
			t.Errorf("the output contains the secret %s", secret)
		}
	}
}

// TestSecondTermination guards against a request that a healthy server runs and that is
// aborted because the platform sends SIGTERM again.
func TestSecondTermination(t *testing.T) {
	reached, respond := make(chan struct{}), make(chan struct{})
	s := startTestNode(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(reached)
		<-respond
		w.Header().Set(service.HeaderRequestID, r.Header.Get(service.HeaderRequestID))
		_, _ = io.WriteString(w, "whole")
	})
	statuses := make(chan int, 1)
	go func() {
		defer close(statuses)
		status, _, _ := s.do(http.MethodPost, s.callers+"/services/tide/x", token, "")
		statuses <- status
	}()
	<-reached
	s.signals <- syscall.SIGTERM
	s.signals <- syscall.SIGTERM
	s.signals <- os.Interrupt
	time.Sleep(100 * time.Millisecond)
	close(respond)
	if status := <-statuses; status != http.StatusOK {
		t.Errorf("got status %d, want the response of the server", status)
	}
	if err := <-s.done; err != nil {
		t.Errorf("got error %v after a planned stop", err)
	}
}

// TestSecondSignal guards against a process that cannot be stopped while a
// request is in progress, and against a first signal that aborts the request.
func TestSecondSignal(t *testing.T) {
	reached := make(chan struct{})
	cancelled := make(chan struct{})
	s := startTestNode(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(reached)
		<-r.Context().Done()
		close(cancelled)
	})
	go func() {
		r, _ := http.NewRequest(http.MethodPost, "http://"+s.callers+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p"}`))
		r.Header.Set("Authorization", "Bearer "+token)
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
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
	case <-cancelled:
		t.Fatal("the first signal aborted the request")
	default:
	}
	s.signals <- os.Interrupt
	if err := <-s.done; !errors.Is(err, process.ErrInterrupted) {
		t.Errorf("got error %v, want ErrInterrupted", err)
	}
	<-cancelled
}
