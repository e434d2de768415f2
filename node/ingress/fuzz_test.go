package ingress

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"tanagerspread/core/code"
)

// FuzzDecodeCompletion guards against a body that crashes the decoder, a
// decoded call that exceeds a limit, and a refusal whose execution class
// differs from not-run.
func FuzzDecodeCompletion(f *testing.F) {
	for _, body := range []string{
		`{"model":"m","prompt":"p"}`,
		`{"model":"m","messages":[{"role":"user","content":"c"}],"max_tokens":5,"stream":true}`,
		`{"model":"m","prompt":"p","max_tokens":99999999999999999999}`,
		`{"model":null,"messages":{}}`, `[`, "\x00", `{"model":"m","prompt":"p"}{}`, strings.Repeat(`[`, 20000),
	} {
		f.Add([]byte(body), true)
		f.Add([]byte(body), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		call, err := decodeCompletion(body, chat)
		if err != nil {
			if execution := err.Info().Execution; execution != code.NotRun {
				t.Errorf("code %d has execution %s", err.Code, execution)
			}
			return
		}
		if call.Model == "" || len(call.Model) > maxNameBytes || call.Prompt == "" || call.MaxTokens < 1 || call.MaxTokens > maxTokensLimit {
			t.Errorf("accepted %+v", call)
		}
	})
}

// FuzzReadHeaders guards against headers that crash the decoder, and against
// accepting repeated headers, long names or a deadline out of bounds.
func FuzzReadHeaders(f *testing.F) {
	f.Add("Bearer secret", "key", "500", "check", false)
	f.Add("Bearer secret", "key", "500", strings.Repeat("c", 129), false)
	f.Add("bearer  ", "", "-1", "", true)
	f.Add("Basic x", strings.Repeat("k", 256), "9999999999999999999", strings.Repeat("c", 129), false)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	f.Fuzz(func(t *testing.T, token, key, deadline, class string, repeated bool) {
		header := http.Header{"Authorization": {token}, headerIdempotencyKey: {key}, headerDeadline: {deadline}, headerClass: {class}}
		if repeated {
			header.Add(headerDeadline, "1")
		}
		fields, err := readHeaders(header, now)
		if err != nil {
			return
		}
		remaining := fields.deadline.Sub(now)
		if repeated || remaining <= 0 || remaining > maxTimeToDeadline || len(fields.class) > maxNameBytes || len(fields.keyDigest) != 64 {
			t.Errorf("accepted %+v", fields)
		}
	})
}
