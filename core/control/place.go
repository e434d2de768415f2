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
	"tanagerspread/core/shares"
)

// maxNonUrgentQueueTime is the queue time up to which a server receives requests
// of a lower priority than 0.
const maxNonUrgentQueueTime = 500 * time.Millisecond

// place queues a request and assigns it at once when a server has a free slot.
func (s *State) place(now time.Time, m Place) {
	req, ok := s.requests[m.Request]
	if !ok {
		s.refuse(m.Request, code.DeadlinePassedNotRun, "the deadline passed before the request was placed")
		return
	}
	req.prefix = m.Prefix
	req.PromptTokens = m.PromptTokens
	req.memory = s.memoryUse(req)
	req.cacheMovesSlowly = s.cacheMovesSlowly(req)
	if !s.fireRequestEvent(req, "enqueue", now) {
		s.finishWithError(now, req, "refuse", code.New(code.DeadlinePassedNotRun, "the request waited too long before placement"))
		return
	}
	s.enqueue(now, req)
}

// enqueue assigns the request, adds it to the bounded queue of its class, or
// refuses it.
func (s *State) enqueue(now time.Time, req *activeRequest) {
	if !s.canServe(req) {
		s.finishWithError(now, req, "refuse", s.noServerError(req))
		return
	}
	entry := s.queueEntry(now, req)
	delayed := entry.NotBefore.After(now)
	ahead := s.queue.Ahead(entry)
	if !delayed && ahead == 0 && s.assign(now, req) == limits.Taken {
		return
	}
	if s.refusesUntilBackoffEnds(now, req) {
		return
	}
	if s.refusesLongWait(now, req, ahead) {
		return
	}
	if s.waitsTooLong(now, req, ahead) {
		s.finishWithError(now, req, "refuse", req.deadlineTooShortError())
		return
	}
	if !s.queue.Push(entry, now) {
		s.finishWithError(now, req, "refuse", req.queueFullError())
		return
	}
	waiting := s.queue.Count(req.class)
	s.options.Checker.Check(waiting <= req.classConfig.QueueLimit, invariant.QueueBounded, "class %s: %d waiting", req.class, waiting)
	if !delayed {
		s.assignQueued(now)
	}
}

func (s *State) queueEntry(now time.Time, req *activeRequest) limits.Entry {
	entry := limits.Entry{
		ID:           req.ID,
		Organisation: req.organisation,
		Class:        req.class,
		Priority:     req.classConfig.Priority,
		MaxWaiting:   req.classConfig.QueueLimit,
		Servers:      req.groupKey(),
		Tokens:       req.PromptTokens,
		OnTimeUntil:  req.onTimeUntil,
		NeedsMemory:  !req.memory.IsZero() && s.rules.Pools[req.service].CacheTokens > 0,
	}
	if elsewhere := s.demandElsewhere[req.organisation]; elsewhere > 0 && entry.Priority > 0 {
		entry.Weight = shares.Weight(s.queue.Tokens(req.organisation)+req.PromptTokens, elsewhere)
	}
	if req.backoff > 0 {
		entry.NotBefore = now.Add(req.backoff)
	}
	return entry
}

// waitsTooLong reports whether the deadline is predicted to pass before a slot
// is free.
func (s *State) waitsTooLong(now time.Time, req *activeRequest, ahead int) bool {
	if req.Deadline.IsZero() {
		return false
	}
	wait := s.group(req).EstimateWait(ahead, s.options.ServerSlots)
	return !now.Add(wait).Before(req.Deadline)
}

// chooseError returns the first error when no attempt may have run, and the
// second one otherwise.
func (req *activeRequest) chooseError(notRun, mayHaveRun *code.Error) *code.Error {
	if req.mayHaveRun() {
		return mayHaveRun
	}
	return notRun
}

func (req *activeRequest) deadlineTooShortError() *code.Error {
	return req.chooseError(
		code.New(code.DeadlineTooShort, "the predicted wait is longer than the deadline"),
		code.New(code.RetriesExhausted, "the predicted wait after a failed attempt is longer than the deadline"))
}

func (s *State) noServerError(req *activeRequest) *code.Error {
	servers := s.describeServers(s.group(req).Servers)
	return req.chooseError(
		code.Newf(code.NoServer, "no backend server can take the request; %s", servers),
		code.Newf(code.RetriesExhausted, "no backend server can repeat the request; %s", servers))
}

