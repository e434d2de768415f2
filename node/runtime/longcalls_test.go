package runtime_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/request"
	"tanagerspread/standin/engine"
	"tanagerspread/standin/service"
)

// refusalOf returns the request id and the execution class of a refusal or of an
// error event, or empty strings for any other body.
func refusalOf(body string) (request.ID, string) {
	at := strings.LastIndex(body, `{"error":`)
	if at < 0 {
		return "", ""
	}
	var refusal struct {
		Error struct {
			Execution string     `json:"execution"`
			ID        request.ID `json:"request_id"`
		} `json:"error"`
	}
	if json.NewDecoder(strings.NewReader(body[at:])).Decode(&refusal) != nil {
		return "", ""
	}
	return refusal.Error.ID, refusal.Error.Execution
}

// complete sends a completion. The prompt starts with up to two blocks that
// callers of both organisations also use.
func (c *callerRequest) complete(stream bool) {
	shared := strings.Repeat(string(rune('a'+c.random.IntN(4))), c.random.IntN(3)*cachekey.BlockBytes)
	prompt := shared + " prompt " + c.id
	tokens := 5 + c.random.IntN(100)
	body, _ := json.Marshal(map[string]any{"model": testModel, "prompt": prompt, "max_tokens": tokens, "stream": stream})
	singleFault := c.l.singleFault.Load()
	got, _, class := c.send(http.MethodPost, "/v1/completions", string(body))
	c.countIdempotent(singleFault, class == "")
	if class != "" {
		return
	}
	if text, complete := textOf(got.body, stream); !complete || text != engine.Text(prompt, tokens) {
		c.l.t.Errorf("request %s: response is incomplete or belongs to another request: %.200s", c.id, got.body)
	}
}

// textOf returns the text of a response and reports whether the response is
// complete.
func textOf(body string, stream bool) (string, bool) {
	var text strings.Builder
	lines := []string{body}
	if stream {
		lines = strings.Split(body, "\n\n")
	}
	for _, line := range lines {
		var part struct {
			Choices []struct{ Text string }
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &part) == nil && len(part.Choices) == 1 {
			text.WriteString(part.Choices[0].Text)
		}
	}
	return text.String(), !stream || strings.HasSuffix(body, "data: [DONE]\n\n")
}

// callLookup calls the idempotent service.
func (c *callerRequest) callLookup() {
	singleFault := c.l.singleFault.Load()
	got, _, class := c.send(http.MethodPost, "/services/lookup/"+c.id, "{}")
	c.countIdempotent(singleFault, class == "")
	var response service.Response
	if class == "" && (json.Unmarshal([]byte(got.body), &response) != nil || response.Path != "/"+c.id || response.Service != "lookup") {
		c.l.t.Errorf("lookup %s: response %q belongs to another request", c.id, got.body)
	}
}

// callLodgement sends a call with an idempotency key and repeats it at other
// nodes, also after it has succeeded.
func (c *callerRequest) callLodgement() {
	call := &keyedCall{}
	key := "key " + c.id
	for range 2 + c.random.IntN(3) {
		got, _, class := c.send(http.MethodPost, "/services/lodgement/"+c.id, "{}", "Idempotency-Key", key)
		if class == "not-sent" {
			break
		}
		c.recordKeyedCall(key, call, got, class)
		time.Sleep(time.Duration(c.random.IntN(500)) * time.Millisecond)
	}
}

func (c *callerRequest) recordKeyedCall(key string, call *keyedCall, got result, class string) {
	c.l.trafficMu.Lock()
	defer c.l.trafficMu.Unlock()
	c.l.keys[key] = call
	call.calls++
	switch {
	case class == "not-run":
		call.notRun++
	case class != "":
	case call.response == "":
		call.response = got.body
	case call.response != got.body:
		c.l.t.Errorf("%s: %q after %q", key, got.body, call.response)
	default:
		c.l.replays++
	}
}
