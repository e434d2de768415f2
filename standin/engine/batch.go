package engine

import (
	"math"
	"time"
)

// prefillError is the rounding error allowed at the end of a prefill, in
// tokens.
const prefillError = 1e-3

// advance brings the batch to now: prefills share the prefill rate, and each
// decode step that is due gives every decoding run one token.
func (b *batch) advance(now time.Time) {
	for {
		next, ok := b.nextEvent()
		if !ok || next.After(now) {
			break
		}
		b.prefill(next)
		if !b.nextStep.IsZero() && !b.nextStep.After(next) {
			b.step(next)
		}
	}
	b.prefill(now)
}

// nextEvent returns when the next prefill ends or the next decode step is
// due.
func (b *batch) nextEvent() (time.Time, bool) {
	least := math.Inf(1)
	for _, r := range b.runs {
		if r.phase == prefilling {
			least = min(least, r.remaining)
		}
	}
	var next time.Time
	if !math.IsInf(least, 1) {
		seconds := max(0, least) * float64(b.count(prefilling)) / b.options.PrefillRate
		next = b.advanced.Add(time.Duration(math.Ceil(seconds * float64(time.Second))))
	}
	if !b.nextStep.IsZero() && (next.IsZero() || b.nextStep.Before(next)) {
		next = b.nextStep
	}
	return next, !next.IsZero()
}

// prefill processes prompt tokens up to a time at which no prefill has ended
// before.
func (b *batch) prefill(until time.Time) {
	elapsed := until.Sub(b.advanced).Seconds()
	b.advanced = until
	n := b.count(prefilling)
	if n == 0 {
		return
	}
	share := elapsed * b.options.PrefillRate / float64(n)
	for _, r := range append([]*run(nil), b.runs...) {
		if r.phase != prefilling {
			continue
		}
		r.remaining -= share
		if r.remaining <= prefillError {
			b.startDecoding(until, r)
		}
	}
}

// startDecoding ends a prefill: its blocks enter the cache and the first
// token is generated.
func (b *batch) startDecoding(now time.Time, r *run) {
	r.remaining = 0
	r.phase = decoding
	for _, key := range r.keys[len(r.blocks):] {
		stored := b.cache.store(blockID{r.request.CacheNamespace, key})
		if stored == nil {
			break
		}
		r.blocks = append(r.blocks, stored)
	}
	if b.nextStep.IsZero() {
		b.nextStep = now.Add(b.interval())
	}
	b.generate(now, r)
}

// step generates one token for each decoding run.
func (b *batch) step(now time.Time) {
	for _, r := range append([]*run(nil), b.runs...) {
		if r.phase == decoding {
			b.generate(now, r)
		}
	}
	b.nextStep = time.Time{}
	if b.count(decoding) > 0 {
		b.nextStep = now.Add(b.interval())
	}
}

// interval is the time of one decode step. It grows with the batch.
func (b *batch) interval() time.Duration {
	others := max(0, b.count(decoding)-1)
	return b.options.TokenInterval + time.Duration(others)*b.options.IntervalPerRun
}

// generate emits one token. The run ends with its last one.
func (b *batch) generate(now time.Time, r *run) {
	if r.next < r.request.MaxTokens {
		r.tokens <- r.next
		r.next++
	}
	if r.next >= r.request.MaxTokens {
		close(r.tokens)
		b.remove(now, r)
	}
}
