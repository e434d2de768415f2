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
	ended
)

// run is one completion in the engine.
type run struct {
	request engine.CompletionRequest
	keys    []string
	arrived int
	phase   phase
	// remaining is the number of prompt tokens that are still to be processed.
	remaining float64
	cached    int
	// blocks are the cache blocks that the run uses.
	blocks []*block
	// next is the sequence number of the next token.
	next int
	// tokens receives one value for each generated token. It has room for
	// all of them, so the engine never waits for a slow caller.
	tokens chan int
	fault  responseFault
}

func newRun(request engine.CompletionRequest, arrived int) *run {
	r := &run{request: request, keys: request.PrefixKeys, arrived: arrived}
	if len(r.keys) == 0 {
		r.keys = prefixKeys(request.Prompt)
	}
	if limit := len(request.Prompt) / cachekey.BlockBytes; len(r.keys) > limit {
		r.keys = r.keys[:limit]
	}
	if request.Resume != nil {
		r.next = request.Resume.From
	}
	r.tokens = make(chan int, max(0, request.MaxTokens-r.next))
	return r
}

// before orders waiting runs by priority and arrival. A lower number is more
// urgent.
func (r *run) before(other *run) bool {
	if r.request.Priority != other.request.Priority {
		return r.request.Priority < other.request.Priority
	}
	return r.arrived < other.arrived
}

// usage counts the tokens of the run.
func (r *run) usage() engine.Usage {
	return engine.Usage{
		PromptTokens:     promptTokens(r.request.Prompt),
		CachedTokens:     r.cached,
		CompletionTokens: r.request.MaxTokens,
	}
}

// batch is the continuous batch of an engine. It is owned by the engine's
// goroutine.
type batch struct {
	options  Options
	cache    *cache
	runs     []*run
	advanced time.Time
	// nextStep is the time of the next decode step.
	nextStep time.Time
	started  map[string]int
	// invalidUsed counts uses of blocks with other content than they have.
	invalidUsed *int
	// crashed is true after the start of a prompt with the crash marker.
	crashed bool
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
		load.PrefillTokens += int(r.remaining)
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
	if r.phase == ended {
		return
	}
	r.phase = ended
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
		if r.phase == waiting && (first == nil || r.before(first)) {
			first = r
		}
	}
	return first
}

// start begins the prefill of a run behind its cached blocks.
func (b *batch) start(now time.Time, r *run) {
	b.started[r.request.RequestID]++
	r.phase = prefilling
	if marker := b.options.CrashMarker; marker != "" && strings.Contains(r.request.Prompt, marker) {
		b.crashed = true
	}
	r.blocks = b.cache.leading(r.request.CacheNamespace, r.keys)
	for _, used := range r.blocks {
		if used.invalid {
			*b.invalidUsed++
		}
	}
	r.cached = len(r.blocks) * cachekey.BlockTokens
	r.remaining = float64(promptTokens(r.request.Prompt) - r.cached + r.next)
	if r.remaining <= 0 {
		b.startDecoding(now, r)
	}
}
