package runtime_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	engineclient "tanagerspread/client/engine"
	"tanagerspread/client/vmlist"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/node/confkv"
	"tanagerspread/node/ingress"
	"tanagerspread/standin/engine"
)

// serveBackend adds a backend server to the VM list and serves its handler on
// the in-memory network.
func (c *cluster) serveBackend(vm vmlist.VM, handler http.Handler) {
	vm.Address = vm.ID
	vm.State = vmlist.StateLive
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(c.net.listen(vm.ID)) }()
	c.t.Cleanup(func() { _ = server.Close() })
	c.list.Set(vm)
	advance(3 * time.Second)
}

func (c *cluster) serveEngine(handler http.Handler) {
	c.serveBackend(vmlist.VM{ID: "e1", Role: string(fleet.RoleEngine), Serves: testModel, Weights: 1}, handler)
}

// result is the response of one request, or status 0 and the error as body.
type result struct {
	status int
	body   string
}

func (c *cluster) send(method, node, path, body string, header ...string) result {
	client := &http.Client{Timeout: time.Minute, Transport: &http.Transport{DialContext: c.net.dialer("caller"), DisableKeepAlives: true}}
	r, _ := http.NewRequestWithContext(c.ctx, method, "http://"+node+path, bytes.NewReader([]byte(body)))
	r.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := client.Do(r)
	if err != nil {
		return result{body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return result{body: err.Error()}
	}
	return result{status: response.StatusCode, body: string(data)}
}

func (c *cluster) complete(node, tokens string) result {
	return c.send(http.MethodPost, node, "/v1/completions", `{"model":"entry-text","prompt":"brief","stream":true,"max_tokens":`+tokens+`}`)
}

// testDrain drains n1 while it serves a stream of 15 s.
func testDrain(t *testing.T, outage bool) {
	withCluster(t, 3, func(c *cluster) {
		c.serveEngine(engine.New(c.ctx, engine.Options{PrefillRate: 1e6, TokenInterval: time.Second}).Handler())
		c.store.SetUnreachable(outage)
		stream := make(chan result, 1)
		go func() { stream <- c.complete("n1", "15") }()
		advance(time.Second)
		c.nodes["n1"].Drain()
		advance(100 * time.Millisecond)
		if got := c.send(http.MethodGet, "n1", "/readyz", ""); got.status != http.StatusServiceUnavailable {
			t.Errorf("readiness: status %d, want 503 at once", got.status)
		}
		if got := c.complete("n1", "1"); got.status != http.StatusOK {
			t.Errorf("request during the drain delay: %+v", got)
		}
		advance(5 * time.Second)
		if got := c.complete("n1", "1"); !strings.Contains(got.body, "1502") {
			t.Errorf("request after the drain delay: %+v, want code 1502", got)
		}
		if got := <-stream; got.status != http.StatusOK || strings.Count(got.body, `"text":"t`) != 15 || !strings.Contains(got.body, "[DONE]") {
			t.Errorf("stream that is longer than the drain delay: %+v", got)
		}
		finishedAt := time.Now()
		if err := <-c.done["n1"]; err != nil || time.Since(finishedAt) > 5*time.Second {
			t.Errorf("planned stop: %v, %v after the last request", err, time.Since(finishedAt))
		}
		if outage {
			return
		}
		sessions, err := confkv.Sessions(c.ctx, c.store)
		if err != nil || len(sessions) != 2 {
			t.Errorf("sessions %+v, error %v; want the entry of n1 deleted", sessions, err)
		}
	})
}

// TestDrain guards against a planned stop that interrupts a request, refuses
// one before the drain delay has passed, or does not delete the session entry.
func TestDrain(t *testing.T) {
	testDrain(t, false)
}

// TestDrainDuringOutage guards against a planned stop that depends on the
// key-value service.
func TestDrainDuringOutage(t *testing.T) {
	testDrain(t, true)
}

// delayedRecorder takes 12 s to complete a record.
type delayedRecorder struct {
	ingress.Recorder
	completed chan time.Time
}

func (delayedRecorder) Claim(context.Context, ingress.Claim) (*ingress.StoredResponse, *code.Error) {
	return nil, nil
}

func (r delayedRecorder) Complete(context.Context, ingress.Claim, ingress.StoredResponse) *code.Error {
	time.Sleep(12 * time.Second)
	r.completed <- time.Now()
	return nil
}

// TestDrainWaitsForRecord guards against a planned stop that finishes before the
// at-most-once record of an executed request is completed.
func TestDrainWaitsForRecord(t *testing.T) {
	withCluster(t, 1, func(c *cluster) {
		recorder := delayedRecorder{Recorder: ingress.NoRecorder(), completed: make(chan time.Time, 1)}
		c.recorder = recorder
		c.rules.Services = map[string]config.Service{"lodgement": {NonIdempotent: true, Class: "check"}}
		c.stops["n1"]()
		c.start("n1")
		call := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Tanagerspread-Request-Id", r.Header.Get("Tanagerspread-Request-Id"))
			_, _ = w.Write([]byte("lodged"))
		})
		c.serveBackend(vmlist.VM{ID: "s1", Role: string(fleet.RoleService), Serves: "lodgement"}, call)
		response := make(chan result, 1)
		go func() {
			response <- c.send(http.MethodPost, "n1", "/services/lodgement/entries", "{}", "Idempotency-Key", "k1")
		}()
		advance(time.Second)
		c.nodes["n1"].Drain()
		err := <-c.done["n1"]
		stopped := time.Now()
		select {
		case at := <-recorder.completed:
			if stopped.Before(at) || err != nil {
				t.Errorf("stopped at %v, record completed at %v, error %v", stopped, at, err)
			}
		default:
			t.Error("the node stopped before the record was completed")
		}
		if got := <-response; got.body != "lodged" {
			t.Errorf("response %+v", got)
		}
	})
}

// TestLeavingReportGossiped guards against new work on a server that sent its
// leaving report to one node only, while the VM list is behind.
func TestLeavingReportGossiped(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		c.serveEngine(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(engineclient.HeaderRequestID, r.Header.Get(engineclient.HeaderRequestID))
			w.Header().Set(engineclient.HeaderLeaving, "true")
			w.Header().Set(engineclient.HeaderExecution, engineclient.ExecutionNotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		c.complete("n1", "1")
		advance(3 * time.Second)
		for name := range c.nodes {
			if state := c.stateOfServer(name); state != "leaving" {
				t.Errorf("%s sees the server as %s, want leaving", name, state)
			}
		}
		advance(65 * time.Second)
		if state := c.stateOfServer("n2"); state != "probing" {
			t.Errorf("the server is %s after the leaving report has expired, want probing", state)
		}
	})
}

func (c *cluster) stateOfServer(node string) string {
	for _, server := range c.dump(node).Servers {
		return server.State
	}
	return "unknown"
}
