package control

import (
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// AskStatus asks for a summary of the node. It is answered by Status.
type AskStatus struct {
	// ID identifies the question; the requester chooses it.
	ID request.ID
}

// Explain asks for the decisions about one request in the journal. It is
// answered by Explanation.
type Explain struct {
	// ID identifies the question; the requester chooses it.
	ID      request.ID
	Request request.ID
}

// Status is a summary of a node.
type Status struct {
	Node    string
	Domain  fleet.Domain
	State   string
	At      time.Time
	Version config.Version
	// Requests is the number of requests in progress, Waiting the number of those
	// in the queue.
	Requests int
	Waiting  int
	// Servers is the number of backend servers, Available the number of those that
	// receive work.
	Servers   int
	Available int
	// Leaving is the number of servers that get no new work because they leave, Paused
	// the number of those that want no calls from this node for some time.
	Leaving int
	Paused  int
	// Limited is the number of servers whose rate of calls is limited because they are
	// cold or warm up, Evacuated the number of those in evacuated failure domains.
	Limited   int
	Evacuated int
	// Budget is the number of retries left in the node's retry budget.
	Budget float64
}

// Explanation holds the decisions about one request, oldest first. Decisions is
// empty when the journal has none about the request.
type Explanation struct {
	Node      string
	Request   request.ID
	Decisions []JournalEntry
}

// Subject returns the identifier that the requester chose.
func (m AskStatus) Subject() request.ID { return m.ID }

// Subject returns the identifier that the requester chose.
func (m Explain) Subject() request.ID { return m.ID }

func (AskStatus) message()    {}
func (Explain) message()      {}
func (Status) decision()      {}
func (Explanation) decision() {}

// inspect handles the messages of the at-most-once records, and answers the
// questions of operators, which change nothing.
func (s *State) inspect(now time.Time, message Message) {
	switch m := message.(type) {
	case RecordBegin:
		s.reply(m.Job.ID, RecordStep{Step: s.recordTracker.Start(now, m.Job)})
	case RecordReport:
		s.reply(m.Job, RecordStep{Step: s.recordTracker.Advance(now, m.Job, m.Result)})
	case DumpState:
		s.reply(m.ID, s.dump(now))
	case AskStatus:
		s.reply(m.ID, s.status(now))
	case Explain:
		s.reply(m.ID, s.explain(m.Request))
	}
}

func (s *State) status(now time.Time) Status {
	status := Status{
		Node:     s.options.Node,
		Domain:   s.options.Domain,
		State:    string(s.nodeChart.State),
		At:       now,
		Version:  s.version,
		Requests: len(s.requests),
		Waiting:  s.queue.Len(),
		Servers:  len(s.serverList),
		Budget:   s.retryBudgets.Remaining(),
	}
	for _, server := range s.serverList {
		if server.ReceivesWork() {
			status.Available++
		}
		if server.Pace.Limited() {
			status.Limited++
		}
		if s.isEvacuated(server) {
			status.Evacuated++
		}
	}
	status.Leaving, status.Paused = countResting(s.serverList)
	return status
}

func (s *State) explain(id request.ID) Explanation {
	explanation := Explanation{Node: s.options.Node, Request: id}
	for _, record := range s.journal.list() {
		if record.Request == id {
			explanation.Decisions = append(explanation.Decisions, record)
		}
	}
	return explanation
}

// ruleOf returns the name of the rule that a decision followed, or an empty
// string when it followed none.
func ruleOf(req *activeRequest, action string, c code.Code) string {
	switch action {
	case "admit":
		return routeRule(req)
	case "assign":
		return config.RuleName("policy", "placement")
	}
	switch c {
	case code.OrganisationLimit, code.ModelNotAllowed:
		return config.RuleName("organisations", string(req.organisation))
	case code.QueueFull, code.DeadlineTooShort:
		return config.RuleName("classes", string(req.class))
	case code.MissingIdempotencyKey:
		return routeRule(req)
	}
	return ""
}

func routeRule(req *activeRequest) string {
	if req.Route.Kind == request.Service {
		return config.RuleName("services", req.Route.Name)
	}
	return config.RuleName("models", req.Route.Name)
}
