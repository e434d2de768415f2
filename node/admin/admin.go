// Package admin implements the HTTP interface for operators: dumps of the control
// state, the decisions about a request, the planned stop, and the metrics.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
	"tanagerspread/node/metrics"
)

// Paths of the admin listener.
const (
	PathDump    = "/dump"
	PathStatus  = "/status"
	PathExplain = "/explain"
	PathDrain   = "/drain"
	PathMetrics = "/metrics"
)

// ParamRequest is the query parameter of PathExplain for the request id.
const ParamRequest = "request"

const (
	// askTimeout bounds the wait for a reply of the control thread.
	askTimeout = 2 * time.Second
	// maxIDBytes bounds the length of a request id.
	maxIDBytes = 64
)

// Error is the JSON body of an error response.
type Error struct {
	Code    code.Code `json:"code"`
	Name    string    `json:"name"`
	Message string    `json:"message"`
}

// DrainResponse is the JSON body of the response to an accepted drain.
type DrainResponse struct {
	Accepted bool `json:"accepted"`
}

// Options configures Handler.
type Options struct {
	Control metrics.ControlThread
	Metrics *metrics.Metrics
}

// Handler returns the HTTP handler of the admin listener.
func Handler(options Options) http.Handler {
	h := handler{options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathDump, func(w http.ResponseWriter, r *http.Request) {
		h.serveDecision(w, r, control.DumpState{ID: newID()})
	})
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) {
		h.serveDecision(w, r, control.AskStatus{ID: newID()})
	})
	mux.HandleFunc("GET "+PathExplain, h.explain)
	mux.HandleFunc("POST "+PathDrain, h.drain)
	mux.HandleFunc("GET "+PathMetrics, h.serveMetrics)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, code.New(code.UnknownRoute, "the path or method is not served"))
	})
	return mux
}

type handler struct {
	options Options
}

func (h handler) ask(ctx context.Context, question control.Question) (control.Decision, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return h.options.Control.Ask(ctx, question)
}

// serveDecision asks the control thread and writes its decision as JSON.
func (h handler) serveDecision(w http.ResponseWriter, r *http.Request, question control.Question) {
	decision, err := h.ask(r.Context(), question)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, decision)
}

func (h handler) explain(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get(ParamRequest)
	if id == "" || len(id) > maxIDBytes {
		writeError(w, code.Newf(code.MalformedHeader, "the parameter %s is empty or longer than %d bytes", ParamRequest, maxIDBytes))
		return
	}
	h.serveDecision(w, r, control.Explain{ID: newID(), Request: request.ID(id)})
}

func (h handler) drain(w http.ResponseWriter, _ *http.Request) {
	if !h.options.Control.Tell(control.Drain{}) {
		writeError(w, code.New(code.Overloaded, "the control queue of the node is full"))
		return
	}
	writeJSON(w, http.StatusAccepted, DrainResponse{Accepted: true})
}

// serveMetrics updates the gauges from the control thread, so that they are
// current at the scrape, and serves the metrics. If the control thread does not
// reply within askTimeout, the gauges keep their previous values.
func (h handler) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if decision, err := h.ask(r.Context(), control.AskStatus{ID: newID()}); err == nil {
		if status, ok := decision.(control.Status); ok {
			h.options.Metrics.SetGauges(status)
		}
	}
	h.options.Metrics.Handler().ServeHTTP(w, r)
}

func newID() request.ID {
	return request.ID("admin-" + uuid.NewString())
}

func writeError(w http.ResponseWriter, err *code.Error) {
	info := err.Info()
	writeJSON(w, info.HTTPStatus, Error{Code: err.Code, Name: info.Name, Message: err.Detail})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails only when the client has disconnected, and then nothing
	// can be reported to it.
	_ = json.NewEncoder(w).Encode(value)
}
