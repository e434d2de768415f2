// Package engine is a small stand-in for a model engine.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/platform/engine"
)

// Options sets the speed and size of an engine.
type Options struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// TokenInterval is the time between two generated tokens.
	TokenInterval time.Duration
	// CacheBlocks is the number of cache blocks that fit into memory.
	CacheBlocks int
}

// Engine serves completions with a prefix cache.
type Engine struct {
	options Options
	calls   chan func(*cache)
}

// New returns an engine whose cache is owned by one goroutine, which runs
// until the context ends.
func New(ctx context.Context, options Options) *Engine {
	e := &Engine{options: options, calls: make(chan func(*cache))}
	go e.run(ctx)
	return e
}

func (e *Engine) run(ctx context.Context) {
	c := &cache{capacity: e.options.CacheBlocks}
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-e.calls:
			call(c)
		}
	}
}

// Handler returns the routes of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathCompletions, e.complete)
	return mux
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request engine.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.Header().Set(engine.HeaderExecution, engine.ExecutionNotRun)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	cached := e.lookup(request)
	prompt := len(request.Prompt) / cachekey.BytesPerToken
	w.Header().Set(engine.HeaderRunning, strconv.Itoa(1))
	w.WriteHeader(http.StatusOK)
	if !wait(r.Context(), time.Duration(float64(prompt-cached)/e.options.PrefillRate*float64(time.Second))) {
		return
	}
	e.generate(w, r, request, engine.Usage{PromptTokens: prompt, CachedTokens: cached, CompletionTokens: request.MaxTokens})
}

// lookup returns the number of cached prompt tokens and stores the blocks of
// the prompt.
func (e *Engine) lookup(request engine.CompletionRequest) int {
	result := make(chan int)
	e.calls <- func(c *cache) {
		result <- c.use(request.CacheNamespace, request.Prompt)
	}
	return <-result
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, request engine.CompletionRequest, usage engine.Usage) {
	from := 0
	if request.Resume != nil {
		from = request.Resume.From
	}
	for i := from; i < request.MaxTokens; i++ {
		if i > from && !wait(r.Context(), e.options.TokenInterval) {
			return
		}
		if !send(w, engine.CompletionEvent{RequestID: request.RequestID, Sequence: i, Text: fmt.Sprintf("t%d ", i)}) {
			return
		}
	}
	send(w, engine.CompletionEvent{RequestID: request.RequestID, Sequence: request.MaxTokens, Done: true, FinishReason: "length", Usage: &usage})
}

func send(w http.ResponseWriter, e engine.CompletionEvent) bool {
	data, err := json.Marshal(e)
	if err != nil {
		return false
	}
	if _, err := w.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