func (req *activeRequest) queueFullError() *code.Error {
	return req.chooseError(
		code.New(code.QueueFull, "the queue of the class is full"),
		code.New(code.RetriesExhausted, "the queue of the class is full after a failed attempt"))
}

// assignQueued assigns queued requests in queue order while servers can take
// them.
func (s *State) assignQueued(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	s.queue.Offer(now, func(id request.ID) limits.OfferResult {
		return s.assign(now, s.requests[id])
	})
}

// assign assigns a request to a backend server, or refuses it when it is
// quarantined. It returns whether the request was taken from the queue and, if
// not, whether other requests may still be assigned.
func (s *State) assign(now time.Time, req *activeRequest) limits.OfferResult {
	if s.isQuarantined(req) {
		s.finishWithError(now, req, "refuse", s.quarantinedError(now, req))
		return limits.Taken
	}
	if s.awaitsTrial(req) {
		return limits.Skipped
	}
	suspect := s.quarantine.IsSuspect(req.fingerprint)
	if s.suspectMustWait(now, req) {
		return limits.Skipped
	}
	choice := s.policy.Pick(now, s.query(req), s.view(now, req, suspect))
	if choice.Server == nil {
		return resultWithoutServer(req, suspect)
	}
	if !s.options.Checker.Check(choice.Server.ReceivesWork(), invariant.NoNewWork, "server %s", choice.Server.ID) {
		return limits.Blocked
	}
	if err := s.checkScope(req, choice.Server); err != nil {
		s.finishWithError(now, req, "refuse", err)
		return limits.Taken
	}
	s.prepareAttempt(now, req, choice)
	if !s.fireRequestEvent(req, "assign", now) {
		req.attempt = nil
		return limits.Skipped
	}
	s.drain(req.class).Taken(now, s.queue.Count(req.class) > 0)
	s.placementTurn++
	s.recentPrefixes.Record(now, req.prefix, choice.Server.ID)
	s.expectParts(now, req)
	s.journal.recordAction(now, req, "assign", string(choice.Server.ID))
	s.reply(req.ID, s.dispatch(now, req))
	return limits.Taken
}

// checkScope returns an error for a completion whose cache keys belong to
// another organisation, or to other weights than the server has loaded.
func (s *State) checkScope(req *activeRequest, server *fleet.Server) *code.Error {
	if req.Route.Kind != request.Completion {
		return nil
	}
	own := s.options.Checker.Check(req.scope.Organisation == string(req.organisation), invariant.SameOrganisation, "request %s", req.ID)
	same := s.options.Checker.Check(req.scope.Weights == server.Weights, invariant.SameWeights, "request %s on server %s", req.ID, server.ID)
	if own && same {
		return nil
	}
	return code.New(code.InvariantFailed, "the request would use cache blocks of another scope")
}

// resultWithoutServer returns the offer result of a request that no server can
// take. Other requests of the same subqueue may still find a server when this
// one is a suspect or avoids servers.
func resultWithoutServer(req *activeRequest, suspect bool) limits.OfferResult {
	if suspect || len(req.avoid) > 0 {
		return limits.Skipped
	}
	return limits.Blocked
}

func (s *State) dispatch(now time.Time, req *activeRequest) Dispatch {
	d := Dispatch{
		Attempt:       req.attempt.id,
		Server:        req.attempt.server.ID,
		Address:       req.attempt.server.Address,
		Priority:      req.classConfig.Priority,
		Source:        req.attempt.choice.Source,
		Import:        req.attempt.choice.Plan,
		ImportTimeout: importTimeout(req.attempt.server.Speed, req.PromptTokens),
		DialTimeout:   s.charts.attempt.Timeout(tagOpens),
		HeaderTimeout: s.charts.attempt.Timeout(tagAwaitsHeaders),
		GapTimeout:    s.charts.attempt.Timeout(tagReceives),
		Forward:       s.forwarding(now, req),
	}
	if req.Call != nil {
		d.DialTimeout = max(min(req.Deadline.Sub(now)/dialTimeoutDivisor, maxDialTimeout), minDialTimeout)
		d.HeaderTimeout = s.headerTimeout(now, req)
		d.GapTimeout = s.gapTimeout(now, req)
	}
	return d
}

