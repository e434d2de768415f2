package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"tanagerspread/bench/workload"
	"tanagerspread/client/engine"
	"tanagerspread/client/store"
	"tanagerspread/client/wire"
	"tanagerspread/core/cachekey"
	"tanagerspread/node/blocks"
)

// maxLineBytes is the maximum length of a line of a stream.
const maxLineBytes = 1 << 20

// Result is the result of one request as its caller observed it.
type Result struct {
	Arrival workload.Arrival
	// Delivered is true when the response was complete.
	Delivered bool
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Code is the result code of a response that was not delivered, its HTTP
	// status if it has no result code, or 0.
	Code  int
	Usage engine.Usage
	// StoredTokens is the number of prompt tokens whose blocks were in a store on
	// arrival. It is measured for returning prompts only.
	StoredTokens int
	// PrefixTokens is the number of prompt tokens in complete blocks.
	PrefixTokens int
}

// call sends one request and reads its stream.
func (s *system) call(ctx context.Context, a workload.Arrival, address string) Result {
	result := Result{Arrival: a}
	prompt := a.Prompt()
	result.PrefixTokens = len(prompt) / cachekey.BlockBytes * cachekey.BlockTokens
	if a.Returning {
		result.StoredTokens = s.storedTokens(ctx, a, prompt)
	}
	startedAt := time.Now()
	response, err := s.client.Do(s.newRequest(ctx, a, address, prompt))
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		result.Code = refusalCode(response)
		return result
	}
	readStream(response, startedAt, &result)
	return result
}

func (s *system) newRequest(ctx context.Context, a workload.Arrival, address, prompt string) *http.Request {
	body, _ := json.Marshal(map[string]any{
		"model": s.site.Engines[0].Serves, "prompt": prompt, "max_tokens": a.Class.MaxTokens, "stream": true,
	})
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+bearerToken(a.Organisation))
	r.Header.Set("Tanagerspread-Class", string(a.Class.Name))
	r.Header.Set("Tanagerspread-Deadline-Ms", strconv.FormatInt(a.Class.Deadline.Milliseconds(), 10))
	return r
}

// storedTokens returns the number of tokens in the longest prefix of the prompt
// that any store contains.
func (s *system) storedTokens(ctx context.Context, a workload.Arrival, prompt string) int {
	scope := cachekey.Scope{Organisation: string(organisationName(a.Organisation)), Model: s.site.Engines[0].Serves, Weights: 1}
	keys := blocks.EncodeKeys(cachekey.Chain(scope, []byte(prompt)))
	longest := 0
	for _, v := range s.site.Stores {
		client := store.NewClient(wire.Options{Address: v.Address, Dial: s.network.Dial})
		if manifest, err := client.Find(ctx, keys); err == nil {
			longest = max(longest, len(manifest.Blocks))
		}
		client.Close()
	}
	return longest * cachekey.BlockTokens
}

// refusalCode returns the result code of a response, or its HTTP status if it has
// no result code.
func refusalCode(response *http.Response) int {
	number, err := strconv.Atoi(response.Header.Get("Tanagerspread-Code"))
	if err != nil {
		return response.StatusCode
	}
	return number
}

// readStream reads a response and records the time to first token, and the usage
// from the last chunk or the code of an error chunk.
func readStream(response *http.Response, startedAt time.Time, result *Result) {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, isData := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !isData {
			continue
		}
		if result.FirstToken == 0 {
			result.FirstToken = time.Since(startedAt)
		}
		if string(data) == "[DONE]" {
			return
		}
		var chunk struct {
			Usage *engine.Usage
			Error *struct{ Code int }
		}
		if json.Unmarshal(data, &chunk) != nil {
			return
		}
		if chunk.Error != nil {
			result.Code = chunk.Error.Code
			return
		}
		if chunk.Usage != nil {
			result.Usage = *chunk.Usage
			result.Delivered = true
		}
	}
}
