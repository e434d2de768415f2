package control

import (
	"sort"
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// Dump is a copy of the control state. It contains no prompts, responses or
// access tokens.
type Dump struct {
	Node     string
	Domain   fleet.Domain
	State    string
	At       time.Time
	Version  config.Version
	Requests []RequestDump
	Servers  []ServerDump
	Waiting  int
	Budget   float64
	// Suspects and Quarantined are the numbers of suspect and quarantined
	// fingerprints.
	Suspects    int
	Quarantined int
	Orders      OrdersDump
	Decisions   []JournalEntry
}

// RequestDump describes one request in progress.
type RequestDump struct {
	ID           request.ID
	Organisation request.Organisation
	Class        request.Class
	Route        string
	State        string
	Since        time.Time
	Deadline     time.Time
	Attempts     int
	Server       fleet.ServerID
}

// ServerDump describes one backend server.
type ServerDump struct {
	ID       fleet.ServerID
	Address  string
	Domain   fleet.Domain
	Role     fleet.Role
	Serves   string
	Weights  int
	State    string
	Since    time.Time
	InFlight int
	Failures int
	// Reason is why a server that leaves or is paused gets no new work: rule, list,
	// response, report or retry-after.
	Reason string
	Load   fleet.Load
}

func (s *State) dump(now time.Time) Dump {
	d := Dump{
		Node:      s.options.Node,
		Domain:    s.options.Domain,
		State:     string(s.nodeChart.State),
		At:        now,
		Version:   s.version,
		Waiting:   s.queue.Len(),
		Budget:    s.retryBudgets.Remaining(),
		Orders:    s.dumpOrders(),
		Decisions: s.journal.list(),
	}
	d.Suspects, d.Quarantined = s.quarantine.Counts()
	for _, req := range s.requests {
		d.Requests = append(d.Requests, dumpRequest(req))
	}
	sort.Slice(d.Requests, func(i, j int) bool { return d.Requests[i].ID < d.Requests[j].ID })
	for _, server := range s.serverList {
		d.Servers = append(d.Servers, dumpServer(server))
	}
	return d
}

func dumpRequest(req *activeRequest) RequestDump {
	d := RequestDump{
		ID:           req.ID,
		Organisation: req.organisation,
		Class:        req.class,
		Route:        req.Route.Name,
		State:        string(req.chart.State),
		Since:        req.chart.Entered,
		Deadline:     req.Deadline,
		Attempts:     int(req.attempts),
	}
	if req.attempt != nil {
		d.Server = req.attempt.server.ID
	}
	return d
}

func dumpServer(server *fleet.Server) ServerDump {
	return ServerDump{
		ID:       server.ID,
		Address:  server.Address,
		Domain:   server.Domain,
		Role:     server.Role,
		Serves:   server.Serves,
		Weights:  server.Weights,
		State:    string(server.Chart.State),
		Since:    server.Chart.Entered,
		InFlight: server.InFlight,
		Failures: server.Failures,
		Reason:   restReason(server),
		Load:     server.Load,
	}
}
