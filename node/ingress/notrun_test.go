package ingress_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
)

// timedOutBody is the body of a caller that does not send it in time.
type timedOutBody struct{}

func (timedOutBody) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// refuseNotRun responds like a backend server that refuses a request without
// running it.
func refuseNotRun(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	rw.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	rw.Header().Set(engine.HeaderExecution, engine.ExecutionNotRun)
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// faultPoint is a fault at one point of the request path, with the result that it
// leads to.
type faultPoint struct {
	want code.Code
	// runs is how often the backend servers run the request.
	runs int
	// servers are the handlers of the servers of each service; nil means one
	// server without a fault.
	servers []http.HandlerFunc
	prepare func(n *clusterNode)
	request *http.Request
}

func lookupRequest() *http.Request { return newRequest(http.MethodGet, "/services/lookup/k", "", "") }
func lodgementRequest() *http.Request {
	return newRequest(http.MethodPost, "/services/lodgement/k", "k", "entry")
}

func chatRequest(body string) *http.Request {
	return newRequest(http.MethodPost, "/v1/chat/completions", "", body)
}

func modified(r *http.Request, change func(r *http.Request)) *http.Request {
	change(r)
	return r
}

// useLimitedOrganisation sets the token of the organisation that has a rate limit
// and may use the service lookup only.
func useLimitedOrganisation(r *http.Request) { r.Header.Set("Authorization", "Bearer other") }

// beforeAdmission returns the fault points up to the admission, by name.
func beforeAdmission() map[string]faultPoint {
	return map[string]faultPoint{
		"large body":     {want: code.BodyTooLarge, request: chatRequest(strings.Repeat("x", 2<<20))},
		"malformed body": {want: code.MalformedBody, request: chatRequest("{")},
		"unknown model":  {want: code.UnknownModel, request: chatRequest(strings.Replace(completionBody(false), "entry-text", "none", 1))},
		"many messages": {want: code.TooManyItems,
			request: chatRequest(`{"model":"m","messages":[` + strings.Repeat(`{},`, 1024) + `{}]}`)},
		"slow caller":     {want: code.SlowCaller, request: modified(lodgementRequest(), func(r *http.Request) { r.Body = io.NopCloser(timedOutBody{}) })},
		"unknown service": {want: code.UnknownService, request: newRequest(http.MethodGet, "/services/none/k", "", "")},
		"no key":          {want: code.MissingIdempotencyKey, request: newRequest(http.MethodPost, "/services/lodgement/k", "", "")},
		"two keys":        {want: code.MalformedHeader, request: modified(lodgementRequest(), func(r *http.Request) { r.Header.Add("Idempotency-Key", "x") })},
		"unknown route":   {want: code.UnknownRoute, request: newRequest(http.MethodGet, "/none", "", "")},
		"no token":        {want: code.MissingToken, request: modified(lodgementRequest(), func(r *http.Request) { r.Header.Del("Authorization") })},
		"unknown token":   {want: code.UnknownToken, request: modified(lodgementRequest(), func(r *http.Request) { r.Header.Set("Authorization", "Bearer x") })},
		"not allowed":     {want: code.ModelNotAllowed, request: modified(lodgementRequest(), useLimitedOrganisation)},
		"rate": {want: code.OrganisationLimit, request: modified(lookupRequest(), useLimitedOrganisation), prepare: func(n *clusterNode) {
			n.do(modified(newRequest(http.MethodGet, "/services/lookup/first", "", ""), useLimitedOrganisation))
		}},
		"draining": {want: code.Draining, request: lookupRequest(), prepare: func(n *clusterNode) {
			n.loop.Tell(control.Drain{})
			time.Sleep(20 * time.Second)
		}},
		"stopped": {want: code.Draining, request: lookupRequest(), prepare: func(n *clusterNode) { n.stop(); time.Sleep(time.Second) }},
	}
}

// afterAdmission returns the fault points from the claim to the response, by
// name.
func afterAdmission() map[string]faultPoint {
	refuseDial := func(n *clusterNode) { n.onDial = func() error { return errDial } }
	pauseDial := func(n *clusterNode) { n.onDial = func() error { time.Sleep(pauseDuration); return nil } }
	allRefuse := []http.HandlerFunc{refuseNotRun, refuseNotRun, refuseNotRun, refuseNotRun}
	return map[string]faultPoint{
		"claim": {want: code.ClaimUnavailable, request: lodgementRequest(), prepare: func(n *clusterNode) { n.kv.nodeDied.Store(true) }},
		"claim lost": {want: code.ClaimUnavailable, request: lodgementRequest(), prepare: func(n *clusterNode) {
			n.kv.faults = slices.Concat([]fault{0, faultResponseLost}, slices.Repeat([]fault{faultUnreachable}, 9))
		}},
		"queue":            {want: code.QueueFull, request: newRequest(http.MethodGet, "/services/full/k", "", ""), prepare: fillSlots},
		"place":            {want: code.NoServer, request: newRequest(http.MethodGet, "/services/empty/k", "", "")},
		"dial":             {want: code.DialRefused, request: lodgementRequest(), prepare: refuseDial},
		"dial everywhere":  {want: code.DialRefused, request: lookupRequest(), servers: allRefuse, prepare: refuseDial},
		"gate":             {want: code.NoServer, request: lodgementRequest(), prepare: reportLeavingAtDial},
		"dial paused":      {want: code.DeadlinePassedNotRun, request: lodgementRequest(), prepare: pauseDial},
		"dial paused, get": {want: code.DeadlinePassedNotRun, request: lookupRequest(), prepare: pauseDial},
		"run, then paused dial": {want: code.DeadlinePassed, runs: 1, request: lookupRequest(), servers: []http.HandlerFunc{abortConnection, nil}, prepare: func(n *clusterNode) {
			n.onDial = func() error {
				if n.dials.Load() > 1 {
					time.Sleep(pauseDuration)
				}
				return nil
			}
		}},
		"header write":       {want: code.DeadlinePassed, request: lodgementRequest(), prepare: func(n *clusterNode) { n.onWrite = func() { time.Sleep(pauseDuration) } }},
		"refused unrun":      {want: code.BackendRefused, request: lookupRequest(), servers: allRefuse},
		"refused, elsewhere": {runs: 1, request: lookupRequest(), servers: []http.HandlerFunc{refuseNotRun, nil}},
		"refused, keyed":     {want: code.RetriesExhausted, request: lodgementRequest(), servers: allRefuse},
		"run, then refused":  {want: code.RetriesExhausted, runs: 1, request: lookupRequest(), servers: []http.HandlerFunc{abortConnection, refuseNotRun, refuseNotRun, refuseNotRun}},
		"body":               {want: code.BackendLost, runs: 1, request: lodgementRequest(), servers: []http.HandlerFunc{abortConnection}},
		"response": {want: code.AnswerTooLarge, runs: 1, request: lodgementRequest(), servers: []http.HandlerFunc{func(rw http.ResponseWriter, _ *http.Request) {
			_, _ = rw.Write(bytes.Repeat([]byte("x"), 5<<20))
		}}},
		"late response": {want: code.DeadlinePassed, runs: 1, request: lodgementRequest(), servers: []http.HandlerFunc{func(http.ResponseWriter, *http.Request) { time.Sleep(pauseDuration) }}},
		"caller gone":   {want: code.CallerGone, runs: 1, request: modified(lookupRequest(), cancelAfterOneSecond), servers: []http.HandlerFunc{func(http.ResponseWriter, *http.Request) { time.Sleep(pauseDuration) }}},
		"record": {runs: 1, request: lodgementRequest(), prepare: func(n *clusterNode) {
			n.kv.faults = append([]fault{0, 0}, slices.Repeat([]fault{faultUnreachable}, 300)...)
		}},
	}
}

// reportLeavingAtDial makes the VM list report all servers as leaving while a
// connection is being opened.
func reportLeavingAtDial(n *clusterNode) {
	n.onDial = func() error {
		vms := slices.Clone(n.cluster.vms)
		for i := range vms {
			vms[i].Leaving = true
		}
		n.loop.Tell(control.VMList{VMs: vms})
		time.Sleep(time.Second)
		return nil
	}
}

// fillSlots occupies all slots of the server of the service "full".
func fillSlots(n *clusterNode) {
	for range 8 {
		go n.call(http.MethodGet, "/services/full/busy", "", "")
	}
	time.Sleep(time.Second)
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// cancelAfterOneSecond makes the caller of the request disconnect after 1 s.
func cancelAfterOneSecond(r *http.Request) {
	ctx, cancel := context.WithCancelCause(r.Context())
	time.AfterFunc(time.Second, func() { cancel(errors.New("left")) })
	*r = *r.WithContext(ctx)
}

// coveredElsewhere lists the codes that other tests provoke, and those that no
// fault point of this test can provoke.
var coveredElsewhere = []code.Code{
	// TestRepeatedCalls, TestConcurrentCalls, TestClaimHolderDies.
	code.KeyReused, code.InProgress, code.OutcomeUnknown, code.AnswerNotKept,
	// TestRepeatedIDRefused; the callers of the own interface choose no ids.
	code.RequestInProgress,
	// TestCompleteCompletionsOnly and TestCompleteServiceResponsesOnly.
	code.BackendSilent, code.AnswerTruncated, code.AnswerMismatched,
	// TestHeldCallNeverBeginsOnOldWeights; only forwarded calls have this limit.
	code.OutdatedWeights,
	// The quarantine tests in core/control.
	code.Quarantined, code.QuarantinedRan,
	// TestCrashingPartNotSent; only forwarded calls have prompt parts.
	code.PartQuarantined,
	// Not provoked at any fault point here.
	code.RetriesExhaustedNotRun, code.DeadlineTooShort,
	// Returned before admission: until the first configuration, under overload
	// and while the node is fenced.
	code.Starting, code.Overloaded, code.Fenced,
}

// TestNotRunMeansNoRun guards against a refusal with the execution class
// not-run after a backend server ran the request, at any fault point. It also
// fails when a request code is neither provoked here nor listed in
// coveredElsewhere.
func TestNotRunMeansNoRun(t *testing.T) {
	seenCodes := slices.Clone(coveredElsewhere)
	for _, points := range []func() map[string]faultPoint{beforeAdmission, afterAdmission} {
		for name := range points() {
			t.Run(name, func(t *testing.T) {
				runInCluster(t, func(c *cluster) { seenCodes = append(seenCodes, c.checkFaultPoint(points()[name])) })
			})
		}
	}
	for _, info := range code.All() {
		if info.Code < code.RuleMalformed && !slices.Contains(seenCodes, info.Code) {
			t.Errorf("code %d %s: no fault point provokes it", info.Code, info.Name)
		}
	}
}

// checkFaultPoint runs one fault point, checks its result and returns the code
// that the caller received.
func (c *cluster) checkFaultPoint(p faultPoint) code.Code {
	if p.servers == nil {
		p.servers = []http.HandlerFunc{nil}
	}
	for i, handler := range p.servers {
		for _, service := range []string{"lookup", "lodgement", "full"} {
			c.addServer(service+string(rune('0'+i)), fleet.RoleService, service, c.countingHandler(handler))
		}
	}
	n := c.addNode("a")
	if p.prepare != nil {
		p.prepare(n)
	}
	got := n.do(p.request)
	runs := c.runCount("/k")
	if got.code != p.want || runs != p.runs {
		c.t.Errorf("got %+v and %d runs, want code %d and %d runs", got, runs, p.want, p.runs)
	}
	if got.execution == code.NotRun && runs > 0 || got.execution == code.Ran && runs != 1 {
		c.t.Errorf("%+v has the wrong execution class: %d runs", got, runs)
	}
	if got.code != 0 && got.execution != code.Lookup(got.code).Execution {
		c.t.Errorf("%+v does not have the execution class of its code", got)
	}
	return got.code
}

// countingHandler counts the runs of a server, without those that it reports as
// not run. A call of /busy takes 5 s.
func (c *cluster) countingHandler(handler http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c.countRun(r.URL.Path)
		if r.URL.Path == "/busy" {
			time.Sleep(5 * time.Second)
		}
		if handler != nil {
			handler(rw, r)
		}
		if rw.Header().Get(engine.HeaderExecution) == engine.ExecutionNotRun {
			c.mu.Lock()
			c.runs[r.URL.Path]--
			c.mu.Unlock()
		}
	}
}
