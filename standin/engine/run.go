package engine

import (
	"strings"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/core/cachekey"
)

// phase is where a run is in the batch.
type phase int

const (
	waiting phase = iota
	prefilling
	decoding
	finished
)

// run is one completion in the engine.
type run struct {
	request engine.CompletionRequest
	keys    []string
	arrival int
	phase   phase
	// remainingTokens is the number of prompt tokens that are still to be processed.
	remainingTokens float64
	cachedTokens    int
	// blocks are the cache blocks that the run uses.
	blocks []*block
	// nextToken is the sequence number of the next token.
	nextToken int
	// tokens receives one value for each generated token. It has room for
	// all of them, so the engine never waits for a slow caller.
	tokens chan int
	fault  responseFault
}

func newRun(request engine.CompletionRequest, arrival int) *run {
	r := &run{request: request, keys: request.PrefixKeys, arrival: arrival}
	if len(r.keys) == 0 {
		r.keys = prefixKeys(request.Prompt)
	}
	if limit := len(request.Prompt) / cachekey.BlockBytes; len(r.keys) > limit {
		r.keys = r.keys[:limit]
	}
	if request.Resume != nil {
		r.nextToken = request.Resume.From
	}
	r.tokens = make(chan int, max(0, request.MaxTokens-r.nextToken))
	return r
}

// precedes orders waiting runs by priority and arrival. A lower number is more
// urgent.
func (r *run) precedes(other *run) bool {
	if r.request.Priority != other.request.Priority {
		return r.request.Priority < other.request.Priority
	}
	return r.arrival < other.arrival
}

// usage counts the tokens of the run.
func (r *run) usage() engine.Usage {
	return engine.Usage{
		PromptTokens:     promptTokens(r.request.Prompt),
		CachedTokens:     r.cachedTokens,
		CompletionTokens: r.request.MaxTokens,
	}
}

// batch is the continuous batch of an engine. It is owned by the engine's
// goroutine.
type batch struct {
	options    Options
	cache      *cache
	runs       []*run
	advancedTo time.Time
	// nextStepAt is the time of the next decode step.
	nextStepAt time.Time
	runCounts  map[string]int
	// invalidBlocksUsed counts uses of blocks with other content than they have.
	invalidBlocksUsed *int
	// crashMarkerSeen is true after the start of a prompt with the crash marker.
	crashMarkerSeen bool
}

// load counts the runs of the batch.
func (b *batch) load() engine.Load {
	var load engine.Load
	for _, r := range b.runs {
		if r.phase == waiting {
			load.Waiting++
			load.PrefillTokens += promptTokens(r.request.Prompt)
			continue
		}
		load.Running++
		load.PrefillTokens += int(r.remainingTokens)
	}
	return load
}

func (b *batch) count(p phase) int {
	n := 0
	for _, r := range b.runs {
		if r.phase == p {
			n++
		}
	}
	return n
}

// add takes a run into the batch, where it may have to wait for a slot.
func (b *batch) add(now time.Time, r *run) {
	b.runs = append(b.runs, r)
	b.admit(now)
}

// remove takes a run out of the batch.
func (b *batch) remove(now time.Time, r *run) {
	if r.phase == finished {
		return
	}
	r.phase = finished
	b.cache.release(r.blocks)
	for i, other := range b.runs {
		if other == r {
			b.runs = append(b.runs[:i], b.runs[i+1:]...)
			break
		}
	}
	b.admit(now)
}

// admit starts waiting runs while there are slots, the most urgent first.
func (b *batch) admit(now time.Time) {
	for len(b.runs)-b.count(waiting) < b.options.Slots {
		first := b.mostUrgent()
		if first == nil {
			return
		}
		b.start(now, first)
	}
}

func (b *batch) mostUrgent() *run {
	var first *run
	for _, r := range b.runs {
		if r.phase == waiting && (first == nil || r.precedes(first)) {
			first = r
		}
	}
	return first
}

// start begins the prefill of a run behind its cached blocks.
func (b *batch) start(now time.Time, r *run) {
	b.runCounts[r.request.RequestID]++
	r.phase = prefilling
	if marker := b.options.CrashMarker; marker != "" && strings.Contains(r.request.Prompt, marker) {
		b.crashMarkerSeen = true
	}
	r.blocks = b.cache.acquirePrefix(r.request.CacheNamespace, r.keys)
	for _, used := range r.blocks {
		if used.invalid {
			*b.invalidBlocksUsed++
		}
	}
	r.cachedTokens = len(r.blocks) * cachekey.BlockTokens
	r.remainingTokens = float64(promptTokens(r.request.Prompt) - r.cachedTokens + r.nextToken)
	if r.remainingTokens <= 0 {
		b.startDecoding(now, r)
	}
}
