package soak

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"tanagerspread/standin/deployed"
)

// shortSeed is the seed that CI runs with few faults.
const shortSeed = 1

const (
	// shortFaults limits the run of shortSeed in CI to less than half a minute.
	shortFaults = 8
	// fullFaults is the number of faults of a full run.
	fullFaults = 20
)

// regressionSeeds are seeds that failed once:
//   - 103, 106, 107, 207: an engine that was unreachable when the issuer first
//     read its report received no order in the whole term
//     (TestUnreachableEngineReadAgain). CI runs one of the four, which have the
//     same cause.
var regressionSeeds = []uint64{106}

// TestSeeds guards against violated guarantees during a series of faults of
// processes, connections and the store. It runs shortSeed with few faults and
// each seed that failed once with all of them.
func TestSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes of the program")
	}
	binary := buildProgram(t)
	runSeed(t, Options{Binary: binary, Seed: shortSeed, Faults: shortFaults})
	for _, seed := range regressionSeeds {
		runSeed(t, Options{Binary: binary, Seed: seed, Faults: fullFaults})
	}
}

// TestSeedsAmidUntrusted guards against the same while untrusted clients are connected, and
// against nodes that exceed their memory or descriptors.
func TestSeedsAmidUntrusted(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes of the program")
	}
	runSeed(t, Options{Binary: buildProgram(t), Seed: shortSeed, Faults: shortFaults, Untrusted: 24})
}

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "tanagerspread")
	build := exec.Command("go", "build", "-o", binary, "tanagerspread/cmd/tanagerspread")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return binary
}

func runSeed(t *testing.T, options Options) {
	t.Helper()
	options.Dir = t.TempDir()
	seed := options.Seed
	report, err := Run(t.Context(), options)
	if err != nil {
		t.Fatalf("seed %d: %v\n%s", seed, err, report.Logs)
	}
	if len(report.Violations) > 0 {
		t.Errorf("seed %d: %s\nafter: %s\n%s", seed, strings.Join(report.Violations, "\n"), strings.Join(report.Injected, "\n"), report.Logs)
	}
	if report.Answered == 0 {
		t.Errorf("seed %d: none of %d calls succeeded", seed, report.Calls)
	}
}

// TestOracle guards against an oracle that overlooks a violated guarantee.
func TestOracle(t *testing.T) {
	run := func(id string) deployed.Request {
		return deployed.Request{
			Ran: true, Host: soakHost, URI: "/charge/" + id, Body: "body of " + id,
			Header: http.Header{"Request-Attempt-Id": {id}, "Tenant": {soakTenant}},
		}
	}
	spoofedTenant, withKey, otherSalt := run("a"), run("a"), run("a")
	spoofedTenant.Header.Set("Tenant", "forged")
	withKey.Header.Set("Api-Key", validKey)
	otherSalt.Weights = 2
	otherSalt.Header.Set("Cache-Salt", "m/1/")
	tests := map[string]struct {
		runs   []deployed.Request
		events int
		call   outcome
		want   string
	}{
		"in order":       {runs: []deployed.Request{run("a")}, call: successfulOutcome("a", "b to a"), want: ""},
		"ran twice":      {runs: []deployed.Request{run("a"), run("a")}, call: successfulOutcome("a", "b to a"), want: "ran 2 times"},
		"untrue refusal": {runs: []deployed.Request{run("a")}, call: outcome{id: "a", path: "/charge/", status: 503}, want: "was refused"},
		"never ran":      {call: successfulOutcome("a", "b to a"), want: "never ran"},
		"other answer":   {runs: []deployed.Request{run("a")}, call: successfulOutcome("a", "b to c"), want: "got the answer"},
		"forged tenant":  {runs: []deployed.Request{spoofedTenant}, call: successfulOutcome("a", "b to a"), want: "tenant"},
		"key passed on":  {runs: []deployed.Request{withKey}, call: successfulOutcome("a", "b to a"), want: "got key"},
		"other weights":  {runs: []deployed.Request{otherSalt}, events: 1, call: successfulOutcome("a", "b to a"), want: "weights 2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := &oracle{executions: map[string][]deployed.Request{}}
			s := &server{Server: &deployed.Server{ID: "i-0", Events: test.events}}
			for _, r := range test.runs {
				o.checkReceived(s, r)
			}
			o.checkOutcome(test.call)
			got := strings.Join(o.violations, "\n")
			if (test.want == "") != (got == "") || !strings.Contains(got, test.want) {
				t.Errorf("found %q, want %q", got, test.want)
			}
		})
	}
}

func successfulOutcome(id, body string) outcome {
	return outcome{id: id, path: "/charge/", status: http.StatusOK, body: body, complete: true}
}

// TestStreamEvents guards against an oracle that accepts a stream with a missing
// or repeated event.
func TestStreamEvents(t *testing.T) {
	complete := ""
	for _, number := range []string{"1", "2", "3", "4", "5", "6"} {
		complete += "id: " + number + "\ndata: piece " + number + "\n\n"
	}
	first, rest, _ := strings.Cut(complete, "\n\n")
	o := &oracle{}
	call := outcome{id: "a", path: "/review/", body: complete}
	if !o.matchesCall(call) {
		t.Error("a complete stream is not accepted")
	}
	for _, body := range []string{rest, first + "\n\n" + first + "\n\n" + rest} {
		call.body = body
		if o.matchesCall(call) {
			t.Errorf("accepted %q", body)
		}
	}
}
