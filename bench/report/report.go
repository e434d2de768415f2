// Package report summarizes recordings and writes the summaries as JSON, text
// tables and plots.
package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tanagerspread/bench/measure"
)

// The largest value of the histograms in microseconds and their precision in
// decimal digits.
const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Latency is the distribution of the time to first token in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Run is the summary of one recording.
type Run struct {
	Site   string  `json:"site"`
	Policy string  `json:"policy"`
	Fault  string  `json:"fault"`
	Seed   uint64  `json:"seed"`
	Load   float64 `json:"load"`
	// Requests is the number of arrivals, without those of a flood.
	Requests int     `json:"requests"`
	Short    Latency `json:"short"`
	Long     Latency `json:"long"`
	// OthersShort and OthersLong are the latencies of the short and the long class
	// for all organisations but the largest.
	OthersShort Latency `json:"others_short"`
	OthersLong  Latency `json:"others_long"`
	// Recomputed is the share of prompt tokens that engines computed,
	// RecomputedReturning the share for returning prompts, and RecomputedStored
	// the share for returning prompts of which a store contained all complete
	// blocks.
	Recomputed          float64 `json:"recomputed"`
	RecomputedReturning float64 `json:"recomputed_returning"`
	RecomputedStored    float64 `json:"recomputed_held"`
	// StoredRequests is the number of requests that RecomputedStored covers.
	StoredRequests int   `json:"held_requests"`
	LinkBytes      int64 `json:"link_bytes"`
	// Refusals is the number of undelivered responses by result code, or by HTTP
	// status where there is none. Code 0 means that the connection failed or
	// the stream ended early.
	Refusals map[int]int `json:"refusals"`
	// FailedAttempts is the number of failed attempts per request, which is an
	// upper bound on the retries.
	FailedAttempts float64 `json:"failed_attempts_per_request"`
	Violations     int64   `json:"violations"`
	// Goodput is the number of responses per second that met the first-token
	// target of their class.
	Goodput float64 `json:"goodput_per_s"`
}

// tokenCounts counts prompt tokens and those of them that engines computed.
type tokenCounts struct {
	prompt   int
	computed int
}

func (t *tokenCounts) add(r measure.Result) {
	t.prompt += r.Usage.PromptTokens
	t.computed += r.Usage.PromptTokens - r.Usage.CachedTokens
}

func (t *tokenCounts) computedShare() float64 {
	if t.prompt == 0 {
		return 0
	}
	return float64(t.computed) / float64(t.prompt)
}

// summarizer accumulates the results of one run.
type summarizer struct {
	run                                  Run
	short, long, othersShort, othersLong *hdrhistogram.Histogram
	all, returning, stored               tokenCounts
	onTarget                             int
}

// Summarize returns the summary of one recording.
func Summarize(recording *measure.Recording) Run {
	o := recording.Options
	c := &summarizer{
		run: Run{
			Site: o.Profile.Site, Policy: o.Placement, Fault: string(o.Fault), Seed: o.Seed, Load: o.Load,
			LinkBytes: recording.LinkBytes, Violations: recording.Violations, Refusals: map[int]int{},
		},
		short: newHistogram(), long: newHistogram(), othersShort: newHistogram(), othersLong: newHistogram(),
	}
	for _, result := range recording.Results {
		c.add(result)
	}
	c.run.FailedAttempts = float64(recording.FailedAttempts) / float64(max(1, len(recording.Results)))
	c.run.Goodput = float64(c.onTarget) / o.Duration.Seconds()
	c.run.Recomputed = c.all.computedShare()
	c.run.RecomputedReturning = c.returning.computedShare()
	c.run.RecomputedStored = c.stored.computedShare()
	c.run.Short, c.run.Long = summarizeLatency(c.short), summarizeLatency(c.long)
	c.run.OthersShort, c.run.OthersLong = summarizeLatency(c.othersShort), summarizeLatency(c.othersLong)
	return c.run
}

func (c *summarizer) add(r measure.Result) {
	if !r.Delivered {
		c.run.Refusals[r.Code]++
	}
	if r.Arrival.Flooding {
		return
	}
	c.run.Requests++
	if !r.Delivered {
		return
	}
	c.addLatency(r)
	c.addTokens(r)
	if r.FirstToken <= r.Arrival.Class.FirstTokenTarget {
		c.onTarget++
	}
}

func (c *summarizer) addLatency(r measure.Result) {
	all, others := c.short, c.othersShort
	if r.Arrival.Class.Priority > 0 {
		all, others = c.long, c.othersLong
	}
	record(all, r.FirstToken)
	if r.Arrival.Organisation > 0 {
		record(others, r.FirstToken)
	}
}

func (c *summarizer) addTokens(r measure.Result) {
	c.all.add(r)
	if !r.Arrival.Returning {
		return
	}
	c.returning.add(r)
	if r.StoredTokens >= r.PrefixTokens {
		c.stored.add(r)
		c.run.StoredRequests++
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, significantDigits)
}

// record adds a duration to a histogram. It cannot fail: the value is clamped to
// the largest one, and every request finishes earlier.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), maxMicroseconds))
}

func summarizeLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   milliseconds(h.ValueAtQuantile(50)),
		P95:   milliseconds(h.ValueAtQuantile(95)),
		P99:   milliseconds(h.ValueAtQuantile(99)),
		Max:   milliseconds(h.Max()),
	}
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / 1000
}
