package ingress

import (
	"context"
	"net/http"
	"strings"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
	"tanagerspread/node/egress"
)

// servicePathSegments is the number of slash-separated segments of
// "/services/name/rest", with the empty one before the first slash.
const servicePathSegments = 4

// handleService serves a call of a plain service.
func (f *Frontend) handleService(w http.ResponseWriter, r *http.Request) {
	id := newID()
	fields, err := readHeaders(r.Header, time.Now())
	if err != nil {
		f.refuse(w, id, err, 0)
		return
	}
	if len(r.PathValue("name")) > maxNameBytes {
		f.refuse(w, id, code.Newf(code.UnknownService, "the service name is longer than %d bytes", maxNameBytes), 0)
		return
	}
	body, err := readBody(w, r, f.options.MaxBodyBytes)
	if err != nil {
		f.refuse(w, id, err, 0)
		return
	}
	route := request.Route{Kind: request.Service, Name: r.PathValue("name")}
	x := &exchange{frontend: f, request: fields.request(id, route, bodyDigest(r, body))}
	f.serveService(w, r, x, egress.ServiceCall{
		Method:      r.Method,
		Path:        servicePath(r),
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
		RequestID:   string(id),
	})
}

// servicePath returns the path after the service's name and the query in their
// escaped form, so that an escaped "?" or "/" stays part of the path.
func servicePath(r *http.Request) string {
	parts := strings.SplitN(r.URL.EscapedPath(), "/", servicePathSegments)
	path := "/" + parts[len(parts)-1]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func (f *Frontend) serveService(w http.ResponseWriter, r *http.Request, x *exchange, call egress.ServiceCall) {
	ctx, cancel := x.context(r.Context())
	defer cancel()
	if early := x.admit(ctx); early != nil {
		f.writeEarlyResult(w, x, early)
		return
	}
	call.Organisation = string(x.admitted.Organisation)
	call.EchoOptional = x.admitted.EchoOptional
	call.KeyDigest = x.request.KeyDigest
	var response egress.ServiceResponse
	failure := x.execute(ctx, func(ctx context.Context, dispatch control.Dispatch, checkSend egress.SendCheck) egress.Result {
		var result egress.Result
		call.TimeToDeadline = time.Until(x.request.Deadline)
		response, result = f.options.Egress.CallService(ctx, dispatch.Address, call, timeoutsOf(dispatch), checkSend)
		return result
	})
	if failure != nil {
		f.refuse(w, x.request.ID, failure.err, failure.retryAfter)
		return
	}
	stored := StoredResponse{Status: response.Status, ContentType: response.ContentType, Body: response.Body}
	if x.admitted.Claim {
		x.recordResponse(ctx, stored)
	}
	f.recordDelivered(x.request.ID)
	writeStoredResponse(w, x.request.ID, stored)
}

// noRecorder is the recorder of a node without a key-value service.
type noRecorder struct{}

// NoRecorder returns a recorder that refuses every claim with
// code.ClaimUnavailable, for a node without a key-value service.
func NoRecorder() Recorder {
	return noRecorder{}
}

// Claim returns code.ClaimUnavailable.
func (noRecorder) Claim(context.Context, Claim) (*StoredResponse, *code.Error) {
	return nil, code.New(code.ClaimUnavailable, "the key-value service is away")
}

// Complete does nothing.
func (noRecorder) Complete(context.Context, Claim, StoredResponse) *code.Error { return nil }

// Release does nothing.
func (noRecorder) Release(context.Context, Claim) *code.Error { return nil }
