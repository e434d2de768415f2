package deployed

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is a call that a server received.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   string
	// ReceivedAt is when the call arrived.
	ReceivedAt time.Time
	// Ran is true when the server executed the call, at least in part, and BeganAt is
	// when it began to.
	Ran     bool
	BeganAt time.Time
	// Weights is the weight version that was loaded when the call arrived.
	Weights int
}

// Headers that callers, nodes and servers share.
const (
	headerAttempt = "Request-Attempt-Id"
	headerKey     = "Api-Key"
	headerTenant  = "Tenant"
	headerSalt    = "Cache-Salt"
)

// Behaviour is what a server does with a call. The zero value is Respond.
type Behaviour int

// The behaviours of a server.
const (
	// Respond runs the call and sends a complete response.
	Respond Behaviour = iota
	// Shed refuses the call with 503 and reports that it was not executed.
	Shed
	// CloseConnection runs the call and closes the connection in the middle of
	// the response, in a stream after CloseAfterEvents events.
	CloseConnection
	// MismatchID runs the call and responds with the identifier of another
	// attempt.
	MismatchID
	// Hang runs the call and never responds.
	Hang
	// InternalError runs the call and responds with 500.
	InternalError
	// Unframed runs the call. A plain service sends a body without a length,
	// which ends when the connection is closed; a model server responds as usual.
	Unframed
	// Slow runs the call and responds after one second.
	Slow
	// RefuseOther runs the call and responds with the refusal of another attempt, which
	// was not executed.
	RefuseOther
	// RefuseUnnamed is like RefuseOther, but the refusal has no identifier.
	RefuseUnnamed
	// RespondPlain runs the call. A model server sends a complete response that is no
	// stream; a plain service responds as usual.
	RespondPlain
	// OmitEventIDs runs the call. A model server sends events without ids. Unless it
	// resumes a stream, it closes the connection after CloseAfterEvents of them if that
	// is not 0. A plain service responds as usual.
	OmitEventIDs
	// Unavailable runs the call and responds with 503.
	Unavailable
	// BehaviourCount is the number of the behaviours above, which wait for no other
	// call of the test.
	BehaviourCount
	// HoldUntilDeadline keeps the call in the queue until Release and then runs it. At
	// the deadline of the call it refuses it with 503 as not executed. It does not
	// notice that the connection was closed.
	HoldUntilDeadline
	// HoldWhileConnected keeps the call in the queue until Release and then runs it. It
	// ignores the deadline and drops the call when the connection is closed.
	HoldWhileConnected
)

// Plan is a queue of behaviours for the next calls. Servers that share a plan
// take one behaviour for each call; when the queue is empty, they respond. Its
// methods may be called by any goroutine.
type Plan struct {
	mu         sync.Mutex
	behaviours []Behaviour
}

// SetNext replaces the queue of behaviours.
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
	// ID identifies the incarnation of the server.
	ID string
	// Events is the number of events in a stream; 0 means a plain service.
	Events int
	// CloseAfterEvents is the number of events that CloseConnection sends before
	// it closes the connection.
	CloseAfterEvents int
	// Plan may be shared by several servers.
	Plan *Plan
	// StartedAtMS is the start time of the process in Unix milliseconds.
	StartedAtMS int64
	// WorkTime is how long the server works on a call before it responds. It drops the call
	// when the connection is closed.
	WorkTime time.Duration
	// CrashPart is a prompt part that crashes the server when it begins a response to a
	// call with it, or empty. Crash then ends the process.
	CrashPart string
	Crash     func()

	// released is closed by Release.
	released chan struct{}

	mu sync.Mutex
	// leaving is true when all responses say that the server leaves.
	leaving bool
	// retryAfter is the header Retry-After of each 503 response; empty means none.
	retryAfter string
	// busy is true when the server refuses management calls.
	busy bool
	// managementCalls counts the reads of the report, orders and event calls.
	managementCalls int
	received        []Request
	weights         int
	// sequence is the number of accepted orders that the report publishes and
	// that the next order has to expect. It always equals acceptedOrders.
	sequence       uint64
	fencingToken   uint64
	acceptedOrders int
	orders         []Order
}

// NewServer returns a server with an empty plan and weight version 1. If events is
// 0, it is a server of a plain service.
func NewServer(id string, events int) *Server {
	return &Server{ID: id, Events: events, Plan: &Plan{}, StartedAtMS: startedAtMS, weights: 1, released: make(chan struct{})}
}

// Release lets the server run the calls that it holds. It may be called once.
func (s *Server) Release() {
	close(s.released)
}

// SetLeaving sets whether all responses say that the server leaves.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetRetryAfter sets the header Retry-After of each 503 response; empty means none.
func (s *Server) SetRetryAfter(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = value
}

// SetBusy sets whether the server refuses reads of its report, orders and event calls
// with 503.
func (s *Server) SetBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

// ManagementCalls returns the number of reads of the report, orders and event calls
// that reached the server.
func (s *Server) ManagementCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.managementCalls
}

// SetWeights sets the loaded weight version, as after a restart of the server.
func (s *Server) SetWeights(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights = version
}

