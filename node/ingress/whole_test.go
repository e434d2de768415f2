package ingress_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/client/service"
	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
)

// writeEvent writes one event of a completion.
func writeEvent(rw http.ResponseWriter, id string, sequence int, done bool) {
	event := engine.CompletionEvent{RequestID: id, Sequence: sequence, Done: done, FinishReason: "length"}
	if !done {
		event.Text = fmt.Sprintf("t%d ", sequence)
	}
	data, _ := json.Marshal(event)
	_, _ = rw.Write([]byte("data: " + string(data) + "\n\n"))
	_ = http.NewResponseController(rw).Flush()
}

// engineHandler is an engine without faults unless fault is set. fault runs
// before the event with sequence number 1 and ends the response by returning
// false.
func (c *cluster) engineHandler(name string, fault func(rw http.ResponseWriter, r *http.Request, id string) bool) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var call engine.CompletionRequest
		_ = json.NewDecoder(r.Body).Decode(&call)
		c.countRun(name)
		time.Sleep(10 * time.Millisecond)
		from := 0
		if call.Resume != nil {
			from = call.Resume.From
		}
		for i := from; i < call.MaxTokens; i++ {
			if i == 1 && fault != nil && !fault(rw, r, call.RequestID) {
				return
			}
			writeEvent(rw, call.RequestID, i, false)
		}
		writeEvent(rw, call.RequestID, call.MaxTokens, true)
	})
}

// midstreamFaults are the faults of an engine after its first token, by name.
var midstreamFaults = map[string]func(rw http.ResponseWriter, r *http.Request, id string) bool{
	"crossed": func(rw http.ResponseWriter, _ *http.Request, _ string) bool {
		writeEvent(rw, "another", 1, false)
		return true
	},
	"duplicated": func(rw http.ResponseWriter, _ *http.Request, id string) bool {
		writeEvent(rw, id, 0, false)
		return true
	},
	"gap": func(rw http.ResponseWriter, _ *http.Request, id string) bool {
		writeEvent(rw, id, 2, false)
		return true
	},
	"truncated": func(http.ResponseWriter, *http.Request, string) bool { return false },
	"death":     func(http.ResponseWriter, *http.Request, string) bool { panic(http.ErrAbortHandler) },
	"silent":    func(_ http.ResponseWriter, r *http.Request, _ string) bool { <-r.Context().Done(); return false },
}

// completionText returns the text of a completion response and whether the
// response is complete.
func completionText(body string, stream bool) (string, bool) {
	lines := []string{body}
	if stream {
		lines = strings.Split(body, "\n\n")
	}
	text := ""
	finished := false
	for _, line := range lines {
		var chunk struct {
			Choices []struct {
				Text           string
				Message, Delta struct{ Content string }
				FinishReason   *string `json:"finish_reason"`
			}
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &chunk) != nil || len(chunk.Choices) != 1 {
			continue
		}
		choice := chunk.Choices[0]
		text += choice.Text + choice.Message.Content + choice.Delta.Content
		finished = choice.FinishReason != nil
	}
	return text, finished && (!stream || strings.HasSuffix(body, "data: [DONE]\n\n"))
}

// TestCompleteCompletionsOnly guards against completions that reach the caller
// with events of another request, or with duplicated or missing events, and
// against streams that end without a finish reason or an error event.
func TestCompleteCompletionsOnly(t *testing.T) {
	for name, fault := range midstreamFaults {
		for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s%s stream=%t", name, path, stream), func(t *testing.T) {
					runInCluster(t, func(c *cluster) {
						c.addServer("e1", fleet.RoleEngine, "entry-text", c.engineHandler("e1", fault))
						unresumed := c.addNode("a").call(http.MethodPost, path, "", completionBody(stream))
						attempts := c.runCount("e1")
						b := c.addNode("b")
						c.addServer("e2", fleet.RoleEngine, "entry-text", c.engineHandler("e2", nil))
						b.sendVMListAfter(time.Millisecond)
						resumed := b.call(http.MethodPost, path, "", completionBody(stream))
						checkUnresumed(t, unresumed, stream)
						if text, complete := completionText(resumed.body, stream); text != "t0 t1 t2 " || !complete {
							t.Errorf("incomplete after a resume: %s", resumed.body)
						}
						if attempts > 4 || c.runCount("e1") != attempts+1 || c.runCount("e2") != 1 {
							t.Errorf("%d attempts without another engine, then runs %v, want one more of e1 and one of e2", attempts, c.runs)
						}
					})
				})
			}
		}
	}
}

