package session_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/control"
)

const (
	// castlereagh and guild are tokens of two organisations of the rules.
	castlereagh = "example-castlereagh"
	guild       = "example-sandbar-guild"
	completions = "/v1/completions"
	// promptBlocks is the length of the returning prompt in cache blocks.
	promptBlocks = 3
	// streamTokens is the length of a stream that is held in the middle.
	streamTokens = 20
	// streamTries bounds the streams that are sent until one can be held.
	streamTries = 20
)

// completion returns the body of a streamed completion.
func completion(t *testing.T, prompt string, maxTokens int) string {
	t.Helper()
	body, err := json.Marshal(map[string]any{"model": "entry-text", "prompt": prompt, "max_tokens": maxTokens, "stream": true})
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// longPrompt returns a prompt of whole cache blocks.
func longPrompt() string {
	const line = "Each plot is measured at low tide and again before judging. "
	size := promptBlocks * cachekey.BlockBytes
	return strings.Repeat(line, size/len(line)+1)[:size]
}

// TestReturningSession guards against a streamed response that is not whole,
// a returning prompt that is computed again, and cache blocks that reach
// another organisation.
func TestReturningSession(t *testing.T) {
	w := openWithRules(t, nil)
	s := &w.transcript
	body := completion(t, longPrompt(), 4)
	s.note("A prompt arrives for the first time.")
	first := w.send(call{node: w.nodes[0], path: completions, token: castlereagh, body: body})
	w.loseCache()
	s.note("The engines lost it. The same prompt returns at another node.")
	w.send(call{node: w.nodes[1], path: completions, token: castlereagh, body: body})
	w.turn(http.MethodPost, "/engines/clear-cache", nil)
	s.note("Another organisation sends the same prompt.")
	w.send(call{node: w.nodes[2], path: completions, token: guild, body: body})
	s.note("Operators look.")
	w.operate("status")
	w.operate("explain", first.header.Get("Tanagerspread-Request-Id"))
	w.checkDump(w.nodes[0])
	for _, n := range w.nodes {
		checkNoChildren(t, n.program)
	}
	s.check(t, "returning")
}

// checkDump looks at the parts of a dump that are the same in each run.
func (w *world) checkDump(n *node) {
	w.t.Helper()
	var dump control.Dump
	text := w.quietly("dump", n.id, "--output", "json")
	if err := json.Unmarshal([]byte(text), &dump); err != nil {
		w.t.Fatal(err)
	}
	if dump.Node != n.id || dump.State != "ready" || dump.Version != 1 || len(dump.Decisions) == 0 || len(dump.Servers) == 0 {
		w.t.Errorf("dump: %s", text)
	}
	for _, hidden := range []string{"low tide", castlereagh} {
		if strings.Contains(text, hidden) {
			w.t.Errorf("the dump shows %q", hidden)
		}
	}
}

// quietly runs tanagerctl against the site without recording it.
func (w *world) quietly(args ...string) string {
	w.t.Helper()
	exit, out, errOut := ctl(w.t, append(args, "--vm-list", w.VMList)...)
	if exit != 0 {
		w.t.Fatalf("%v: exit code %d, %s", args, exit, errOut)
	}
	return out
}

// TestLodgement guards against a second run of a keyed call and a repeat that
// receives another response than the kept one.
func TestLodgement(t *testing.T) {
	w := openWithRules(t, nil)
	s := &w.transcript
	lodge := call{node: w.nodes[0], path: "/services/lodgement/entries", token: castlereagh, key: "entry-7", body: `{"plot":14}`}
	s.note("An entry is lodged.")
	first := w.send(lodge)
	s.note("The call is repeated at another node.")
	lodge.node = w.nodes[1]
	repeat := w.send(lodge)
	if repeat.body != first.body || repeat.status != first.status {
		t.Errorf("the repeat received %q, the first call %q", repeat.body, first.body)
	}
	s.note("The same key comes with another body.")
	lodge.body = `{"plot":15}`
	w.send(lodge)
	s.note("The key is missing.")
	lodge.key = ""
	w.send(lodge)
	s.note("Another organisation uses the same key for an entry of its own.")
	w.send(call{node: w.nodes[2], path: lodge.path, token: guild, key: "entry-7", body: `{"plot":14}`})
	s.note("The token is unknown.")
	w.send(call{node: w.nodes[2], path: lodge.path, token: "nobody", key: "entry-8", body: `{"plot":14}`})
	if runs := w.counters().ServiceRuns; runs != 2 {
		t.Errorf("the service ran %d times, want 2", runs)
	}
	s.check(t, "lodgement")
}

// TestKeyValueOutage guards against an outage of the key-value service that
// stops idempotent work, lets a keyed call run without its record, or lets an
// apply be reported as written.
func TestKeyValueOutage(t *testing.T) {
	w := openWithRules(t, nil)
	s := &w.transcript
	w.turn(http.MethodPost, "/kv/outage?on=true", nil)
	s.note("The key-value service is away. A keyed call is refused.")
	lodge := call{node: w.nodes[0], path: "/services/lodgement/entries", token: castlereagh, key: "entry-9", body: `{"plot":14}`}
	w.send(lodge)
	s.note("A lookup is served.")
	w.send(call{node: w.nodes[1], path: "/services/lookup/tides", token: castlereagh, body: "{}"})
	s.note("Rules cannot be applied.")
	w.operate(withoutVMList(w.applyArguments(1, "ann", "apply-ann", derwent))...)
	w.turn(http.MethodPost, "/kv/outage?on=false", nil)
	s.note("The service is back. The keyed call is repeated and runs.")
	w.send(lodge)
	w.operate("status")
	s.check(t, "outage")
}

// TestConflictingApplies guards against an apply that silently replaces one
// of another operator.
func TestConflictingApplies(t *testing.T) {
	w := openWithRules(t, nil)
	s := &w.transcript
	changed := w.addedRule()
	s.note("Two operators change the rules from version 1.")
	w.operate(withoutVMList(w.applyArguments(1, "ann", "apply-ann", changed))...)
	w.operate(withoutVMList(w.applyArguments(1, "bob", "apply-bob", "../../ctl/example/ulan.rules"))...)
	s.note("The first one repeats her apply, because she saw no response.")
	w.operate(withoutVMList(w.applyArguments(1, "ann", "apply-ann", changed))...)
	w.operate("rules", "history", "--key-value", w.KV)
	w.operate("rules", "history", "--key-value", w.KV, "--output", "json")
	shown := w.quietly("rules", "show", "--key-value", w.KV)
	if !strings.HasPrefix(shown, "; version 2, applied by ann at ") || !strings.Contains(shown, "[organisations]") {
		t.Errorf("rules show: %s", shown)
	}
	w.operate("status")
	s.check(t, "applies")
}

// addedRule returns a copy of the example rules with one more rule.
func (w *world) addedRule() string {
	w.t.Helper()
	text, err := os.ReadFile(derwent)
	if err != nil {
		w.t.Fatal(err)
	}
	path := filepath.Join(w.t.TempDir(), "changed.rules")
	text = append(text, "[servers]\nengine-99 = leaving=yes ; ann, out for repair\n"...)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.transcript.name(path, "changed.rules")
	return path
}

// withoutVMList leaves out what operate adds.
func withoutVMList(args []string) []string {
	return append(append([]string{}, args[:4]...), args[6:]...)
}

// TestPlannedStop guards against a planned stop that cuts off a stream, and a
// status that hides a node that is gone.
func TestPlannedStop(t *testing.T) {
	w := openWithRules(t, nil)
	s := &w.transcript
	stopped, drained := w.nodes[0], w.nodes[1]
	s.note("SIGTERM arrives during a stream.")
	c := call{node: stopped, path: completions, token: castlereagh, body: completion(t, "low tide at nine", streamTokens)}
	response, begun := w.holdStream(c)
	defer func() { _ = response.Body.Close() }()
	stopped.signal(t, syscall.SIGTERM)
	w.awaitState(stopped, "draining")
	w.turn(http.MethodPost, "/engines/hang?on=false", nil)
	rest, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("the stream was cut off: %v", err)
	}
	w.record(c, answer{status: response.StatusCode, header: response.Header, body: begun + string(rest)})
	if exit := stopped.exitCode(t); exit != 0 {
		t.Errorf("%s ended with exit code %d", stopped.id, exit)
	}
	s.note("An operator drains another node.")
	w.operate("drain", drained.id)
	if exit := drained.exitCode(t); exit != 0 {
		t.Errorf("%s ended with exit code %d", drained.id, exit)
	}
	w.awaitReady()
	w.operate("status")
	w.operate("status", "--output", "json")
	s.check(t, "stop")
}

// holdStream sends a streamed completion and stops the engines in the middle
// of it. It returns the response with the part that was read. A stream that
// ended before the engines stopped is sent again.
func (w *world) holdStream(c call) (*http.Response, string) {
	w.t.Helper()
	for range streamTries {
		response, err := w.client().Do(w.request(c))
		if err != nil {
			w.t.Fatal(err)
		}
		begun := make([]byte, 1)
		if _, err := io.ReadFull(response.Body, begun); err != nil {
			w.t.Fatal(err)
		}
		w.turn(http.MethodPost, "/engines/hang?on=true", nil)
		if w.counters().Running > 0 {
			return response, string(begun)
		}
		w.turn(http.MethodPost, "/engines/hang?on=false", nil)
		_ = response.Body.Close()
	}
	w.t.Fatal("no stream could be held")
	return nil, ""
}
