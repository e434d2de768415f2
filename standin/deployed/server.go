package deployed

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Request is what a server received.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   string
	// Ran is true when the server began to work on the call, with the weights
	// that it had then.
	Ran     bool
	Weights int
}

// Headers that callers, nodes and servers share.
const (
	headerAttempt = "Request-Attempt-Id"
	headerKey     = "Api-Key"
	headerTenant  = "Tenant"
	headerSalt    = "Cache-Salt"
)

// Behaviour is what a server does with a call. The zero value answers it.
type Behaviour int

// The behaviours of a server.
const (
	// Respond runs the call and answers it whole.
	Respond Behaviour = iota
	// Shed refuses the call and says that it did not run.
	Shed
	// CloseConnection runs the call and closes the connection in the middle of the
	// answer, after CloseAfterEvents events of a stream.
	CloseConnection
	// MismatchID answers with the identifier of another attempt.
	MismatchID
	// Hang runs the call and never answers.
	Hang
	// InternalError runs the call and answers with a failure of its own.
	InternalError
	// Unframed answers with a body that ends with the connection.
	Unframed
	// Slow answers after a second.
	Slow
	// BehaviourCount is the number of behaviours.
	BehaviourCount
)

// Plan tells servers what they do with their next calls, one after the other,
// whichever of them gets the call. After them a server answers.
type Plan struct {
	mu         sync.Mutex
	behaviours []Behaviour
}

// SetNext sets what the servers do next.
func (p *Plan) SetNext(behaviours ...Behaviour) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behaviours = behaviours
}

func (p *Plan) pop() Behaviour {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.behaviours) == 0 {
		return Respond
	}
	behaviour := p.behaviours[0]
	p.behaviours = p.behaviours[1:]
	return behaviour
}

// Server is one server of a service. Its methods may be called by any
// goroutine.
type Server struct {
	// ID is the name of the incarnation, Events the events of a stream; 0 means
	// a plain service.
	ID     string
	Events int
	// CloseAfterEvents is the number of events before a break.
	CloseAfterEvents int
	// Plan may be shared by several servers.
	Plan *Plan

	mu             sync.Mutex
	received       []Request
	weights        int
	sequence       uint64
	fencingToken   uint64
	acceptedOrders int
}

// NewServer returns a server that answers.
func NewServer(id string, events int) *Server {
	return &Server{ID: id, Events: events, Plan: &Plan{}, weights: 1}
}

// SetWeights sets the loaded version, as of a server that starts.
func (s *Server) SetWeights(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights = version
}

// Received returns the calls that reached the server.
func (s *Server) Received() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request(nil), s.received...)
}

// Weights returns the loaded version and the number of accepted orders.
func (s *Server) Weights() (version, orders int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.weights, s.acceptedOrders
}

// Handler returns the routes of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.serveReport)
	mux.HandleFunc("POST /order", s.serveOrder)
	mux.HandleFunc("GET /kv-events", s.serveEvents)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// serveEvents answers an event call when its wait is over; nothing ever happens.
func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	wait, err := strconv.Atoi(r.Header.Get("Wait-Ms"))
	if err != nil {
		http.Error(w, "Wait-Ms is not a number", http.StatusBadRequest)
		return
	}
	select {
	case <-r.Context().Done():
	case <-time.After(time.Duration(wait) * time.Millisecond):
		writeJSON(w, map[string]any{"boot_epoch": 1, "next": 0, "events": [][]any{}, "clock_ms": time.Now().UnixMilli()})
	}
}

// recordCall records a call and returns what the server does with it, and whether that
// counts as run.
func (s *Server) recordCall(r *http.Request) (Behaviour, bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	received := Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header.Clone(), Body: string(body), Weights: s.weights,
	}
	expected := r.Header.Get("Expect-Version")
	behaviour := Respond
	received.Ran = r.Header.Get("Expect-Instance") == s.ID && (expected == "" || expected == strconv.Itoa(s.weights))
	if received.Ran {
		behaviour = s.Plan.pop()
		received.Ran = behaviour != Shed
	}
	s.received = append(s.received, received)
	return behaviour, received.Ran
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	behaviour, ran := s.recordCall(r)
	if s.Events > 0 {
		version, _ := s.Weights()
		w.Header().Set("Weight-Versions", strconv.Itoa(version))
	}
	if !ran && behaviour != Shed {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(headerAttempt)
	switch behaviour {
	case Shed:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case MismatchID:
		id = "another"
	case Hang:
		<-r.Context().Done()
		return
	case Slow:
		<-time.After(time.Second)
	}
	w.Header().Set(headerAttempt, id)
	w.Header().Set("Server-Seal", "seal-"+s.ID)
	switch {
	case behaviour == InternalError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case s.Events > 0:
		s.respondStream(w, r, behaviour)
	default:
		s.respondPlain(w, id, behaviour)
	}
}

func (s *Server) respondPlain(w http.ResponseWriter, id string, behaviour Behaviour) {
	body := "answer of " + s.ID + " to " + id
	switch behaviour {
	case CloseConnection:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
		_, _ = io.WriteString(w, body)
		panic(http.ErrAbortHandler)
	case Unframed:
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity")
	}
	_, _ = io.WriteString(w, body)
}

func (s *Server) respondStream(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	controller := http.NewResponseController(w)
	for i := from; i <= s.Events; i++ {
		if behaviour == CloseConnection && i > s.CloseAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = controller.Flush()
	}
}

func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "both", "busy": false, "sequence": s.sequence,
		"models": []map[string]any{{"name": "m", "version": s.weights, "adapters": []string{}}},
	})
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Version      int    `json:"version"`
		FencingToken uint64 `json:"fencing_token"`
		Expected     uint64 `json:"expected"`
	}
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case request.FencingToken < s.fencingToken:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case request.Expected != s.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.fencingToken = request.FencingToken
	s.sequence++
	s.acceptedOrders++
	s.weights = request.Version
	w.WriteHeader(http.StatusAccepted)
}
