package engine

import (
	"strings"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/core/cachekey"
)

// phase is the phase of a run.
type phase int

const (
	waiting phase = iota
	prefilling
	decoding
	finished
)

// run is the execution of one completion request.
type run struct {
	request engine.CompletionRequest
	keys    []string
	// arrival is the position of the request in the order of arrival.
	arrival int
	phase   phase
	// remainingTokens is the number of tokens that the prefill still has to
	// process.
	remainingTokens float64
	cachedTokens    int
	// blocks are the cache blocks whose reference counts the run holds.
	blocks []*block
	// nextToken is the sequence number of the next token.
	nextToken int
	// tokens receives the sequence number of each generated token. Its buffer
	// holds all of them, so that a slow caller never blocks the engine.
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

// precedes reports whether the run is started before another waiting run: lower
// priority numbers first, then in the order of arrival.
func (r *run) precedes(other *run) bool {
	if r.request.Priority != other.request.Priority {
		return r.request.Priority < other.request.Priority
	}
	return r.arrival < other.arrival
}

// usage returns the token counts of the run.
func (r *run) usage() engine.Usage {
	return engine.Usage{
		PromptTokens:     promptTokens(r.request.Prompt),
		CachedTokens:     r.cachedTokens,
		CompletionTokens: r.request.MaxTokens,
	}
}

// batch is the continuous batch of an engine. It is confined to the goroutine
// that owns the engine's state.
type batch struct {
	options    Options
	cache      *cache
	runs       []*run
	advancedTo time.Time
	// nextStepAt is the time of the next decode step.
	nextStepAt time.Time
	runCounts  map[string]int
	// invalidBlocksUsed counts uses of blocks that are marked as invalid.
	invalidBlocksUsed *int
	// crashMarkerSeen is true after the start of a prompt that contains the
	// crash marker.
	crashMarkerSeen bool
}

// load returns the current load of the batch.
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

// add adds a run to the batch. The run waits until a slot is free.
func (b *batch) add(now time.Time, r *run) {
	b.runs = append(b.runs, r)
	b.admit(now)
}

// remove finishes a run and starts waiting runs in the free slot. It has no
// effect on a finished run.
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

// admit starts waiting runs in the order of precedes while slots are free.
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

// start starts the prefill of the part of a prompt that is not cached.
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
