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
	// maxSends bounds how often one call is assigned to a server, counting
	// servers that refused it or could not be reached.
	maxSends = 6
	// waitingCalls bounds the waiting calls of one route on a node.
	waitingCalls = 200
	// headerWait is the least wait for the first part of a call before another
	// server gets it, headerTargets the wait as a multiple of the route's target.
	// Callers leave a stream after the same times.
	headerWait    = 2 * time.Second
	headerTargets = 4
	// headerQueue is the wait beyond that as a multiple of the expected time to
	// the first part. A server with much work is not silent, and another one
	// would compute the prompt again.
	headerQueue = 5
	// dialShare is the part of its time that a call waits for a connection: a
	// lost opening packet is sent again only after a second.
	dialShare = 4
	// minDial is the least wait for a connection, some round trips between
	// failure domains.
	minDial = 100 * time.Millisecond
	// maxDial is the longest wait for a connection of a call with a long
	// deadline.
	maxDial = 250 * time.Millisecond
	// lowestPriority is the least urgent priority that servers know.
	lowestPriority = 9
)

// Forwarding tells a traffic goroutine how to pass on a call.
type Forwarding struct {
	// Instance is the incarnation of the server that must run the call.
	Instance fleet.ServerID
	// Organisation is the holder of the caller's key, or empty.
	Organisation request.Organisation
	// Priority is 0 for the most urgent calls.
	Priority int
	// Model is true when a model engine runs the call; the fields below apply
	// only then.
	Model bool
	// Weights is the weight version that the server must have loaded, or 0.
	Weights int
	// Salt separates cached parts that must not be shared.
	Salt string
	// FetchFrom and SaveTo name the servers or stores for the cached parts of
	// the prompt. Entries may be empty.
	FetchFrom []string
	SaveTo    []string
	// FetchUntil is when a fetch must have ended, on the servers' clock in
	// milliseconds, or 0.
	FetchUntil int64
	// Prefix is the last shared part of the prompt, or empty.
	Prefix string
	// PromptTokens and Prefill are the tokens of the prompt and those that the
	// server is expected to compute.
	PromptTokens int
	Prefill      int
	// Queue is the expected time until the server starts the prompt, by the work
	// of this node and of its peers.
	Queue time.Duration
	// Version is the configuration that the decision followed.
	Version config.Version
}

// admitCall finds the route, the organisation and the deadline of a forwarded
// call.
func (s *State) admitCall(now time.Time, a *active) *code.Error {
	route := s.rules.Routes.Find(a.Call.Host, a.Call.Path)
	if route == nil {
		return code.New(code.UnknownRoute, "no route matches the host and path")
	}
	a.route = route
	a.Route.Name = route.Name
	if err := s.identifyCall(a); err != nil {
		return err
	}
	a.class = request.Class(route.Name)
	a.rank = config.Class{Priority: s.priorityOf(a), QueueLimit: waitingCalls, FirstTokenTarget: route.FirstPartTarget}
	if limit := now.Add(route.Timeout); route.Timeout > 0 && limit.Before(a.Deadline) {
		a.Deadline = limit
	}
	a.service = s.splitOf(route)
	s.repeats.RecordFirstAttempt(a.service, now)
	return nil
}

func (s *State) identifyCall(a *active) *code.Error {
	if a.route.AuthExempt {
		return nil
	}
	if !a.Call.HasAPIKey {
		return code.New(code.MissingToken, "the call has no API key")
	}
	return s.identify(a)
}

// priorityOf returns the priority of the organisation, or that of the route.
func (s *State) priorityOf(a *active) int {
	if own := s.rules.Organisations[a.organisation].Priority; own != nil {
		return *own
	}
	return a.route.Priority
}

