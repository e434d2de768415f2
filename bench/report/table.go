package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// mebibyte is the unit of link use in tables and plots, in bytes.
const mebibyte = 1 << 20

// WriteJSON writes the runs as one JSON array.
func WriteJSON(w io.Writer, runs []Run) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(runs)
}

// WriteTable writes one line for each run. Times are in milliseconds.
func WriteTable(w io.Writer, runs []Run) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(table, "| site\t| policy\t| fault\t| load\t| requests\t| short p50/p95/p99/max\t| long p50/p95/p99/max\t| others p99 short/long\t| recomputed all/returning/held\t| link MiB\t| refused\t| failed attempts\t| goodput/s\t|")
	_, _ = fmt.Fprintln(table, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, r := range runs {
		_, _ = fmt.Fprintf(table, "| %s\t| %s\t| %s\t| %.2f\t| %d\t| %s\t| %s\t| %.0f/%.0f\t| %.1f/%.1f/%.1f%%\t| %.1f\t| %d\t| %.2f%%\t| %.2f\t|\n",
			r.Site, r.Policy, r.Fault, r.Load, r.Requests, r.Short, r.Long, r.OthersShort.P99, r.OthersLong.P99,
			100*r.Recomputed, 100*r.RecomputedReturning, 100*r.RecomputedStored, float64(r.LinkBytes)/mebibyte,
			r.refusalCount(), 100*r.FailedAttempts, r.Goodput)
	}
	return table.Flush()
}

// String returns the quantiles and the maximum in milliseconds.
func (l Latency) String() string {
	return fmt.Sprintf("%.0f/%.0f/%.0f/%.0f", l.P50, l.P95, l.P99, l.Max)
}

// refusalCount returns the number of requests without a complete response.
func (r Run) refusalCount() int {
	sum := 0
	for _, n := range r.Refusals {
		sum += n
	}
	return sum
}
