package control

import (
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/placement"
	"tanagerspread/core/request"
)

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
	if s.queue.Len() == 0 && s.assign(now, a) {
		return
	}
	if !s.canServe(a) {
		s.end(now, a, "refuse", s.noServer(a))
		return
	}
	if !s.queue.Push(a.ID, string(a.class), a.rank.Priority, a.rank.Queue) {
		s.end(now, a, "refuse", s.queueFull(a))
		return
	}
	s.assignQueued(now)
}

func (s *State) noServer(a *active) *code.Error {
	if a.mayHaveRun() {
		return code.New(code.RetriesExhausted, "no backend server can repeat the request")
	}
	return code.New(code.NoServer, "no backend server can take the request")
}

func (s *State) queueFull(a *active) *code.Error {
	if a.mayHaveRun() {
		return code.New(code.RetriesExhausted, "the queue of the class is full after a failed attempt")
	}
	return code.New(code.QueueFull, "the queue of the class is full")
}

// assignQueued assigns waiting requests in queue order until none fits.
func (s *State) assignQueued(now time.Time) {
	s.queue.Each(func(id request.ID) bool {
		a, ok := s.requests[id]
		if !ok {
			return true
		}
		return s.assign(now, a)
	})
}

// assign sends a queued request to a backend server. It reports false when
// no server has room.
func (s *State) assign(now time.Time, a *active) bool {
	server := s.policy.Pick(now, s.query(a), s.eligible(a))
	if server == nil {
		return false
	}
	if !s.options.Checker.Check(receivesWork(server), invariant.NoNewWork, "server %s", server.ID) {
		return false
	}
	s.beginAttemptAt(now, a, server)
	if !s.fireRequest(a, "assign", now) {
		a.attempt = nil
		return false
	}
	s.journal.add(now, a, "assign", string(server.ID))
	s.reply(a.ID, s.dispatch(a))
	return true
}

func (s *State) dispatch(a *active) Dispatch {
	return Dispatch{
		Attempt:       a.attempt.id,
		Server:        a.attempt.server.ID,
		Address:       a.attempt.server.Address,
		Priority:      a.rank.Priority,
		DialTimeout:   s.charts.attempt.Timeout("dialing"),
		HeaderTimeout: s.charts.attempt.Timeout("sent"),
		GapTimeout:    s.charts.attempt.Timeout("receiving"),
	}
}

func (s *State) query(a *active) placement.Query {
	return placement.Query{
		Serves:       a.Route.Name,
		Weights:      a.scope.Weights,
		PromptTokens: a.PromptTokens,
		Prefix:       a.prefix,
		Avoid:        a.avoid,
	}
}

// eligible lists the servers that may receive the request now.
func (s *State) eligible(a *active) []*fleet.Server {
	var out []*fleet.Server
	for _, server := range s.ordered {
		if serves(server, a) && receivesWork(server) && s.hasRoom(server) {
			out = append(out, server)
		}
	}
	return out
}

// canServe reports whether any server could take the request once it has
// room.
func (s *State) canServe(a *active) bool {
	for _, server := range s.ordered {
		if serves(server, a) && server.Chart.State != "leaving" {
			return true
		}
	}
	return false
}

func (s *State) hasRoom(server *fleet.Server) bool {
	if server.Chart.State == "probing" {
		return server.InFlight == 0
	}
	return server.InFlight < s.options.ServerSlots
}

func receivesWork(server *fleet.Server) bool {
	return server.Chart.State == "available" || server.Chart.State == "probing"
}

func serves(server *fleet.Server, a *active) bool {
	if server.Serves != a.Route.Name {
		return false
	}
	if a.Route.Kind == request.Service {
		return server.Role == fleet.RoleService
	}
	return server.Role == fleet.RoleEngine && server.Weights == a.scope.Weights
}
