package soak

import (
	"fmt"
	"net/http"
	"strings"

	"tanagerspread/standin/deployed"
)

// oracle judges by what callers and servers have seen.
type oracle struct {
	// runs holds the runs of each attempt.
	runs   map[string][]deployed.Request
	faults []string
}

// judge checks all outcomes of a run.
func judge(s *site, seen []outcome) []string {
	o := &oracle{runs: map[string][]deployed.Request{}}
	for _, server := range s.servers {
		for _, r := range server.Received() {
			o.received(server, r)
		}
	}
	for _, call := range seen {
		o.outcome(call)
	}
	return o.faults
}

func (o *oracle) fault(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

// received checks one call as a server saw it.
func (o *oracle) received(s *server, r deployed.Request) {
	id := r.Attempt()
	if r.Ran {
		o.runs[id] = append(o.runs[id], r)
	}
	if r.Key() != "" || r.Tenant() != soakTenant {
		o.fault("%s: %s got key %q and tenant %q", id, s.ID, r.Key(), r.Tenant())
	}
	if r.Host != soakHost || !strings.HasSuffix(r.URI, "/"+id) || r.Body != "body of "+id {
		o.fault("%s: %s got %s %s with body %q", id, s.ID, r.Host, r.URI, r.Body)
	}
	if !r.Ran || s.Events == 0 {
		return
	}
	if want := deployed.CacheSalt(r.Weights); r.Salt() != want {
		o.fault("%s: ran on weights %d with salt %q", id, r.Weights, r.Salt())
	}
}

// outcome checks one attempt as its caller saw it.
func (o *oracle) outcome(call outcome) {
	runs := len(o.runs[call.id])
	once := call.path == "/charge/" || call.path == "/caption/"
	if once && runs > 1 {
		o.fault("%s: %s ran %d times", call.id, call.path, runs)
	}
	if call.promises() && runs > 0 {
		o.fault("%s: %s was refused with %d and ran %d times", call.id, call.path, call.status, runs)
	}
	if call.status != http.StatusOK || !call.whole {
		return
	}
	if runs == 0 {
		o.fault("%s: %s was answered and never ran", call.id, call.path)
	}
	if !o.own(call) {
		o.fault("%s: %s got the answer %q", call.id, call.path, call.body)
	}
}

// own reports whether a whole answer is that of the call, with each event of a
// stream once and in order.
func (o *oracle) own(call outcome) bool {
	if call.path == "/charge/" || call.path == "/lookup/" {
		return strings.HasSuffix(call.body, " to "+call.id)
	}
	want := ""
	for i := 1; i <= streamEvents; i++ {
		want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	return call.body == want
}
