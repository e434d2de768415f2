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

// maxShownBytes is the longest request body that a transcript shows in full.
const maxShownBytes = 400

// shownHeaders are the response headers that a transcript shows.
var shownHeaders = []string{
	"Content-Type", "Retry-After", "Tanagerspread-Code", "Tanagerspread-Execution", "Tanagerspread-Request-Id",
}

// transcript records the commands, requests and responses of a session for
// comparison with its golden file.
type transcript struct {
	text         strings.Builder
	replacements []string
}

// replace registers a replacement for a text that differs between runs. The
// method normalized applies it.
func (s *transcript) replace(text, replacement string) {
	s.replacements = append(s.replacements, text, replacement)
}

func (s *transcript) addComment(text string) {
	s.text.WriteString("# " + text + "\n")
}

func (s *transcript) addCommand(args string, exit int, out, errOut string) {
	fmt.Fprintf(&s.text, "$ tanagerctl %s\n%s%s[exit code %d]\n\n", args, out, errOut, exit)
}

var (
	idPattern      = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	timePattern    = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`)
	serverPattern  = regexp.MustCompile(`(engine|service|store)-\d\d`)
	addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

// normalized returns the text with placeholders for identifiers, times, addresses
// and the numbers of equivalent backend servers.
func (s *transcript) normalized() string {
	text := strings.NewReplacer(s.replacements...).Replace(s.text.String())
	var seen []string
	text = idPattern.ReplaceAllStringFunc(text, func(id string) string {
		if !slices.Contains(seen, id) {
			seen = append(seen, id)
		}
		return fmt.Sprintf("<id %d>", slices.Index(seen, id)+1)
	})
	text = timePattern.ReplaceAllString(text, "<time>")
	text = serverPattern.ReplaceAllString(text, "$1-<n>")
	return addressPattern.ReplaceAllString(text, "<address>")
}

// compareGolden compares the normalized transcript with its golden file.
func (s *transcript) compareGolden(t *testing.T, name string) {
	t.Helper()
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".txt")).Assert(t, name, []byte(s.normalized()))
}

// testRequest is a request of a caller.
type testRequest struct {
	node  *node
	path  string
	token string
	// idempotencyKey is empty for a request without a key.
	idempotencyKey string
	body           string
}

// completeResponse is a response with its complete body.
type completeResponse struct {
	status int
	header http.Header
	body   string
}

func (site *testSite) newHTTPRequest(request testRequest) *http.Request {
	site.t.Helper()
	r, err := http.NewRequestWithContext(site.t.Context(), http.MethodPost, site.url(request.node.callerAddress, request.path), strings.NewReader(request.body))
	if err != nil {
		site.t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/json")
	if request.token != "" {
		r.Header.Set("Authorization", "Bearer "+request.token)
	}
	if request.idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", request.idempotencyKey)
	}
	return r
}

// send sends a request, reads the complete response and records both.
func (site *testSite) send(request testRequest) completeResponse {
	site.t.Helper()
	response, err := site.httpClient().Do(site.newHTTPRequest(request))
	if err != nil {
		site.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		site.t.Fatalf("%s %s: the response was cut off: %v", request.node.id, request.path, err)
	}
	complete := completeResponse{status: response.StatusCode, header: response.Header, body: string(body)}
	site.recordExchange(request, complete)
	return complete
}

func (site *testSite) recordExchange(request testRequest, response completeResponse) {
	body := request.body
	if len(body) > maxShownBytes {
		body = fmt.Sprintf("%s ... (%d bytes)", request.body[:maxShownBytes/4], len(request.body))
	}
	text := &site.transcript.text
	fmt.Fprintf(text, "> POST %s %s\n> Authorization: Bearer %s\n", request.node.id, request.path, request.token)
	if request.idempotencyKey != "" {
		fmt.Fprintf(text, "> Idempotency-Key: %s\n", request.idempotencyKey)
	}
	fmt.Fprintf(text, "> %s\n< %d\n", body, response.status)
	for _, name := range shownHeaders {
		if value := response.header.Get(name); value != "" {
			fmt.Fprintf(text, "< %s: %s\n", name, value)
		}
	}
	fmt.Fprintf(text, "%s\n\n", strings.TrimSpace(response.body))
}
