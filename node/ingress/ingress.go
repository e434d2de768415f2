// Package ingress serves callers over net/http. It decodes requests, asks the
// control thread for each decision, and carries responses to the caller.
package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/invariant"
	"tanagerspread/core/request"
	"tanagerspread/node/blocks"
	"tanagerspread/node/egress"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/forward"
)

// ControlThread is the control thread as ingress sees it.
type ControlThread interface {
	Ask(ctx context.Context, question control.Question) (control.Decision, *code.Error)
	Tell(message control.Message) bool
}

// StoredResponse is the stored response of a non-idempotent request.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claim names the at-most-once record of one request.
type Claim struct {
	Organisation request.Organisation
	KeyDigest    string
	BodyDigest   string
	Request      request.ID
	// Deadline is when the request ends at the latest.
	Deadline time.Time
}

// Recorder keeps the at-most-once records.
type Recorder interface {
	// Claim creates the record. It returns the kept response of an earlier
	// call, or an error whose execution class tells what became of it.
	Claim(ctx context.Context, claim Claim) (*StoredResponse, *code.Error)
	// Complete stores the response. A failure leaves the record claimed.
	Complete(ctx context.Context, claim Claim, stored StoredResponse) *code.Error
	// Release gives up a claim whose request was not sent.
	Release(ctx context.Context, claim Claim) *code.Error
}

// Observer counts finished requests.
type Observer interface {
	// Outcome takes the error of a refused request, or nil when the whole
	// response was delivered.
	Outcome(err *code.Error)
	// Answered takes the times to the first part and to the end of a forwarded
	// call's response.
	Answered(kind config.RouteKind, first, total time.Duration)
}

// Options configures a front.
type Options struct {
	Control  ControlThread
	Egress   *egress.Client
	Recorder Recorder
	// Importer brings cache blocks into engines.
	Importer *blocks.Importer
	Logger   logr.Logger
	// Checker receives violations of invariants.
	Checker  invariant.Checker
	Observer Observer
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// MaxPendingBytes bounds the bodies of all forwarded calls in progress; 0
	// means no bound.
	MaxPendingBytes int64
	// Protocol is that of forwarded calls; with nil the front serves the
	// product's own interface.
	Protocol forward.Protocol
}

// Frontend serves callers.
type Frontend struct {
	options Options
	ready   atomic.Bool
	// pendingBytes counts the bytes of the bodies of forwarded calls in progress.
	pendingBytes atomic.Int64
}

// NewFrontend returns a front that is not ready yet.
func NewFrontend(options Options) *Frontend {
	return &Frontend{options: options}
}

// SetReady sets the response to the load balancer's readiness check.
func (f *Frontend) SetReady(ready bool) {
	f.ready.Store(ready)
}

// Handler returns the routes for callers and the load balancer.
func (f *Frontend) Handler() http.Handler {
	if f.options.Protocol != nil {
		return f.forwardHandler()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { f.handleCompletion(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { f.handleCompletion(w, r, true) })
	mux.HandleFunc("/services/{name}/{rest...}", f.handleService)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", f.handleReadiness)
	mux.HandleFunc("/", f.handleUnknownRoute)
	return mux
}

func (f *Frontend) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !f.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (f *Frontend) handleUnknownRoute(w http.ResponseWriter, _ *http.Request) {
	f.refuse(w, newID(), code.New(code.UnknownRoute, "the path or method is not served"), 0)
}

// refuse logs a refusal and responds with it.
func (f *Frontend) refuse(w http.ResponseWriter, id request.ID, err *code.Error, retryAfter time.Duration) {
	f.recordRefused(id, err)
	writeErrorResponse(w, id, err, retryAfter)
}

func (f *Frontend) recordRefused(id request.ID, err *code.Error) {
	f.options.Observer.Outcome(err)
	eventlog.Write(f.options.Logger, event.RequestRefused, err.Cause,
		"request", id, "code", int(err.Code), "execution", string(err.Info().Execution))
}

func (f *Frontend) recordDelivered(id request.ID) {
	f.options.Observer.Outcome(nil)
	eventlog.Write(f.options.Logger, event.RequestDelivered, nil, "request", id)
}

func newID() request.ID {
	return request.ID(uuid.NewString())
}