// Received returns a copy of the calls that reached the server, in order of
// arrival.
func (s *Server) Received() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request(nil), s.received...)
}

// Weights returns the loaded weight version and the number of accepted orders.
func (s *Server) Weights() (version, orders int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.weights, s.acceptedOrders
}

// Handler returns the routes of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.unlessBusy(s.handleReport))
	mux.HandleFunc("POST /order", s.unlessBusy(s.handleOrder))
	mux.HandleFunc("GET /kv-events", s.unlessBusy(s.handleEvents))
	mux.HandleFunc("/", s.handleCall)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		if leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		mux.ServeHTTP(w, r)
	})
}

// recordCall records a call and returns its index in received, its behaviour, and
// whether the call is accepted. A call that expects another instance or weight version
// is not accepted.
func (s *Server) recordCall(r *http.Request) (int, Behaviour, bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	received := Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header.Clone(), Body: string(body), Weights: s.weights, ReceivedAt: time.Now(),
	}
	expected := r.Header.Get("Expect-Version")
	behaviour := Respond
	accepted := r.Header.Get("Expect-Instance") == s.ID && (expected == "" || expected == strconv.Itoa(s.weights))
	if accepted {
		behaviour = s.Plan.pop()
		accepted = behaviour != Shed
	}
	if accepted && behaviour < BehaviourCount {
		received.Ran, received.BeganAt = true, time.Now()
	}
	s.received = append(s.received, received)
	return len(s.received) - 1, behaviour, accepted
}

// hold waits until a held call begins and records that. It returns false when the call
// does not begin.
func (s *Server) hold(r *http.Request, index int, behaviour Behaviour) bool {
	var dropped <-chan struct{}
	var expired <-chan time.Time
	if behaviour == HoldUntilDeadline {
		deadline, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
		expired = time.After(time.Duration(deadline) * time.Millisecond)
	} else {
		dropped = r.Context().Done()
	}
	select {
	case <-dropped:
		return false
	case <-expired:
		return false
	case <-s.released:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received[index].Ran, s.received[index].BeganAt = true, time.Now()
	return true
}

// handleCall responds with 421 to a call that expects another instance or weight
// version, and otherwise according to the plan.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	index, behaviour, accepted := s.recordCall(r)
	if s.Events > 0 {
		version, _ := s.Weights()
		w.Header().Set("Weight-Versions", strconv.Itoa(version))
	}
	if !accepted && behaviour != Shed {
		w.Header().Set("Instance-Id", s.ID)
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if behaviour > BehaviourCount && !s.hold(r, index, behaviour) {
		behaviour = Shed
	}
	if s.refuses(w, r, behaviour) {
		return
	}
	id := r.Header.Get(headerAttempt)
	switch behaviour {
	case MismatchID:
		id = "another"
	case Hang:
		<-r.Context().Done()
		return
	case Slow:
		<-time.After(time.Second)
	}
	if !s.work(r) {
		return
	}
	w.Header().Set(headerAttempt, id)
	w.Header().Set("Server-Seal", "seal-"+s.ID)
	switch {
	case behaviour == Unavailable:
		s.setRetryAfter(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case behaviour == InternalError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case s.Events > 0 && behaviour != RespondPlain:
		s.respondStream(w, r, behaviour)
	default:
		s.respondPlain(w, id, behaviour)
	}
}

// work takes WorkTime and then ends the process when the prompt has CrashPart. It returns
// false when the connection was closed meanwhile.
func (s *Server) work(r *http.Request) bool {
	select {
	case <-time.After(s.WorkTime):
	case <-r.Context().Done():
		return false
	}
	if s.CrashPart != "" && (Request{Header: r.Header}).HasSharedPart(s.CrashPart) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	return true
}

// HasSharedPart reports whether the prompt of the call has a part that is not its last one.
func (r Request) HasSharedPart(id string) bool {
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool {
		name, _, _ := strings.Cut(part, ":")
		return name == id
	})
}

// refuses responds that the call, or another one, was not executed when the behaviour
// says so, and reports whether it does.
func (s *Server) refuses(w http.ResponseWriter, r *http.Request, behaviour Behaviour) bool {
	id := ""
	switch behaviour {
	case Shed:
		s.setRetryAfter(w)
		id = r.Header.Get(headerAttempt)
	case RefuseOther:
		id = "another"
	case RefuseUnnamed:
	default:
		return false
	}
	// A refusal without an identifier does not have the header at all.
	if id != "" {
		w.Header().Set(headerAttempt, id)
	}
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (s *Server) setRetryAfter(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryAfter != "" {
		w.Header().Set("Retry-After", s.retryAfter)
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

// respondStream sends the events after the last one that the caller has received.
func (s *Server) respondStream(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	controller := http.NewResponseController(w)
	breaks := behaviour == CloseConnection || behaviour == OmitEventIDs && s.CloseAfterEvents > 0 && from == 1
	for i := from; i <= s.Events; i++ {
		if breaks && i > s.CloseAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if behaviour != OmitEventIDs {
			_, _ = fmt.Fprintf(w, "id: %d\n", i)
		}
		_, _ = fmt.Fprintf(w, "data: piece %d\n\n", i)
		_ = controller.Flush()
	}
}
