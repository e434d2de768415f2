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
	// castlereaghToken and sandbarGuildToken are bearer tokens of two
	// organisations in the example rules.
	castlereaghToken  = "example-castlereagh"
	sandbarGuildToken = "example-sandbar-guild"
	completionsPath   = "/v1/completions"
	// promptBlocks is the length of the repeated prompt in cache blocks.
	promptBlocks = 3
	// streamTokens is the length in tokens of a stream that hangs in the middle.
	streamTokens = 20
	// maxStreamAttempts limits the streams that are sent until one hangs before
	// its end.
	maxStreamAttempts = 20
)

// completionBody returns the request body of a streamed completion.
func completionBody(t *testing.T, prompt string, maxTokens int) string {
	t.Helper()
	body, err := json.Marshal(map[string]any{"model": "entry-text", "prompt": prompt, "max_tokens": maxTokens, "stream": true})
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// longPrompt returns a prompt whose length is a multiple of the cache block size.
func longPrompt() string {
	const line = "Each plot is measured at low tide and again before judging. "
	size := promptBlocks * cachekey.BlockBytes
	return strings.Repeat(line, size/len(line)+1)[:size]
}

// TestReturningSession guards against an incomplete streamed response, a repeated
// prompt that is recomputed, and cache blocks that are used for another
// organisation.
func TestReturningSession(t *testing.T) {
	site := startSiteWithRules(t, nil)
	transcript := &site.transcript
	body := completionBody(t, longPrompt(), 4)
	transcript.addComment("A prompt arrives for the first time.")
	first := site.send(testRequest{node: site.nodes[0], path: completionsPath, token: castlereaghToken, body: body})
	site.clearEngineCaches()
	transcript.addComment("The engines lost it. The same prompt returns at another node.")
	site.send(testRequest{node: site.nodes[1], path: completionsPath, token: castlereaghToken, body: body})
	site.callSwitch(http.MethodPost, "/engines/clear-cache", nil)
	transcript.addComment("Another organisation sends the same prompt.")
	site.send(testRequest{node: site.nodes[2], path: completionsPath, token: sandbarGuildToken, body: body})
	transcript.addComment("Operators look.")
	site.recordCommand("status")
	site.recordCommand("explain", first.header.Get("Tanagerspread-Request-Id"))
	site.checkDump(site.nodes[0])
	for _, n := range site.nodes {
		checkNoChildren(t, n.program)
	}
	transcript.compareGolden(t, "returning")
}

// checkDump checks the fields of a dump that are the same in each run, and that
// the dump contains no prompt text and no token.
func (site *testSite) checkDump(n *node) {
	site.t.Helper()
	var dump control.Dump
	text := site.runCommand("dump", n.id, "--output", "json")
	if err := json.Unmarshal([]byte(text), &dump); err != nil {
		site.t.Fatal(err)
	}
	if dump.Node != n.id || dump.State != "ready" || dump.Version != 1 || len(dump.Decisions) == 0 || len(dump.Servers) == 0 {
		site.t.Errorf("dump: %s", text)
	}
	for _, hidden := range []string{"low tide", castlereaghToken} {
		if strings.Contains(text, hidden) {
			site.t.Errorf("the dump contains %q", hidden)
		}
	}
}

// runCommand runs tanagerctl against the site and returns its standard output. It
// does not record the command in the transcript.
func (site *testSite) runCommand(args ...string) string {
	site.t.Helper()
	exit, out, errOut := runTanagerctl(site.t, append(args, "--vm-list", site.VMList)...)
	if exit != 0 {
		site.t.Fatalf("%v: exit code %d, %s", args, exit, errOut)
	}
	return out
}

// TestLodgement guards against a second run of a call with an idempotency key and
// a repeat that receives another response than the first call.
func TestLodgement(t *testing.T) {
	site := startSiteWithRules(t, nil)
	transcript := &site.transcript
	lodgement := testRequest{node: site.nodes[0], path: "/services/lodgement/entries", token: castlereaghToken, idempotencyKey: "entry-7", body: `{"plot":14}`}
	transcript.addComment("An entry is lodged.")
	first := site.send(lodgement)
	transcript.addComment("The call is repeated at another node.")
	lodgement.node = site.nodes[1]
	repeat := site.send(lodgement)
	if repeat.body != first.body || repeat.status != first.status {
		t.Errorf("the repeat received %q, want the response of the first call: %q", repeat.body, first.body)
	}
	transcript.addComment("The same key comes with another body.")
	lodgement.body = `{"plot":15}`
	site.send(lodgement)
	transcript.addComment("The key is missing.")
	lodgement.idempotencyKey = ""
	site.send(lodgement)
	transcript.addComment("Another organisation uses the same key for an entry of its own.")
	site.send(testRequest{node: site.nodes[2], path: lodgement.path, token: sandbarGuildToken, idempotencyKey: "entry-7", body: `{"plot":14}`})
	transcript.addComment("The token is unknown.")
	site.send(testRequest{node: site.nodes[2], path: lodgement.path, token: "nobody", idempotencyKey: "entry-8", body: `{"plot":14}`})
	if runs := site.counters().ServiceRuns; runs != 2 {
		t.Errorf("the service ran %d times, want 2", runs)
	}
	transcript.compareGolden(t, "lodgement")
}

// TestKeyValueOutage makes the key-value service unreachable. It guards against a
// node that then refuses idempotent calls or runs a call with an idempotency key
// without its at-most-once record, and against an apply that is reported as
// written.
func TestKeyValueOutage(t *testing.T) {
	site := startSiteWithRules(t, nil)
	transcript := &site.transcript
	site.callSwitch(http.MethodPost, "/kv/outage?on=true", nil)
	transcript.addComment("The key-value service is away. A keyed call is refused.")
	lodgement := testRequest{node: site.nodes[0], path: "/services/lodgement/entries", token: castlereaghToken, idempotencyKey: "entry-9", body: `{"plot":14}`}
	site.send(lodgement)
	transcript.addComment("A lookup is served.")
	site.send(testRequest{node: site.nodes[1], path: "/services/lookup/tides", token: castlereaghToken, body: "{}"})
	transcript.addComment("Rules cannot be applied.")
	site.recordCommand(withoutVMList(site.applyArgs(1, "ann", "apply-ann", derwentRules))...)
	site.callSwitch(http.MethodPost, "/kv/outage?on=false", nil)
	transcript.addComment("The service is back. The keyed call is repeated and runs.")
	site.send(lodgement)
	site.recordCommand("status")
	transcript.compareGolden(t, "outage")
}

// TestConflictingApplies guards against an apply that silently overwrites the
// apply of another operator that is based on the same version.
func TestConflictingApplies(t *testing.T) {
	site := startSiteWithRules(t, nil)
	transcript := &site.transcript
	changed := site.writeChangedRules()
	transcript.addComment("Two operators change the rules from version 1.")
	site.recordCommand(withoutVMList(site.applyArgs(1, "ann", "apply-ann", changed))...)
	site.recordCommand(withoutVMList(site.applyArgs(1, "bob", "apply-bob", "../../ctl/example/ulan.rules"))...)
	transcript.addComment("The first one repeats her apply, because she saw no response.")
	site.recordCommand(withoutVMList(site.applyArgs(1, "ann", "apply-ann", changed))...)
	site.recordCommand("rules", "history", "--key-value", site.KV)
	site.recordCommand("rules", "history", "--key-value", site.KV, "--output", "json")
	shown := site.runCommand("rules", "show", "--key-value", site.KV)
	if !strings.HasPrefix(shown, "; version 2, applied by ann at ") || !strings.Contains(shown, "[organisations]") {
		t.Errorf("rules show: %s", shown)
	}
	site.recordCommand("status")
	transcript.compareGolden(t, "applies")
}

// writeChangedRules writes a copy of the example rules with one more rule and
// returns its path.
func (site *testSite) writeChangedRules() string {
	site.t.Helper()
	text, err := os.ReadFile(derwentRules)
	if err != nil {
		site.t.Fatal(err)
	}
	path := filepath.Join(site.t.TempDir(), "changed.rules")
	text = append(text, "[servers]\nengine-99 = leaving=yes ; ann, out for repair\n"...)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		site.t.Fatal(err)
	}
	site.transcript.replace(path, "changed.rules")
	return path
}

