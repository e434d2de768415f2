package soak

import (
	"fmt"
	"net/http"
	"strings"

	"tanagerspread/standin/deployed"
)

// oracle judges by what callers and servers have seen.
type oracle struct {
	// executions holds the executions of each attempt.
	executions map[string][]deployed.Request
	violations []string
}

// findViolations checks all outcomes of a run.
func findViolations(s *site, outcomes []outcome) []string {
	o := &oracle{executions: map[string][]deployed.Request{}}
	for _, server := range s.servers {
		for _, r := range server.Received() {
			o.checkReceived(server, r)
		}
	}
	for _, call := range outcomes {
		o.checkOutcome(call)
	}
	return o.violations
}

func (o *oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// checkReceived checks one call as a server saw it.
func (o *oracle) checkReceived(s *server, r deployed.Request) {
	id := r.Attempt()
	if r.Ran {
		o.executions[id] = append(o.executions[id], r)
	}
	if r.Key() != "" || r.Tenant() != soakTenant {
		o.addViolation("%s: %s got key %q and tenant %q", id, s.ID, r.Key(), r.Tenant())
	}
	if r.Host != soakHost || !strings.HasSuffix(r.URI, "/"+id) || r.Body != "body of "+id {
		o.addViolation("%s: %s got %s %s with body %q", id, s.ID, r.Host, r.URI, r.Body)
	}
	if !r.Ran || s.Events == 0 {
		return
	}
	if want := deployed.SaltOf(r.Weights); r.Salt() != want {
		o.addViolation("%s: ran on weights %d with salt %q", id, r.Weights, r.Salt())
	}
}

// checkOutcome checks one attempt as its caller saw it.
func (o *oracle) checkOutcome(call outcome) {
	executions := len(o.executions[call.id])
	atMostOnce := call.path == "/charge/" || call.path == "/caption/"
	if atMostOnce && executions > 1 {
		o.addViolation("%s: %s ran %d times", call.id, call.path, executions)
	}
	if call.claimsNotExecuted() && executions > 0 {
		o.addViolation("%s: %s was refused with %d and ran %d times", call.id, call.path, call.status, executions)
	}
	if call.status != http.StatusOK || !call.complete {
		return
	}
	if executions == 0 {
		o.addViolation("%s: %s was answered and never ran", call.id, call.path)
	}
	if !o.matchesCall(call) {
		o.addViolation("%s: %s got the answer %q", call.id, call.path, call.body)
	}
}

// matchesCall reports whether a whole answer is that of the call, with each event of a
// stream once and in order.
func (o *oracle) matchesCall(call outcome) bool {
	if call.path == "/charge/" || call.path == "/lookup/" {
		return strings.HasSuffix(call.body, " to "+call.id)
	}
	want := ""
	for i := 1; i <= streamEvents; i++ {
		want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	return call.body == want
}
