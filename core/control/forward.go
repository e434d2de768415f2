package control

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/placement"
	"tanagerspread/core/request"
)

const (
	// maxAssignments bounds how often one call is assigned to a server, including
	// servers that refuse it or cannot be reached.
	maxAssignments = 6
	// maxWaitingCalls bounds the queued calls of one route on a node.
	maxWaitingCalls = 200
	// minHeaderTimeout is the shortest wait for the response headers before a call
	// goes to another server, headerTargetFactor the wait as a multiple of the
	// route's target. Callers abandon a stream after the same times.
	minHeaderTimeout   = 2 * time.Second
	headerTargetFactor = 4
	// headerQueueFactor is the additional wait as a multiple of the expected time
	// to the first token. A server with a long queue is not unreachable, and
	// another one would compute the prompt again.
	headerQueueFactor = 5
	// dialTimeoutDivisor divides the time until the deadline of a call; the result
	// is the wait for a connection. TCP retransmits a lost SYN only after a second.
	dialTimeoutDivisor = 4
	// minDialTimeout is the shortest wait for a connection, a few round trips
	// between failure domains.
	minDialTimeout = 100 * time.Millisecond
	// maxDialTimeout is the longest wait for a connection of a call with a long
	// deadline.
	maxDialTimeout = 250 * time.Millisecond
	// lowestPriority is the least urgent priority that servers accept.
	lowestPriority = 9
)

// Forwarding describes to a traffic goroutine how to forward a call.
type Forwarding struct {
	// Instance identifies the server process that must run the call.
	Instance fleet.ServerID
	// Organisation is the organisation that owns the caller's key, or empty.
	Organisation request.Organisation
	// Priority is 0 for the most urgent calls.
	Priority int
	// ModelEngine is true when a model engine runs the call. Weights, Salt,
	// FetchFrom, SaveTo and FetchUntilMS are set only then.
	ModelEngine bool
	// Weights is the weight version that the server must have loaded, or 0.
	Weights int
	// NewerWeights is the first version that was named after Weights, NewerAge for how
	// long this node takes it to have been named, or unknownAge. Both are 0 without a
	// newer version.
	NewerWeights int
	NewerAge     time.Duration
	// Salt separates cached prompt parts that must not be shared.
	Salt string
	// FetchFrom and SaveTo are the addresses from which each part of the prompt is
	// fetched and to which it is saved; empty means not at all.
	FetchFrom []string
	SaveTo    []string
	// FetchUntilMS is the time by which fetches must have finished, in milliseconds
	// on the servers' clock, or 0 for no limit.
	FetchUntilMS int64
	// WorkUntil is when the server must stop working on the call, or zero when only
	// the deadline of the call limits it.
	WorkUntil time.Time
	// Prefix is the id of the last shared part of the prompt, or empty.
	Prefix string
	// PromptTokens is the number of tokens of the prompt, PrefillTokens the number
	// of those that the server is expected to compute.
	PromptTokens  int
	PrefillTokens int
	// QueueTime is the expected time until the server starts to compute the
	// prompt, given the work of this node and of its peers.
	QueueTime time.Duration
	// CommittedMemory is the number of tokens of the server's memory that the requests
	// of this node and of its peers were expected to occupy, this one included.
	CommittedMemory int
	// Version is the version of the configuration that the decision was based on.
	Version config.Version
}

// admitCall determines the route, the organisation, the class, the deadline and
// the service of a forwarded call.
func (s *State) admitCall(now time.Time, req *activeRequest) *code.Error {
	route := s.rules.Routes.Find(req.Call.Host, req.Call.Path)
	if route == nil {
		return code.New(code.UnknownRoute, "no route matches the host and path")
	}
	req.route = route
	req.Route.Name = route.Name
	if err := s.authenticateCall(req); err != nil {
		return err
	}
	req.isolated = s.rules.Organisations[req.organisation].Isolated
	req.class = request.Class(route.Name)
	req.classConfig = config.Class{Priority: s.callPriority(req), QueueLimit: maxWaitingCalls, FirstTokenTarget: route.FirstPartTarget}
	if limit := now.Add(route.Timeout); route.Timeout > 0 && limit.Before(req.Deadline) {
		req.Deadline = limit
	}
	if err := s.checkStop(req); err != nil {
		return err
	}
	req.setWaitLimits(now)
	req.service = s.chooseService(route)
	s.repeatWindows.RecordFirstAttempt(req.service, now)
	return nil
}

func (s *State) authenticateCall(req *activeRequest) *code.Error {
	if req.route.AuthExempt || s.rules.Keyless {
		return nil
	}
	if !req.Call.HasAPIKey {
		return code.New(code.MissingToken, "the call has no API key")
	}
	return s.authenticate(req)
}

// callPriority returns the priority of the organisation, or that of the route.
func (s *State) callPriority(req *activeRequest) int {
	if own := s.rules.Organisations[req.organisation].Priority; own != nil {
		return *own
	}
	return req.route.Priority
}

