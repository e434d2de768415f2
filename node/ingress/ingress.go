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

// Asker is the control thread as ingress sees it.
type Asker interface {
	Ask(ctx context.Context, question control.Question) (control.Decision, *code.Error)
	Tell(message control.Message) bool
}

// Kept is the stored response of a non-idempotent request.
type Kept struct {
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
	Claim(ctx context.Context, claim Claim) (*Kept, *code.Error)
	// Complete stores the response. A failure leaves the record claimed.
	Complete(ctx context.Context, claim Claim, kept Kept) *code.Error
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
	Control  Asker
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

// Front serves callers.
type Front struct {
	options Options
	ready   atomic.Bool
	// pending counts the bytes of the bodies of forwarded calls in progress.
	pending atomic.Int64
}

// NewFront returns a front that is not ready yet.
func NewFront(options Options) *Front {
	return &Front{options: options}
}

// SetReady sets the response to the load balancer's readiness check.
func (f *Front) SetReady(ready bool) {
	f.ready.Store(ready)
}

// Handler returns the routes for callers and the load balancer.
func (f *Front) Handler() http.Handler {
	if f.options.Protocol != nil {
		return f.forwardHandler()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { f.completion(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { f.completion(w, r, true) })
	mux.HandleFunc("/services/{name}/{rest...}", f.service)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", f.readiness)
	mux.HandleFunc("/", f.unknownRoute)
	return mux
}

func (f *Front) readiness(w http.ResponseWriter, _ *http.Request) {
	if !f.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (f *Front) unknownRoute(w http.ResponseWriter, _ *http.Request) {
	f.refuse(w, newID(), code.New(code.UnknownRoute, "the path or method is not served"), 0)
}

// refuse logs a refusal and responds with it.
func (f *Front) refuse(w http.ResponseWriter, id request.ID, err *code.Error, retryAfter time.Duration) {
	f.noteRefused(id, err)
	writeRefusal(w, id, err, retryAfter)
}

func (f *Front) noteRefused(id request.ID, err *code.Error) {
	f.options.Observer.Outcome(err)
	eventlog.Write(f.options.Logger, event.RequestRefused, err.Cause,
		"request", id, "code", int(err.Code), "execution", string(err.Info().Execution))
}

func (f *Front) noteDelivered(id request.ID) {
	f.options.Observer.Outcome(nil)
	eventlog.Write(f.options.Logger, event.RequestDelivered, nil, "request", id)
}

func newID() request.ID {
	return request.ID(uuid.NewString())
}