func (s *State) query(req *activeRequest) placement.Query {
	return s.callQuery(req, placement.Query{PromptTokens: req.PromptTokens, Prefix: req.prefix, Avoid: req.avoid})
}

func (s *State) view(now time.Time, req *activeRequest, suspect bool) placement.View {
	return placement.View{
		Servers:        s.eligibleServers(now, req, suspect),
		Stores:         s.storeList,
		RecentPrefixes: s.recentPrefixes,
		Turn:           s.placementTurn,
		LinkPrice:      s.rules.Policy.LinkPrice,
		Domain:         s.options.Domain,
		PartIndex:      s.partIndex,
		Prices:         s.options.Prices,

		Reservation: s.reservation,
		Engines:     s.group(req).Servers,
		CacheStores: s.cacheStoreList,
		TokenBytes:  s.rules.Pools[req.service].TokenBytes,
		LinkRate:    s.rules.Pools[req.service].LinkRate,
	}
}

// eligibleServers returns the servers that may receive the request now. The
// slice is valid until the next call. No two suspects of this node run on one
// server at a time, so that a second crash can be attributed to one request.
func (s *State) eligibleServers(now time.Time, req *activeRequest, suspect bool) []*fleet.Server {
	s.scratch = s.scratch[:0]
	leavesDomain := req.memory.IsZero() || s.mayLeaveDomain(req)
	for _, server := range s.group(req).Servers {
		if !leavesDomain && !s.knowsWork(req, server) {
			continue
		}
		if suspect && server.SuspectAttempts > 0 {
			continue
		}
		if s.weightsExpired(now, server) || now.Before(server.BackoffUntil) || !server.Pace.Allows(now) || s.isEvacuated(server) {
			continue
		}
		if server.ReceivesWork() && server.HasFreeSlot(s.nodeSlots(server)) && mayAddWork(now, req, server) && s.hasMemory(now, req, server) {
			s.scratch = append(s.scratch, server)
		}
	}
	if suspect {
		return s.isolateSuspect(now, req)
	}
	return s.scratch
}

// nodeSlots returns the number of attempts that this node may run on a server at
// once: the concurrency limit that the server reports, or the node's share of the
// connection limit when that is lower. Servers without a reported limit have
// ServerSlots.
func (s *State) nodeSlots(server *fleet.Server) int {
	if server.MaxConcurrency == 0 {
		return s.options.ServerSlots
	}
	connections := s.rules.Pools[server.Serves].MaxConnections
	if connections == 0 {
		return server.MaxConcurrency
	}
	return max(min(server.MaxConcurrency, connections/s.sharingNodes()), 1)
}

// mayAddWork reports whether the request may add to the prefill work of a server.
// An engine divides its speed between all prompts, so a request that is not
// urgent waits in the queue of the node, where urgent ones overtake it.
func mayAddWork(now time.Time, req *activeRequest, server *fleet.Server) bool {
	return req.classConfig.Priority == 0 || server.QueueTime(now) <= maxNonUrgentQueueTime
}

// canServe reports whether any server could take the request once it has a free
// slot. When an attempt of the request failed on every remaining server,
// canServe clears the list of servers to avoid.
func (s *State) canServe(req *activeRequest) bool {
	live := false
	for _, server := range s.group(req).Servers {
		if server.Chart.Is(fleet.TagLeaving) || s.isEvacuated(server) {
			continue
		}
		if !slices.Contains(req.avoid, server.ID) {
			return true
		}
		live = true
	}
	req.avoid = nil
	return live
}

// group returns the servers that can take the request.
func (s *State) group(req *activeRequest) *fleet.Group {
	return s.serverIndex.Group(req.groupKey())
}

// groupKey returns the key of the group of servers that can take the request.
func (req *activeRequest) groupKey() fleet.GroupKey {
	if req.Call != nil {
		return fleet.GroupKey{Serves: req.service}
	}
	if req.Route.Kind == request.Service {
		return fleet.GroupKey{Role: fleet.RoleService, Serves: req.Route.Name}
	}
	return fleet.GroupKey{Role: fleet.RoleEngine, Serves: req.Route.Name, Weights: req.scope.Weights}
}
