// Package engine defines the messages of the model engines' HTTP protocol and
// the client of their management calls.
package engine

// The paths of an engine.
const (
	PathCompletions = "/v1/completions"
	PathLoad        = "/load"
	PathOrders      = "/orders"
	PathExport      = "/cache/export"
	PathImport      = "/cache/import"
	PathEvents      = "/cache/events"
)

// HeaderRequestID is the id of a completion request, which each response repeats. A
// refusal without it proves nothing about the request.
const HeaderRequestID = "Tanagerspread-Request-Id"

// The headers that an engine adds to each response.
const (
	HeaderRunning       = "X-Engine-Running"
	HeaderWaiting       = "X-Engine-Waiting"
	HeaderPrefillTokens = "X-Engine-Prefill-Tokens"
	// HeaderLeaving is "true" when the engine accepts no new requests.
	HeaderLeaving = "X-Engine-Leaving"
	// HeaderExecution is ExecutionNotRun in the response to a request that the
	// engine refused without running any part of it.
	HeaderExecution = "X-Engine-Execution"
)

// ExecutionNotRun is the value of HeaderExecution for a request that the
// engine did not start.
const ExecutionNotRun = "not-run"

// CompletionRequest starts or resumes a completion.
type CompletionRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Weights   int    `json:"weights"`
	// CacheNamespace separates the prefix caches of organisations and weight
	// versions.
	CacheNamespace string   `json:"cache_namespace"`
	PrefixKeys     []string `json:"prefix_keys,omitempty"`
	Prompt         string   `json:"prompt"`
	MaxTokens      int      `json:"max_tokens"`
	Priority       int      `json:"priority"`
	// DeadlineMS is the time left until the caller's deadline in
	// milliseconds; 0 means none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Resume is set to continue a stream that was delivered in part.
	Resume *Resume `json:"resume,omitempty"`
}

// Resume describes the part of a response that was already delivered.
type Resume struct {
	// From is the sequence number of the next token.
	From int `json:"from"`
	// Text is the delivered text.
	Text string `json:"text"`
}

// CompletionEvent is one server-sent event of a completion. Events of one
// response have ascending sequence numbers without gaps.
type CompletionEvent struct {
	RequestID    string `json:"request_id"`
	Sequence     int    `json:"seq"`
	Text         string `json:"text,omitempty"`
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	Usage        *Usage `json:"usage,omitempty"`
}

// Usage counts the tokens of a completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}
