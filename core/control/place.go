package control

import (
	"slices"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/limits"
	"tanagerspread/core/placement"
	"tanagerspread/core/request"
)

// maxSharedWork is the prompt work of a server, as the time that it takes, up
// to which the server receives requests that can wait.
const maxSharedWork = 500 * time.Millisecond

// place queues a request and assigns it at once when a server has room.
func (s *State) place(now time.Time, m Place) {
	a, ok := s.requests[m.Request]
	if !ok {
		s.refuse(m.Request, code.DeadlinePassedNotRun, "the deadline passed before the request was placed")
		return
	}
	a.prefix = m.Prefix
	a.PromptTokens = m.PromptTokens
	if !s.fireRequest(a, "enqueue", now) {
		s.end(now, a, "refuse", code.New(code.DeadlinePassedNotRun, "the request waited too long before placement"))
		return
	}
	s.enqueue(now, a)
}

// enqueue assigns the request or lets it wait in the bounded queue of its
// class.
func (s *State) enqueue(now time.Time, a *active) {
	if !s.canServe(a) {
		s.end(now, a, "refuse", s.noServer(a))
		return
	}
	ticket := s.ticket(now, a)
	delayed := ticket.NotBefore.After(now)
	ahead := s.queue.Ahead(ticket)
	if !delayed && ahead == 0 && s.assign(now, a) == limits.Taken {
		return
	}
	if a.Call != nil && s.restsUntil(a).After(a.Deadline) {
		s.end(now, a, "refuse", s.noServer(a))
		return
	}
	if s.waitsTooLong(now, a, ahead) {
		s.end(now, a, "refuse", a.deadlineTooShort())
		return
	}
	if !s.queue.Push(ticket, now) {
		s.end(now, a, "refuse", a.queueFull())
		return
	}
	waiting := s.queue.Count(a.class)
	s.options.Checker.Check(waiting <= a.rank.QueueLimit, invariant.QueueBounded, "class %s: %d waiting", a.class, waiting)
	if !delayed {
		s.assignQueued(now)
	}
}

func (s *State) ticket(now time.Time, a *active) limits.Entry {
	t := limits.Entry{
		ID:           a.ID,
		Organisation: a.organisation,
		Class:        a.class,
		Priority:     a.rank.Priority,
		MaxWaiting:   a.rank.QueueLimit,
		Servers:      a.lane(),
		Tokens:       a.PromptTokens,
	}
	if a.backoff > 0 {
		t.NotBefore = now.Add(a.backoff)
	}
	return t
}

// waitsTooLong predicts whether the deadline passes before a slot is free.
func (s *State) waitsTooLong(now time.Time, a *active, ahead int) bool {
	if a.Deadline.IsZero() {
		return false
	}
	wait := s.group(a).Wait(ahead, s.options.ServerSlots)
	return !now.Add(wait).Before(a.Deadline)
}

// either returns the first error when no attempt may have run, and the second
// one otherwise.
func (a *active) either(notRun, mayHaveRun *code.Error) *code.Error {
	if a.mayHaveRun() {
		return mayHaveRun
	}
	return notRun
}

func (a *active) deadlineTooShort() *code.Error {
	return a.either(
		code.New(code.DeadlineTooShort, "the predicted wait is longer than the deadline"),
		code.New(code.RetriesExhausted, "the predicted wait after a failed attempt is longer than the deadline"))
}

func (a *active) quarantined() *code.Error {
	const detail = "the request crashed backend servers and is quarantined"
	return a.either(code.New(code.Quarantined, detail), code.New(code.QuarantinedRan, detail))
}

func (s *State) noServer(a *active) *code.Error {
	known := len(s.group(a).Servers)
	return a.either(
		code.Newf(code.NoServer, "no backend server can take the request; %d are known", known),
		code.Newf(code.RetriesExhausted, "no backend server can repeat the request; %d are known", known))
}

func (a *active) queueFull() *code.Error {
	return a.either(
		code.New(code.QueueFull, "the queue of the class is full"),
		code.New(code.RetriesExhausted, "the queue of the class is full after a failed attempt"))
}

// assignQueued assigns waiting requests in queue order until none fits.
func (s *State) assignQueued(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	s.queue.Offer(now, func(id request.ID) limits.OfferResult {
		return s.assign(now, s.requests[id])
	})
}

// assign sends a queued request to a backend server or ends it when it is
// quarantined.
func (s *State) assign(now time.Time, a *active) limits.OfferResult {
	if s.quarantine.IsQuarantined(a.fingerprint) {
		s.end(now, a, "refuse", a.quarantined())
		return limits.Taken
	}
	suspect := s.quarantine.IsSuspect(a.fingerprint)
	if suspect && s.mustWait(now, a) {
		return limits.Skipped
	}
	choice := s.policy.Pick(now, s.query(a), s.view(now, a, suspect))
	if choice.Server == nil {
		return verdictOnNone(a, suspect)
	}
	if !s.options.Checker.Check(choice.Server.ReceivesWork(), invariant.NoNewWork, "server %s", choice.Server.ID) {
		return limits.Blocked
	}
	if err := s.checkScope(a, choice.Server); err != nil {
		s.end(now, a, "refuse", err)
		return limits.Taken
	}
	s.beginAttemptAt(now, a, choice)
	if !s.fireRequest(a, "assign", now) {
		a.attempt = nil
		return limits.Skipped
	}
	s.placements++
	s.recent.Note(now, a.prefix, choice.Server.ID)
	s.noteParts(now, a)
	s.journal.add(now, a, "assign", string(choice.Server.ID))
	s.reply(a.ID, s.dispatch(now, a))
	return limits.Taken
}

