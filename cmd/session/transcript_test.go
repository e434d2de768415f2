package session_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// longestText is the length of a request body that a transcript shows whole.
const longestText = 400

// shownHeaders are the headers that matter to a caller.
var shownHeaders = []string{
	"Content-Type", "Retry-After", "Tanagerspread-Code", "Tanagerspread-Execution", "Tanagerspread-Request-Id",
}

// transcript is the record of a session for its golden file.
type transcript struct {
	text  strings.Builder
	names []string
}

// name replaces a text that differs from run to run.
func (s *transcript) name(text, stable string) {
	s.names = append(s.names, text, stable)
}

func (s *transcript) note(text string) {
	s.text.WriteString("# " + text + "\n")
}

func (s *transcript) command(args string, exit int, out, errOut string) {
	fmt.Fprintf(&s.text, "$ tanagerctl %s\n%s%s[exit code %d]\n\n", args, out, errOut, exit)
}

var (
	identifier = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	instant    = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`)
	backend    = regexp.MustCompile(`(engine|service|store)-\d\d`)
	socket     = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

// stable returns the text with stable words for identifiers, times, ports and
// the choice between equal backend servers.
func (s *transcript) stable() string {
	text := strings.NewReplacer(s.names...).Replace(s.text.String())
	var seen []string
	text = identifier.ReplaceAllStringFunc(text, func(id string) string {
		if !slices.Contains(seen, id) {
			seen = append(seen, id)
		}
		return fmt.Sprintf("<id %d>", slices.Index(seen, id)+1)
	})
	text = instant.ReplaceAllString(text, "<time>")
	text = backend.ReplaceAllString(text, "$1-<n>")
	return socket.ReplaceAllString(text, "<address>")
}

// check compares the session with its golden file.
func (s *transcript) check(t *testing.T, name string) {
	t.Helper()
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".txt")).Assert(t, name, []byte(s.stable()))
}

// call is one request of a caller.
type call struct {
	node  *node
	path  string
	token string
	// key is the idempotency key, or empty.
	key  string
	body string
}

// answer is a whole response.
type answer struct {
	status int
	header http.Header
	body   string
}

func (w *world) request(c call) *http.Request {
	w.t.Helper()
	r, err := http.NewRequestWithContext(w.t.Context(), http.MethodPost, w.url(c.node.callers, c.path), strings.NewReader(c.body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	if c.key != "" {
		r.Header.Set("Idempotency-Key", c.key)
	}
	return r
}

// send sends a request, reads the whole response and records both.
func (w *world) send(c call) answer {
	w.t.Helper()
	response, err := w.client().Do(w.request(c))
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		w.t.Fatalf("%s %s: the response is cut off: %v", c.node.id, c.path, err)
	}
	got := answer{status: response.StatusCode, header: response.Header, body: string(body)}
	w.record(c, got)
	return got
}

func (w *world) record(c call, got answer) {
	shown := c.body
	if len(shown) > longestText {
		shown = fmt.Sprintf("%s ... (%d bytes)", c.body[:longestText/4], len(c.body))
	}
	s := &w.transcript.text
	fmt.Fprintf(s, "> POST %s %s\n> Authorization: Bearer %s\n", c.node.id, c.path, c.token)
	if c.key != "" {
		fmt.Fprintf(s, "> Idempotency-Key: %s\n", c.key)
	}
	fmt.Fprintf(s, "> %s\n< %d\n", shown, got.status)
	for _, name := range shownHeaders {
		if value := got.header.Get(name); value != "" {
			fmt.Fprintf(s, "< %s: %s\n", name, value)
		}
	}
	fmt.Fprintf(s, "%s\n\n", strings.TrimSpace(got.body))
}
