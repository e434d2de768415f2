package control

import (
	"sort"
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// Dump is a copy of the control state. It holds no prompt, response or token.
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
	// Suspects and Quarantined count fingerprints.
	Suspects    int
	Quarantined int
	Orders      OrdersDump
	Decisions   []Record
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
	Load     fleet.Load
}

func (s *State) dump(now time.Time) Dump {
	d := Dump{
		Node:      s.options.Node,
		Domain:    s.options.Domain,
		State:     string(s.life.State),
		At:        now,
		Version:   s.version,
		Waiting:   s.queue.Len(),
		Budget:    s.budget.Remaining(),
		Orders:    s.dumpOrders(),
		Decisions: s.journal.list(),
	}
	d.Suspects, d.Quarantined = s.quarantine.Counts()
	for _, a := range s.requests {
		d.Requests = append(d.Requests, dumpRequest(a))
	}
	sort.Slice(d.Requests, func(i, j int) bool { return d.Requests[i].ID < d.Requests[j].ID })
	for _, server := range s.ordered {
		d.Servers = append(d.Servers, dumpServer(server))
	}
	return d
}

func dumpRequest(a *active) RequestDump {
	d := RequestDump{
		ID:           a.ID,
		Organisation: a.organisation,
		Class:        a.class,
		Route:        a.Route.Name,
		State:        string(a.position.State),
		Since:        a.position.Entered,
		Deadline:     a.Deadline,
		Attempts:     int(a.attempts),
	}
	if a.attempt != nil {
		d.Server = a.attempt.server.ID
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
		Load:     server.Load,
	}
}
