package runtime_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
	"tanagerspread/node/ingress"
	"tanagerspread/node/runtime"
	"tanagerspread/standin/engine"
)

const testModel = "entry-text"

func testRules() *config.Rules {
	return &config.Rules{
		Organisations: map[request.Organisation]config.Organisation{"castlereagh": {}},
		Tokens:        map[request.Digest]config.Token{sha256.Sum256([]byte("secret")): {Organisation: "castlereagh"}},
		Classes:       map[request.Class]config.Class{"check": {QueueLimit: 10}},
		Models:        map[string]config.Model{testModel: {Weights: 1, Class: "check"}},
	}
}

// TestCompletion guards against a completion that does not pass from the caller
// to an engine and back, and against a repeated prompt that is not cached.
func TestCompletion(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	backend := httptest.NewServer(engine.New(ctx, engine.Options{PrefillRate: 1e6, TokenInterval: time.Millisecond, CacheBlocks: 100}).Handler())
	defer backend.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node, err := runtime.New(runtime.Options{
		Control:      control.Options{Node: "n1", Domain: "hobart-a", Charts: chart.Embedded(), ServerSlots: 8},
		Listener:     listener,
		Dial:         (&net.Dialer{}).DialContext,
		Recorder:     ingress.NoRecorder(),
		Logger:       logr.Discard(),
		MaxBodyBytes: 1 << 20,
	})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	node.Control().Tell(control.Configure{Version: 1, Rules: testRules()})
	node.Control().Tell(control.VMList{VMs: []control.VM{{
		ID: "e1", Address: strings.TrimPrefix(backend.URL, "http://"), Role: fleet.RoleEngine, Serves: testModel, Weights: 1,
	}}})
	prompt := strings.Repeat("sand ", 4000)
	body, _ := json.Marshal(map[string]any{"model": testModel, "prompt": prompt, "max_tokens": 3})
	for _, cached := range []int{0, 4000} {
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String()+"/v1/completions", bytes.NewReader(body))
		r.Header.Set("Authorization", "Bearer secret")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		var completion struct {
			Choices []struct{ Text string }
			Usage   struct {
				CachedTokens int `json:"cached_tokens"`
			}
		}
		if err := json.NewDecoder(response.Body).Decode(&completion); err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK || completion.Choices[0].Text != engine.Text(prompt, 3) {
			t.Fatalf("status %d, completion %+v", response.StatusCode, completion)
		}
		if completion.Usage.CachedTokens != cached {
			t.Errorf("cached tokens: got %d, want %d", completion.Usage.CachedTokens, cached)
		}
	}
	node.Drain()
	if err := <-done; err != nil {
		t.Fatalf("planned stop: %v", err)
	}
}
