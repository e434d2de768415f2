// Package ingress serves callers over net/http. It decodes requests, asks the
// control thread for each decision, and writes responses to the caller.
package ingress

import (
	"context"
	"net/http"
	"sync"
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
	"tanagerspread/node/memory"
)

// ControlThread is the interface of the control thread that ingress uses.
type ControlThread interface {
	Ask(ctx context.Context, question control.Question) (control.Decision, *code.Error)
	Tell(message control.Message) bool
}

// StoredResponse is the response that is stored in the at-most-once record of a
// request, and any other complete response in the same form.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claim identifies the at-most-once record of one request.
type Claim struct {
	Organisation request.Organisation
	KeyDigest    string
	BodyDigest   string
	Request      request.ID
	// Deadline is the time by which the request has finished.
	Deadline time.Time
}

// Recorder stores the at-most-once records.
type Recorder interface {
	// Claim creates the record. It returns the stored response of an earlier
	// call, or an error whose execution class tells whether that call ran, or nil
	// and nil when the record was created.
	Claim(ctx context.Context, claim Claim) (*StoredResponse, *code.Error)
	// Complete stores the response. A failure leaves the record claimed.
	Complete(ctx context.Context, claim Claim, stored StoredResponse) *code.Error
	// Release releases a claim whose request was not sent.
	Release(ctx context.Context, claim Claim) *code.Error
}

// Observer counts finished requests.
type Observer interface {
	// ObserveOutcome counts a request by the error it was refused with, or as
	// delivered when err is nil.
	ObserveOutcome(err *code.Error)
	// ObserveCallDuration records the times from the arrival of a forwarded
	// call to the first part and to the end of its response.
	ObserveCallDuration(kind config.RouteKind, first, total time.Duration)
}

// Options configures a Frontend.
type Options struct {
	Control  ControlThread
	Egress   *egress.Client
	Recorder Recorder
	// Importer imports cache blocks into engines.
	Importer *blocks.Importer
	Logger   logr.Logger
	// Checker receives violations of invariants.
	Checker  invariant.Checker
	Observer Observer
	// MaxBodyBytes is the largest request body that is accepted.
	MaxBodyBytes int64
	// Budget is the memory of the forwarded calls in progress; nil has no bound.
	Budget *memory.Budget
	// Unread is the memory of bytes of their connections that were received and are not
	// read yet; nil has no bound.
	Unread *memory.Budget
	// Protocol is the protocol of forwarded calls. If it is nil, the frontend
	// serves the product's own interface.
	Protocol forward.Protocol
}

// Frontend serves the requests of callers.
type Frontend struct {
	options Options
	ready   atomic.Bool
	// maxBodyBytes is the largest body of a forwarded call that is accepted.
	maxBodyBytes atomic.Int64
	// attempts holds the attempts of forwarded calls in progress: values of type
	// *runningAttempt by attemptKey. The control thread reads it without waiting.
	attempts sync.Map
	// callIDs holds the request.ID of each forwarded call in progress.
	callIDs sync.Map
}

// NewFrontend returns a frontend that is not ready yet.
func NewFrontend(options Options) *Frontend {
	f := &Frontend{options: options}
	f.SetMaxBodyBytes(options.MaxBodyBytes)
	return f
}

// SetMaxBodyBytes sets the largest body of a forwarded call that is accepted.
func (f *Frontend) SetMaxBodyBytes(bytes int64) {
	f.maxBodyBytes.Store(bytes)
}

// SetReady sets the response to the load balancer's readiness checks.
func (f *Frontend) SetReady(ready bool) {
	f.ready.Store(ready)
}

// Handler returns the handler of callers and of the load balancer.
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

// refuse logs a refusal and writes it to the caller.
func (f *Frontend) refuse(w http.ResponseWriter, id request.ID, err *code.Error, retryAfter time.Duration) {
	f.recordFailure(id, err)
	writeErrorResponse(w, id, err, retryAfter)
}

// recordFailure counts and logs a request that ends without a complete response:
// a refusal, or a stream that ends with an error event.
func (f *Frontend) recordFailure(id request.ID, err *code.Error) {
	f.options.Observer.ObserveOutcome(err)
	eventlog.Write(f.options.Logger, event.RequestRefused, err.Cause,
		"request", id, "code", int(err.Code), "execution", string(err.Info().Execution))
}

// recordDelivered counts and logs a request with a complete response.
func (f *Frontend) recordDelivered(id request.ID) {
	f.options.Observer.ObserveOutcome(nil)
	eventlog.Write(f.options.Logger, event.RequestDelivered, nil, "request", id)
}

func newID() request.ID {
	return request.ID(uuid.NewString())
}
