// Package metrics collects the metrics of a node with tally and its Prometheus
// reporter. It observes the questions that traffic goroutines ask the control
// thread and the decisions that they receive, and does not change either.
package metrics

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
)

const (
	// prefix is the prefix of all metric names.
	prefix = "tanagerspread"
	// reportInterval is the interval at which tally reports to the scrape
	// endpoint.
	reportInterval = time.Second
)

// outcomeDelivered is the outcome tag of a request with a complete response.
const outcomeDelivered = "delivered"

// Names of the gauges.
const (
	gaugeQueue     = "queue_length"
	gaugeRequests  = "requests_in_progress"
	gaugeServers   = "servers_known"
	gaugeAvailable = "servers_available"
	gaugeLeaving   = "servers_leaving"
	gaugePaused    = "servers_paused"
	gaugeLimited   = "servers_rate_limited"
	gaugeEvacuated = "servers_evacuated"
	gaugeBudget    = "retry_budget"
	gaugeVersion   = "configuration_version"
)

var gaugeNames = []string{gaugeQueue, gaugeRequests, gaugeServers, gaugeAvailable, gaugeLeaving, gaugePaused, gaugeLimited, gaugeEvacuated, gaugeBudget, gaugeVersion}

// durationBuckets holds the upper bounds of the buckets of all duration
// histograms.
var durationBuckets = tally.DurationBuckets{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second, 30 * time.Second,
}

// Metrics holds the metrics of one node. It is safe for concurrent use. The
// methods that record or observe do nothing on a nil Metrics.
type Metrics struct {
	scope         tally.Scope
	gauges        map[string]tally.CachedGauge
	closer        io.Closer
	scrapeHandler http.Handler
}

// New returns the metrics of one node. They are reported until Close is called.
func New() *Metrics {
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: prometheus.NewRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{scope: scope, gauges: map[string]tally.CachedGauge{}, closer: closer, scrapeHandler: reporter.HTTPHandler()}
	for _, name := range gaugeNames {
		m.gauges[name] = reporter.AllocateGauge(prefix+tallyprom.DefaultSeparator+name, nil)
	}
	return m
}

// Handler returns the HTTP handler of the scrape endpoint.
func (m *Metrics) Handler() http.Handler {
	return m.scrapeHandler
}

// Close reports the metrics a last time and stops reporting.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// ObserveOutcome counts one finished request by its code; nil means that the
// complete response was delivered.
func (m *Metrics) ObserveOutcome(err *code.Error) {
	if m == nil {
		return
	}
	outcome := outcomeDelivered
	if err != nil {
		outcome = strconv.Itoa(int(err.Code))
	}
	m.count("requests", "outcome", outcome)
}

// ObserveCallDuration records the times from the arrival of a forwarded call to
// the first part and to the end of its complete response.
func (m *Metrics) ObserveCallDuration(kind config.RouteKind, first, total time.Duration) {
	if m == nil {
		return
	}
	scope := m.scope.Tagged(map[string]string{"kind": kind.String()})
	scope.Histogram("call_first_part_seconds", durationBuckets).RecordDuration(first)
	scope.Histogram("call_seconds", durationBuckets).RecordDuration(total)
}

// CountViolation counts one failed invariant.
func (m *Metrics) CountViolation() {
	if m != nil {
		m.scope.Counter("invariant_failures").Inc(1)
	}
}

// SetGauges sets the gauges to the status of the node. It sets them directly at
// the reporter, because gauges of the scope would reach the scrape endpoint only
// at the next report.
func (m *Metrics) SetGauges(s control.Status) {
	if m == nil {
		return
	}
	m.gauges[gaugeQueue].ReportGauge(float64(s.Waiting))
	m.gauges[gaugeRequests].ReportGauge(float64(s.Requests))
	m.gauges[gaugeServers].ReportGauge(float64(s.Servers))
	m.gauges[gaugeAvailable].ReportGauge(float64(s.Available))
	m.gauges[gaugeLeaving].ReportGauge(float64(s.Leaving))
	m.gauges[gaugePaused].ReportGauge(float64(s.Paused))
	m.gauges[gaugeLimited].ReportGauge(float64(s.Limited))
	m.gauges[gaugeEvacuated].ReportGauge(float64(s.Evacuated))
	m.gauges[gaugeBudget].ReportGauge(s.Budget)
	m.gauges[gaugeVersion].ReportGauge(float64(s.Version))
}

func (m *Metrics) count(name, tag, value string) {
	m.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(1)
}