// checkUnresumed checks the response of a completion that failed midstream when
// no other server can resume it.
func checkUnresumed(t *testing.T, got reply, stream bool) {
	t.Helper()
	if !stream {
		if got.status < 500 || got.execution != code.Unknown {
			t.Errorf("got %+v, want an error of class unknown", got)
		}
		return
	}
	text, complete := completionText(got.body, true)
	if text != "t0 " || complete || !strings.Contains(got.body, `"execution":"unknown"`) || !strings.HasSuffix(got.body, "data: [DONE]\n\n") {
		t.Errorf("got %s, want one token and an error event", got.body)
	}
}

// TestKeyedCompletion guards against resuming a completion with an idempotency
// key, which must not run twice, and against losing the record of its unknown
// outcome.
func TestKeyedCompletion(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		c.addServer("e1", fleet.RoleEngine, "entry-text", c.engineHandler("e1", midstreamFaults["death"]))
		a := c.addNode("a")
		c.addServer("e2", fleet.RoleEngine, "entry-text", c.engineHandler("e2", nil))
		a.sendVMListAfter(time.Millisecond)
		checkUnresumed(t, a.call(http.MethodPost, "/v1/completions", "k", completionBody(true)), true)
		expectReply(t, c.addNode("b").call(http.MethodPost, "/v1/completions", "k", completionBody(true)), 409, code.InProgress)
		if c.runCount("e1") != 1 || c.runCount("e2") != 0 {
			t.Errorf("runs: %v, want 1 and 0", c.runs)
		}
	})
}

// TestUnresponsiveServer guards against waiting forever for a server that reads
// nothing, or that reads the request and sends nothing.
func TestUnresponsiveServer(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		c.addServer("e1", fleet.RoleEngine, "entry-text", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}))
		c.addServer("e2", fleet.RoleEngine, "entry-text", nil)
		n := c.addNode("a")
		c.addServer("e3", fleet.RoleEngine, "entry-text", c.engineHandler("e3", nil))
		// The third server is added during the attempt at the second one.
		n.sendVMListAfter(45 * time.Second)
		start := time.Now()
		got := n.call(http.MethodPost, "/v1/completions", "", completionBody(false))
		if text, _ := completionText(got.body, false); text != "t0 t1 t2 " || n.dials.Load() != 3 {
			t.Errorf("got %+v after %d dials and %s", got, n.dials.Load(), time.Since(start))
		}
	})
}

// rawResponse writes the given headers and body as they are and closes the
// connection. "ID" is replaced by the header with the request id.
func rawResponse(text string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, _ := rw.(http.Hijacker).Hijack()
		id := r.Header.Get(service.HeaderRequestID)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + strings.ReplaceAll(text, "ID", service.HeaderRequestID+": "+id)))
		_ = conn.Close()
	})
}

// TestCompleteServiceResponsesOnly guards against delivering a response of a
// plain service that is truncated, may be truncated, or belongs to another
// call.
func TestCompleteServiceResponsesOnly(t *testing.T) {
	for name, text := range map[string]string{
		"short body":  "ID\r\nContent-Length: 100\r\n\r\nhalf",
		"no length":   "ID\r\n\r\nhalf",
		"short chunk": "ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"two lengths": "ID\r\nContent-Length: 4\r\nContent-Length: 100\r\n\r\nhalf",
		"no echo":     "Content-Length: 4\r\n\r\nhalf",
		"crossed":     "Tanagerspread-Request-Id: another\r\nContent-Length: 4\r\n\r\nhalf",
	} {
		runInCluster(t, func(c *cluster) {
			c.addServer("s1", fleet.RoleService, "lookup", rawResponse(text))
			c.addServer("s2", fleet.RoleService, "lodgement", rawResponse(text))
			n := c.addNode("a")
			for _, got := range []reply{n.call(http.MethodGet, "/services/lookup/tide", "", ""), n.callLodgement("k")} {
				if got.status < 500 || got.execution != code.Unknown {
					t.Errorf("%s: got %+v, want an error of class unknown", name, got)
				}
			}
		})
	}
}

// TestEchoOptional guards against refusing responses without a request id from a
// service that the rules exempt from echoing it, and against accepting a wrong
// request id from such a service.
func TestEchoOptional(t *testing.T) {
	for text, want := range map[string]int{
		"Content-Length: 4\r\n\r\nhalf":                                      http.StatusOK,
		"Tanagerspread-Request-Id: another\r\nContent-Length: 4\r\n\r\nhalf": http.StatusBadGateway,
	} {
		runInCluster(t, func(c *cluster) {
			c.addServer("s1", fleet.RoleService, "plain", rawResponse(text))
			if got := c.addNode("a").call(http.MethodGet, "/services/plain/tide", "", ""); got.status != want {
				t.Errorf("%q: status %d, want %d", text, got.status, want)
			}
		})
	}
}