// checkScope withholds a completion whose cache keys belong to another
// organisation, or to other weights than the server has loaded.
func (s *State) checkScope(a *active, server *fleet.Server) *code.Error {
	if a.Route.Kind != request.Completion {
		return nil
	}
	own := s.options.Checker.Check(a.scope.Organisation == string(a.organisation), invariant.SameOrganisation, "request %s", a.ID)
	same := s.options.Checker.Check(a.scope.Weights == server.Weights, invariant.SameWeights, "request %s on server %s", a.ID, server.ID)
	if own && same {
		return nil
	}
	return code.New(code.InvariantFailed, "the request would use cache blocks of another scope")
}

// verdictOnNone tells whether other requests of the same lane may still find
// a server.
func verdictOnNone(a *active, suspect bool) limits.OfferResult {
	if suspect || len(a.avoid) > 0 {
		return limits.Skipped
	}
	return limits.Blocked
}

func (s *State) dispatch(now time.Time, a *active) Dispatch {
	d := Dispatch{
		Attempt:       a.attempt.id,
		Server:        a.attempt.server.ID,
		Address:       a.attempt.server.Address,
		Priority:      a.rank.Priority,
		Source:        a.attempt.choice.Source,
		Import:        a.attempt.choice.Plan,
		ImportTimeout: importTime(a.attempt.server.Speed, a.PromptTokens),
		DialTimeout:   s.charts.attempt.Timeout(tagOpens),
		HeaderTimeout: s.charts.attempt.Timeout(tagAwaitsHeaders),
		GapTimeout:    s.charts.attempt.Timeout(tagReceives),
		Forward:       s.forwarding(now, a),
	}
	if a.Call != nil {
		d.DialTimeout = max(min(a.Deadline.Sub(now)/dialShare, maxDial), minDial)
		d.HeaderTimeout = s.headerWaitOf(now, a)
		d.GapTimeout = s.gapWaitOf(now, a)
	}
	return d
}

func (s *State) query(a *active) placement.Query {
	return s.callQuery(a, placement.Query{PromptTokens: a.PromptTokens, Prefix: a.prefix, Avoid: a.avoid})
}

func (s *State) view(now time.Time, a *active, suspect bool) placement.View {
	return placement.View{
		Servers:   s.eligible(now, a, suspect),
		Stores:    s.storeList,
		Recent:    s.recent,
		Turn:      s.placements,
		LinkPrice: s.rules.Policy.LinkPrice,
		Domain:    s.options.Domain,
		Holdings:  s.holdings,
		Prices:    s.options.Prices,

		Lanes:      s.lanes,
		Engines:    s.group(a).Servers,
		Caches:     s.cacheList,
		TokenBytes: s.rules.Pools[a.service].TokenBytes,
	}
}

// eligible lists the servers that may receive the request now. The list is
// valid until the next call. A suspect runs alone with respect to other
// suspects of this node, so that a second death names one request.
func (s *State) eligible(now time.Time, a *active, suspect bool) []*fleet.Server {
	s.scratch = s.scratch[:0]
	for _, server := range s.group(a).Servers {
		if suspect && server.Suspects > 0 {
			continue
		}
		if s.outdated(now, server) || now.Before(server.BusyUntil) {
			continue
		}
		if server.ReceivesWork() && server.HasRoom(s.slotsOf(server)) && mayAddWork(now, a, server) {
			s.scratch = append(s.scratch, server)
		}
	}
	if suspect {
		return s.isolate(now, a)
	}
	return s.scratch
}

// slotsOf returns the number of attempts that this node may have at a server:
// the places that the server named, or the node's part of its connections.
func (s *State) slotsOf(server *fleet.Server) int {
	if server.Places == 0 {
		return s.options.ServerSlots
	}
	connections := s.rules.Pools[server.Serves].MaxConnections
	if connections == 0 {
		return server.Places
	}
	return max(min(server.Places, connections/s.sharingNodes()), 1)
}

// mayAddWork reports whether the request may add to the prompt work of a server.
// An engine shares its speed between all prompts, so a request that can wait
// does so in the queue of the node, where urgent ones overtake it.
func mayAddWork(now time.Time, a *active, server *fleet.Server) bool {
	return a.rank.Priority == 0 || server.QueueTime(now) <= maxSharedWork
}

// canServe reports whether any server could take the request once it has
// room. When only servers are left that failed an attempt of the request, it
// may go to them again.
func (s *State) canServe(a *active) bool {
	live := false
	for _, server := range s.group(a).Servers {
		if server.Chart.Is(fleet.TagLeaves) {
			continue
		}
		if !slices.Contains(a.avoid, server.ID) {
			return true
		}
		live = true
	}
	a.avoid = nil
	return live
}

// group returns the servers that can take the request.
func (s *State) group(a *active) *fleet.Group {
	return s.index.Group(a.lane())
}

// lane names the servers that can take the request.
func (a *active) lane() fleet.GroupKey {
	if a.Call != nil {
		return fleet.GroupKey{Serves: a.service}
	}
	if a.Route.Kind == request.Service {
		return fleet.GroupKey{Role: fleet.RoleService, Serves: a.Route.Name}
	}
	return fleet.GroupKey{Role: fleet.RoleEngine, Serves: a.Route.Name, Weights: a.scope.Weights}
}
