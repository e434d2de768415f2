package engine

import (
	"math"
	"time"
)

// prefillTolerance is the number of remaining tokens at which a prefill counts
// as finished. It absorbs rounding errors.
const prefillTolerance = 1e-3

// advance simulates the batch up to now. Prefills share the prefill rate
// equally, and each decode step that is due generates one token for every
// decoding run.
func (b *batch) advance(now time.Time) {
	for {
		next, ok := b.nextEventAt()
		if !ok || next.After(now) {
			break
		}
		b.advancePrefills(next)
		if !b.nextStepAt.IsZero() && !b.nextStepAt.After(next) {
			b.decodeStep(next)
		}
	}
	b.advancePrefills(now)
}

// nextEventAt returns the time at which the next prefill finishes or the next
// decode step is due. It returns false when no run is prefilling or decoding.
func (b *batch) nextEventAt() (time.Time, bool) {
	minRemaining := math.Inf(1)
	for _, r := range b.runs {
		if r.phase == prefilling {
			minRemaining = min(minRemaining, r.remainingTokens)
		}
	}
	var next time.Time
	if !math.IsInf(minRemaining, 1) {
		seconds := max(0, minRemaining) * float64(b.count(prefilling)) / b.options.PrefillRate
		next = b.advancedTo.Add(time.Duration(math.Ceil(seconds * float64(time.Second))))
	}
	if !b.nextStepAt.IsZero() && (next.IsZero() || b.nextStepAt.Before(next)) {
		next = b.nextStepAt
	}
	return next, !next.IsZero()
}

// advancePrefills processes prompt tokens up to the given time, which must not
// be after the end of the next prefill.
func (b *batch) advancePrefills(until time.Time) {
	elapsed := until.Sub(b.advancedTo).Seconds()
	b.advancedTo = until
	n := b.count(prefilling)
	if n == 0 {
		return
	}
	tokensPerRun := elapsed * b.options.PrefillRate / float64(n)
	for _, r := range append([]*run(nil), b.runs...) {
		if r.phase != prefilling {
			continue
		}
		r.remainingTokens -= tokensPerRun
		if r.remainingTokens <= prefillTolerance {
			b.startDecoding(until, r)
		}
	}
}

// startDecoding finishes the prefill of a run: it stores the run's blocks in the
// cache and generates the first token.
func (b *batch) startDecoding(now time.Time, r *run) {
	r.remainingTokens = 0
	r.phase = decoding
	for _, key := range r.keys[len(r.blocks):] {
		stored := b.cache.store(blockID{r.request.CacheNamespace, key})
		if stored == nil {
			break
		}
		r.blocks = append(r.blocks, stored)
	}
	if b.nextStepAt.IsZero() {
		b.nextStepAt = now.Add(b.interval())
	}
	b.generate(now, r)
}

// decodeStep generates one token for each decoding run.
func (b *batch) decodeStep(now time.Time) {
	for _, r := range append([]*run(nil), b.runs...) {
		if r.phase == decoding {
			b.generate(now, r)
		}
	}
	b.nextStepAt = time.Time{}
	if b.count(decoding) > 0 {
		b.nextStepAt = now.Add(b.interval())
	}
}

// interval returns the duration of one decode step, which grows with the number
// of decoding runs.
func (b *batch) interval() time.Duration {
	others := max(0, b.count(decoding)-1)
	return b.options.TokenInterval + time.Duration(others)*b.options.IntervalPerRun
}

// generate emits one token and removes the run from the batch after its last
// token.
func (b *batch) generate(now time.Time, r *run) {
	if r.nextToken < r.request.MaxTokens {
		r.tokens <- r.nextToken
		r.nextToken++
	}
	if r.nextToken >= r.request.MaxTokens {
		close(r.tokens)
		b.remove(now, r)
	}
}