// splitOf draws a service by the weights of the route.
func (s *State) splitOf(route *config.Route) string {
	total := 0
	for _, share := range route.Split {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	drawn := s.random.IntN(total)
	for _, share := range route.Split {
		drawn -= share.Weight
		if drawn < 0 {
			return share.Service
		}
	}
	return ""
}

// callMachine returns the chart of a forwarded call.
func (s *State) callMachine(a *active) *chart.Machine[*active] {
	if a.route.Repeatable() {
		return s.charts.call
	}
	return s.charts.callOnce
}

// mayRedial is the guard of an attempt after one that reached no server.
func (s *State) mayRedial(a *active, now time.Time) bool {
	return a.attempts < maxSends && !a.late(now) && !s.quarantine.IsQuarantined(a.fingerprint)
}

// mayResend is the guard of an attempt after a server said that it did not
// run the call.
func (s *State) mayResend(a *active, now time.Time) bool {
	return s.mayRedial(a, now) && s.repeats.Allows(a.service, now, s.sharingNodes())
}

// mayRepeat is the guard of an attempt after one that may have run.
func (s *State) mayRepeat(a *active, now time.Time) bool {
	return a.dispatches < a.route.MaxAttempts && s.mayResend(a, now)
}

// restsUntil returns when the first server of a call gets work again, or the zero
// time when one gets work now.
func (s *State) restsUntil(a *active) time.Time {
	var first time.Time
	for _, server := range s.group(a).Servers {
		if !server.Chart.Is(fleet.TagRests) {
			return time.Time{}
		}
		if first.IsZero() || server.Chart.Deadline.Before(first) {
			first = server.Chart.Deadline
		}
	}
	return first
}

// repeatsFaulty reports whether a call whose response is a failure of the server
// goes to another server.
func (s *State) repeatsFaulty(now time.Time, a *active, m AttemptDone) bool {
	return m.Faulty && a.Call != nil && a.route.Kind == config.Idempotent && s.mayRepeat(a, now)
}

// spendRepeat is the action of every attempt that adds to the arrivals at a
// service.
func (s *State) spendRepeat(a *active, now time.Time) {
	s.repeats.RecordRepeat(a.service, now)
}

// checkOnce finds a second run of a call that must not be repeated.
func (s *State) checkOnce(a *active) {
	if a.route != nil && !a.route.Repeatable() {
		s.options.Checker.Check(a.dispatches == 1, invariant.AtMostOneDispatch, "call %s: %d dispatches", a.ID, a.dispatches)
	}
}

// callQuery adds what a policy needs to know of a forwarded call.
func (s *State) callQuery(a *active, query placement.Query) placement.Query {
	if a.Call == nil {
		return query
	}
	query.Parts = a.Call.Parts
	query.Bytes = a.Call.BodyBytes
	query.Target = a.route.FirstPartTarget
	query.Isolation = s.isolationOf(a)
	return query
}

// isolationOf names the organisation whose cached parts are kept apart, or
// returns an empty text.
func (s *State) isolationOf(a *active) string {
	if s.rules.Organisations[a.organisation].Isolated {
		return string(a.organisation)
	}
	return ""
}

// forwarding describes the attempt of a forwarded call.
func (s *State) forwarding(now time.Time, a *active) *Forwarding {
	if a.Call == nil {
		return nil
	}
	at := a.attempt
	f := &Forwarding{
		Instance:     at.server.ID,
		Organisation: a.organisation,
		Priority:     min(a.rank.Priority, lowestPriority),
		Model:        at.server.Role == fleet.RoleEngine,
		Prefix:       placement.LastShared(a.Call.Parts).ID,
		PromptTokens: a.PromptTokens,
		Prefill:      at.choice.Prefill,
		Version:      s.version,
		Queue:        at.server.QueueTime(now),
	}
	if f.Model {
		f.Weights = at.weights
		f.Salt = placement.Salt(at.server.Model, at.weights, s.isolationOf(a))
		f.FetchFrom = at.choice.FetchFrom
		f.SaveTo = at.choice.SaveTo
		f.FetchUntil = at.choice.FetchUntil
	}
	return f
}

// headerWaitOf bounds the wait for the response headers. A call that no other
// server may get waits until its deadline, because giving up gains nothing.
func (s *State) headerWaitOf(now time.Time, a *active) time.Duration {
	left := a.Deadline.Sub(now)
	if !a.route.Repeatable() || a.dispatches+1 >= a.route.MaxAttempts {
		return left
	}
	wait := max(headerWait, headerTargets*a.route.FirstPartTarget) + headerQueue*a.attempt.choice.FirstToken
	return min(left, wait)
}

// gapWaitOf bounds the wait between two parts of the response in the same way.
func (s *State) gapWaitOf(now time.Time, a *active) time.Duration {
	if a.route.Kind == config.Streaming {
		return s.headerWaitOf(now, a)
	}
	return a.Deadline.Sub(now)
}

// noteParts records that the chosen server is about to hold the shared parts
// of the prompt.
func (s *State) noteParts(now time.Time, a *active) {
	if a.Call == nil || len(a.Call.Parts) == 0 {
		return
	}
	server := a.attempt.server
	capacity := s.rules.Pools[server.Serves].CacheTokens
	salt := placement.Salt(server.Model, a.attempt.weights, s.isolationOf(a))
	for _, part := range a.Call.Parts {
		s.holdings.Expect(now, server.ID, placement.PartKey{Salt: salt, ID: part.ID}, part.Tokens, capacity)
	}
}