// chooseService returns a random service of the route, with the probabilities of
// the route's weights, or an empty text when no service has a weight.
func (s *State) chooseService(route *config.Route) string {
	total := 0
	for _, share := range route.Split {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	remaining := s.random.IntN(total)
	for _, share := range route.Split {
		remaining -= share.Weight
		if remaining < 0 {
			return share.Service
		}
	}
	return ""
}

// callMachine returns the chart of a forwarded call.
func (s *State) callMachine(req *activeRequest) *chart.Machine[*activeRequest] {
	if req.route.Repeatable() {
		return s.charts.call
	}
	return s.charts.callOnce
}

// mayRedial is the guard of an attempt after one that did not reach a server.
func (s *State) mayRedial(req *activeRequest, now time.Time) bool {
	return !s.stopEnds(now) && req.attempts < maxAssignments && !req.deadlinePassed(now) && !s.isQuarantined(req)
}

// mayResend is the guard of an attempt after one that a server reported as not
// run.
func (s *State) mayResend(req *activeRequest, now time.Time) bool {
	return s.mayRedial(req, now) && s.repeatWindows.Allows(req.service, now)
}

// mayRepeat is the guard of an attempt after one that may have run.
func (s *State) mayRepeat(req *activeRequest, now time.Time) bool {
	return req.dispatches < req.route.MaxAttempts && s.mayResend(req, now)
}

// backoffUntil returns when the backoff of the first server for a call expires,
// or the zero time when a server is not backing off. Leaving servers do not count.
func (s *State) backoffUntil(req *activeRequest) time.Time {
	var first time.Time
	for _, server := range s.group(req).Servers {
		if server.Chart.Is(fleet.TagLeaving) || s.isEvacuated(server) {
			continue
		}
		if !server.Chart.Is(fleet.TagBackingOff) {
			return time.Time{}
		}
		if first.IsZero() || server.Chart.TimeoutAt.Before(first) {
			first = server.Chart.TimeoutAt
		}
	}
	return first
}

// repeatsFaultyResponse reports whether a call goes to another server because
// its response is a failure of the server.
func (s *State) repeatsFaultyResponse(now time.Time, req *activeRequest, m AttemptDone) bool {
	return m.ServerError && req.Call != nil && req.route.Kind == config.Idempotent && s.mayRepeat(req, now)
}

// spendRepeat is the action of every attempt that counts as a repeat of a call to
// its service.
func (s *State) spendRepeat(req *activeRequest, now time.Time) {
	s.repeatWindows.RecordRepeat(req.service, now)
}

// checkSingleDispatch checks that a call that must not be repeated is dispatched
// once.
func (s *State) checkSingleDispatch(req *activeRequest) {
	if req.route != nil && !req.route.Repeatable() {
		s.options.Checker.Check(req.dispatches == 1, invariant.AtMostOneDispatch, "call %s: %d dispatches", req.ID, req.dispatches)
	}
}

// callQuery adds the properties of a forwarded call to a placement query.
func (s *State) callQuery(req *activeRequest, query placement.Query) placement.Query {
	if req.Call == nil {
		return query
	}
	query.Parts = req.Call.Parts
	query.Bytes = req.Call.BodyBytes
	query.Target = req.route.FirstPartTarget
	query.Scope = s.cacheScope(req)
	return query
}

// forwarding returns how to forward the current attempt of a call, or nil for
// other requests.
func (s *State) forwarding(now time.Time, req *activeRequest) *Forwarding {
	if req.Call == nil {
		return nil
	}
	attempt := req.attempt
	f := &Forwarding{
		Instance:      attempt.server.ID,
		Organisation:  req.organisation,
		Priority:      min(req.classConfig.Priority, lowestPriority),
		ModelEngine:   attempt.server.Role == fleet.RoleEngine,
		WorkUntil:     attempt.workUntil,
		Prefix:        placement.LastSharedPart(req.Call.Parts).ID,
		PromptTokens:  req.PromptTokens,
		PrefillTokens: attempt.choice.Prefill,
		Version:       s.version,
		QueueTime:     attempt.server.QueueTime(now),

		CommittedMemory: attempt.server.CommittedMemory(),
	}
	if f.ModelEngine {
		f.Weights = attempt.weights
		f.NewerWeights, f.NewerAge = s.newerWeights(now, modelOf(attempt.server), attempt.weights)
		f.Salt = placement.Salt(attempt.server.Model, attempt.weights, s.cacheScope(req))
		f.FetchFrom = attempt.choice.FetchFrom
		f.SaveTo = attempt.choice.SaveTo
		f.FetchUntilMS = attempt.choice.FetchUntilMS
	}
	return f
}

// headerTimeout returns the longest wait for the response headers. A call that
// may not be repeated waits until its deadline, because stopping earlier gains
// nothing.
func (s *State) headerTimeout(now time.Time, req *activeRequest) time.Duration {
	remaining := req.Deadline.Sub(now)
	if !req.route.Repeatable() || req.dispatches+1 >= req.route.MaxAttempts {
		return remaining
	}
	wait := max(minHeaderTimeout, headerTargetFactor*req.route.FirstPartTarget) + headerQueueFactor*req.attempt.choice.FirstToken
	return min(remaining, wait)
}

// gapTimeout returns the longest wait between two parts of the response:
// headerTimeout for a stream, otherwise the time until the deadline.
func (s *State) gapTimeout(now time.Time, req *activeRequest) time.Duration {
	if req.route.Kind == config.Streaming {
		return s.headerTimeout(now, req)
	}
	return req.Deadline.Sub(now)
}

// expectParts records in the part index that the chosen server is about to cache
// the parts of the prompt.
func (s *State) expectParts(now time.Time, req *activeRequest) {
	if req.Call == nil || len(req.Call.Parts) == 0 {
		return
	}
	server := req.attempt.server
	capacity := s.rules.Pools[server.Serves].CacheTokens
	salt := placement.Salt(server.Model, req.attempt.weights, s.cacheScope(req))
	for _, part := range req.Call.Parts {
		s.partIndex.Expect(now, server.ID, placement.PartKey{Salt: salt, ID: part.ID}, part.Tokens, capacity)
	}
}
