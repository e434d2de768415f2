package soak

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"

	"tanagerspread/standin/deployed"
)

// oracle compares the outcomes at the callers with the requests that the servers
// received, and collects violations of the guarantees.
type oracle struct {
	// executions has the requests that ran, by the identifier of the attempt.
	executions map[string][]deployed.Request
	violations []string
}

// findViolations returns the violations in the requests that the servers
// received and in the outcomes at the callers.
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

// checkReceived checks one request as a server received it: the caller's key is
// removed, the node has set the tenant, the host, path and body are unchanged,
// and on a model server the salt matches the weights that the request ran on.
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
	if want := deployed.CacheSalt(r.Weights); r.Salt() != want {
		o.addViolation("%s: ran on weights %d with salt %q", id, r.Weights, r.Salt())
	}
}

// checkOutcome checks one outcome against the executions of its attempt. It must
// be called after checkReceived has been called for all requests.
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

// matchesCall reports whether the body of a complete response belongs to the
// call. A stream must contain each event exactly once and in order, all with ids or,
// from a server that omits them, all without. A model server that behaves as
// deployed.RespondPlain sends a response that is no stream.
func (o *oracle) matchesCall(call outcome) bool {
	if call.path == "/charge/" || call.path == "/lookup/" {
		return strings.HasSuffix(call.body, " to "+call.id)
	}
	numbered, unnumbered := "", ""
	for i := 1; i <= streamEvents; i++ {
		piece := fmt.Sprintf("data: piece %d\n\n", i)
		numbered += fmt.Sprintf("id: %d\n%s", i, piece)
		unnumbered += piece
	}
	plain := regexp.MustCompile(`^answer of \S+ to ` + regexp.QuoteMeta(call.id) + `$`)
	return call.body == numbered || call.body == unnumbered || plain.MatchString(call.body)
}
