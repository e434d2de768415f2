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
	// ID identifies the question; the asker chooses it.
	ID request.ID
}

// Explain asks for the remembered decisions about one request. It is answered
// by Explanation.
type Explain struct {
	// ID identifies the question; the asker chooses it.
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
	// Requests counts the requests in progress, Waiting those in the queue.
	Requests int
	Waiting  int
	// Servers counts the known backend servers, Available those that receive
	// work.
	Servers   int
	Available int
	// Budget is the number of retries left.
	Budget float64
}

// Explanation holds the decisions about one request, oldest first. It is
// empty when the node does not remember the request.
type Explanation struct {
	Node      string
	Request   request.ID
	Decisions []Record
}

// Subject returns the identifier that the asker chose.
func (m AskStatus) Subject() request.ID { return m.ID }

// Subject returns the identifier that the asker chose.
func (m Explain) Subject() request.ID { return m.ID }

func (AskStatus) message()    {}
func (Explain) message()      {}
func (Status) decision()      {}
func (Explanation) decision() {}

// inspect answers the questions of operators, which change nothing.
func (s *State) inspect(now time.Time, message Message) {
	switch m := message.(type) {
	case RecordBegin:
		s.reply(m.Job.ID, RecordStep{Step: s.records.Start(now, m.Job)})
	case RecordReport:
		s.reply(m.Job, RecordStep{Step: s.records.Advance(now, m.Job, m.Report)})
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
		State:    string(s.life.State),
		At:       now,
		Version:  s.version,
		Requests: len(s.requests),
		Waiting:  s.queue.Len(),
		Servers:  len(s.ordered),
		Budget:   s.budget.Remaining(),
	}
	for _, server := range s.ordered {
		if server.ReceivesWork() {
			status.Available++
		}
	}
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

// ruleOf names the rule that a decision followed, or returns an empty text
// when no rule did.
func ruleOf(a *active, action string, c code.Code) string {
	switch action {
	case "admit":
		return routeRule(a)
	case "assign":
		return config.RuleName("policy", "placement")
	}
	switch c {
	case code.OrganisationLimit, code.ModelNotAllowed:
		return config.RuleName("organisations", string(a.organisation))
	case code.QueueFull, code.DeadlineTooShort:
		return config.RuleName("classes", string(a.class))
	case code.MissingIdempotencyKey:
		return routeRule(a)
	}
	return ""
}

func routeRule(a *active) string {
	if a.Route.Kind == request.Service {
		return config.RuleName("services", a.Route.Name)
	}
	return config.RuleName("models", a.Route.Name)
}
