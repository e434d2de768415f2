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

// slowBody is a caller's body that does not arrive in time.
type slowBody struct{}

func (slowBody) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// refuseUnrun responds like a backend server that did not run the request.
func refuseUnrun(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	rw.Header().Set(engine.HeaderExecution, engine.ExecutionNotRun)
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// point is one fault point of the request path with the code that it leads to.
type point struct {
	want code.Code
	// runs is how often the backend server runs the request.
	runs int
	// servers handle the service "lookup" and "lodgement"; nil means one sound
	// server.
	servers []http.HandlerFunc
	set     func(n *node)
	request *http.Request
}

func lookup() *http.Request { return newRequest(http.MethodGet, "/services/lookup/k", "", "") }
func lodge() *http.Request  { return newRequest(http.MethodPost, "/services/lodgement/k", "k", "entry") }

func completion(body string) *http.Request {
	return newRequest(http.MethodPost, "/v1/chat/completions", "", body)
}

func with(r *http.Request, change func(r *http.Request)) *http.Request {
	change(r)
	return r
}

// other authorises a request as the organisation with limits.
func other(r *http.Request) { r.Header.Set("Authorization", "Bearer other") }

// beforeAdmission lists the fault points before any attempt.
func beforeAdmission() map[string]point {
	return map[string]point{
		"large body":     {want: code.BodyTooLarge, request: completion(strings.Repeat("x", 2<<20))},
		"malformed body": {want: code.MalformedBody, request: completion("{")},
		"unknown model":  {want: code.UnknownModel, request: completion(strings.Replace(completionBody(false), "entry-text", "none", 1))},
		"many messages": {want: code.TooManyItems,
			request: completion(`{"model":"m","messages":[` + strings.Repeat(`{},`, 1024) + `{}]}`)},
		"slow caller":     {want: code.SlowCaller, request: with(lodge(), func(r *http.Request) { r.Body = io.NopCloser(slowBody{}) })},
		"unknown service": {want: code.UnknownService, request: newRequest(http.MethodGet, "/services/none/k", "", "")},
		"no key":          {want: code.MissingIdempotencyKey, request: newRequest(http.MethodPost, "/services/lodgement/k", "", "")},
		"two keys":        {want: code.MalformedHeader, request: with(lodge(), func(r *http.Request) { r.Header.Add("Idempotency-Key", "x") })},
		"unknown route":   {want: code.UnknownRoute, request: newRequest(http.MethodGet, "/none", "", "")},
		"no token":        {want: code.MissingToken, request: with(lodge(), func(r *http.Request) { r.Header.Del("Authorization") })},
		"unknown token":   {want: code.UnknownToken, request: with(lodge(), func(r *http.Request) { r.Header.Set("Authorization", "Bearer x") })},
		"not allowed":     {want: code.ModelNotAllowed, request: with(lodge(), other)},
		"rate": {want: code.OrganisationLimit, request: with(lookup(), other), set: func(n *node) {
			n.do(with(newRequest(http.MethodGet, "/services/lookup/first", "", ""), other))
		}},
		"draining": {want: code.Draining, request: lookup(), set: func(n *node) {
			n.loop.Tell(control.Drain{})
			time.Sleep(20 * time.Second)
		}},
		"stopped": {want: code.Draining, request: lookup(), set: func(n *node) { n.stop(); time.Sleep(time.Second) }},
	}
}

// afterAdmission lists the fault points from the claim to the response.
func afterAdmission() map[string]point {
	refuseDial := func(n *node) { n.onDial = func() error { return errDial } }
	freezeDial := func(n *node) { n.onDial = func() error { time.Sleep(freeze); return nil } }
	four := []http.HandlerFunc{refuseUnrun, refuseUnrun, refuseUnrun, refuseUnrun}
	return map[string]point{
		"claim":            {want: code.ClaimUnavailable, request: lodge(), set: func(n *node) { n.kv.dead.Store(true) }},
		"claim lost":       {want: code.ClaimUnavailable, request: lodge(), set: func(n *node) { n.kv.plan = slices.Concat([]fault{0, faultLost}, slices.Repeat([]fault{faultAway}, 9)) }},
		"queue":            {want: code.QueueFull, request: newRequest(http.MethodGet, "/services/full/k", "", ""), set: fillSlots},
		"place":            {want: code.NoServer, request: newRequest(http.MethodGet, "/services/empty/k", "", "")},
		"dial":             {want: code.DialRefused, request: lodge(), set: refuseDial},
		"dial everywhere":  {want: code.DialRefused, request: lookup(), servers: four, set: refuseDial},
		"gate":             {want: code.NoServer, request: lodge(), set: leaveAtDial},
		"dial frozen":      {want: code.DeadlinePassedNotRun, request: lodge(), set: freezeDial},
		"dial frozen, get": {want: code.DeadlinePassedNotRun, request: lookup(), set: freezeDial},
		"run, then frozen dial": {want: code.DeadlinePassed, runs: 1, request: lookup(), servers: []http.HandlerFunc{abort, nil}, set: func(n *node) {
			n.onDial = func() error {
				if n.dials.Load() > 1 {
					time.Sleep(freeze)
				}
				return nil
			}
		}},
		"header write":       {want: code.DeadlinePassed, request: lodge(), set: func(n *node) { n.onWrite = func() { time.Sleep(freeze) } }},
		"refused unrun":      {want: code.BackendRefused, request: lookup(), servers: four},
		"refused, elsewhere": {runs: 1, request: lookup(), servers: []http.HandlerFunc{refuseUnrun, nil}},
		"refused, keyed":     {want: code.RetriesExhausted, request: lodge(), servers: four},
		"run, then refused":  {want: code.RetriesExhausted, runs: 1, request: lookup(), servers: []http.HandlerFunc{abort, refuseUnrun, refuseUnrun, refuseUnrun}},
		"body":               {want: code.BackendLost, runs: 1, request: lodge(), servers: []http.HandlerFunc{abort}},
		"response": {want: code.AnswerTooLarge, runs: 1, request: lodge(), servers: []http.HandlerFunc{func(rw http.ResponseWriter, _ *http.Request) {
			_, _ = rw.Write(bytes.Repeat([]byte("x"), 5<<20))
		}}},
		"late response": {want: code.DeadlinePassed, runs: 1, request: lodge(), servers: []http.HandlerFunc{func(http.ResponseWriter, *http.Request) { time.Sleep(freeze) }}},
		"caller gone":   {want: code.CallerGone, runs: 1, request: with(lookup(), leaveSoon), servers: []http.HandlerFunc{func(http.ResponseWriter, *http.Request) { time.Sleep(freeze) }}},
		"record":        {runs: 1, request: lodge(), set: func(n *node) { n.kv.plan = append([]fault{0, 0}, slices.Repeat([]fault{faultAway}, 300)...) }},
	}
}

// leaveAtDial lets the servers begin to leave while a connection is opened.
func leaveAtDial(n *node) {
	n.onDial = func() error {
		vms := slices.Clone(n.w.vms)
		for i := range vms {
			vms[i].Leaving = true
		}
		n.loop.Tell(control.VMList{VMs: vms})
		time.Sleep(time.Second)
		return nil
	}
}

// fillSlots occupies all slots of the server of the service "full".
func fillSlots(n *node) {
	for range 8 {
		go n.call(http.MethodGet, "/services/full/busy", "", "")
	}
	time.Sleep(time.Second)
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// leaveSoon replaces the request by one whose caller leaves after 1 s.
func leaveSoon(r *http.Request) {
	ctx, cancel := context.WithCancelCause(r.Context())
	time.AfterFunc(time.Second, func() { cancel(errors.New("left")) })
	*r = *r.WithContext(ctx)
}

// elsewhere lists the codes of requests that other tests provoke, and those
// that no path of this package returns.
var elsewhere = []code.Code{
	// TestRepeats, TestSameMoment, TestNodeDies.
	code.KeyReused, code.InProgress, code.OutcomeUnknown, code.AnswerNotKept,
	// TestWholeCompletion and TestWholeService.
	code.BackendSilent, code.AnswerTruncated, code.AnswerMismatched,
	// The tests of quarantine in core/control.
	code.Quarantined, code.QuarantinedRan,
	// Not provoked at any fault point here.
	code.RetriesExhaustedNotRun, code.DeadlineTooShort,
	// Before the first configuration, under overload and while fenced no
	// request is admitted.
	code.Starting, code.Overloaded, code.Fenced,
}

// TestNotRunIsTrue guards against a refusal that says not-run at any fault
// point although a backend server ran the request.
func TestNotRunIsTrue(t *testing.T) {
	seen := slices.Clone(elsewhere)
	for _, points := range []func() map[string]point{beforeAdmission, afterAdmission} {
		for name := range points() {
			t.Run(name, func(t *testing.T) {
				inWorld(t, func(w *world) { seen = append(seen, w.check(points()[name])) })
			})
		}
	}
	for _, info := range code.All() {
		if info.Code < code.RuleMalformed && !slices.Contains(seen, info.Code) {
			t.Errorf("code %d %s: no fault point leads to it", info.Code, info.Name)
		}
	}
}

// check runs one fault point and returns the code that the caller received.
func (w *world) check(p point) code.Code {
	if p.servers == nil {
		p.servers = []http.HandlerFunc{nil}
	}
	for i, handler := range p.servers {
		for _, service := range []string{"lookup", "lodgement", "full"} {
			w.serve(service+string(rune('0'+i)), fleet.RoleService, service, w.counted(handler))
		}
	}
	n := w.node("a")
	if p.set != nil {
		p.set(n)
	}
	got := n.do(p.request)
	runs := w.ran("/k")
	if got.code != p.want || runs != p.runs {
		w.t.Errorf("got %+v and %d runs, want code %d and %d runs", got, runs, p.want, p.runs)
	}
	if got.execution == code.NotRun && runs > 0 || got.execution == code.Ran && runs != 1 {
		w.t.Errorf("%+v is not true: %d runs", got, runs)
	}
	if got.code != 0 && got.execution != code.Lookup(got.code).Execution {
		w.t.Errorf("%+v has not the execution class of its code", got)
	}
	return got.code
}

// counted counts the runs of a server, except those that it says it refused. A
// call of /busy occupies it for 5 s.
func (w *world) counted(handler http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.count(r.URL.Path)
		if r.URL.Path == "/busy" {
			time.Sleep(5 * time.Second)
		}
		if handler != nil {
			handler(rw, r)
		}
		if rw.Header().Get(engine.HeaderExecution) == engine.ExecutionNotRun {
			w.mu.Lock()
			w.runs[r.URL.Path]--
			w.mu.Unlock()
		}
	}
}
