package engine

import (
	"math"
	"time"
)

// prefillTolerance is the rounding error allowed at the end of a prefill, in
// tokens.
const prefillTolerance = 1e-3

// advance brings the batch to now: prefills share the prefill rate, and each
// decode step that is due gives every decoding run one token.
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

// nextEventAt returns when the next prefill ends or the next decode step is
// due.
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

// advancePrefills processes prompt tokens up to a time at which no prefill has ended
// before.
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

// startDecoding ends a prefill: its blocks enter the cache and the first
// token is generated.
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

// interval is the time of one decode step. It grows with the batch.
func (b *batch) interval() time.Duration {
	others := max(0, b.count(decoding)-1)
	return b.options.TokenInterval + time.Duration(others)*b.options.IntervalPerRun
}

// generate emits one token. The run ends with its last one.
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