// withoutVMList returns args without the option --vm-list and its value, which
// recordCommand adds. They are at indexes 4 and 5 of applyArgs.
func withoutVMList(args []string) []string {
	return append(append([]string{}, args[:4]...), args[6:]...)
}

// TestPlannedStop guards against a planned stop that cuts off a stream, and a
// status that hides a node that has exited.
func TestPlannedStop(t *testing.T) {
	site := startSiteWithRules(t, nil)
	transcript := &site.transcript
	stopped, drained := site.nodes[0], site.nodes[1]
	transcript.addComment("SIGTERM arrives during a stream.")
	streamed := testRequest{node: stopped, path: completionsPath, token: castlereaghToken, body: completionBody(t, "low tide at nine", streamTokens)}
	response, firstByte := site.hangMidStream(streamed)
	defer func() { _ = response.Body.Close() }()
	stopped.signal(t, syscall.SIGTERM)
	site.awaitState(stopped, "draining")
	site.callSwitch(http.MethodPost, "/engines/hang?on=false", nil)
	rest, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("the stream was cut off: %v", err)
	}
	site.recordExchange(streamed, completeResponse{status: response.StatusCode, header: response.Header, body: firstByte + string(rest)})
	if exit := stopped.exitCode(t); exit != 0 {
		t.Errorf("%s exited with code %d, want 0", stopped.id, exit)
	}
	transcript.addComment("An operator drains another node.")
	site.recordCommand("drain", drained.id)
	if exit := drained.exitCode(t); exit != 0 {
		t.Errorf("%s exited with code %d, want 0", drained.id, exit)
	}
	site.awaitReady()
	site.recordCommand("status")
	site.recordCommand("status", "--output", "json")
	transcript.compareGolden(t, "stop")
}

// hangMidStream sends a streamed completion and makes the engines hang in the
// middle of it. It returns the response and the first byte, which was read from
// its body. It sends the request again when the stream finished before the
// engines hung.
func (site *testSite) hangMidStream(request testRequest) (*http.Response, string) {
	site.t.Helper()
	for range maxStreamAttempts {
		response, err := site.httpClient().Do(site.newHTTPRequest(request))
		if err != nil {
			site.t.Fatal(err)
		}
		firstByte := make([]byte, 1)
		if _, err := io.ReadFull(response.Body, firstByte); err != nil {
			site.t.Fatal(err)
		}
		site.callSwitch(http.MethodPost, "/engines/hang?on=true", nil)
		if site.counters().Running > 0 {
			return response, string(firstByte)
		}
		site.callSwitch(http.MethodPost, "/engines/hang?on=false", nil)
		_ = response.Body.Close()
	}
	site.t.Fatal("every stream finished before the engines hung")
	return nil, ""
}
