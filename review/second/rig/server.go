package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Arrival is one request that reached a server.
type Arrival struct {
	ID     string
	Path   string
	Server string
	At     time.Time
	// Ran is true when the server began to work on it.
	Ran bool
	// Header is that of the request.
	Header http.Header
}

// Pool is the servers of one service. A server that crashes is replaced by a new incarnation
// with a new id after RestartTime; its entry ends after three heartbeats.
type Pool struct {
	site    *Site
	service string
	slots   int
	// Work is how long a server works on a request, or until the first event of a stream.
	Work time.Duration
	// EventGap is the pause between the events of a stream, Events their number.
	EventGap time.Duration
	Events   int
	// Crashes reports whether a request crashes the server that runs it. The server crashes
	// when it begins to answer, or CrashAfter later, with the first event sent.
	Crashes    func(r *http.Request) bool
	CrashAfter time.Duration
	// Wrap replaces the handler of a server, or is nil.
	Wrap func(server *Server, handler http.Handler) http.Handler
	// RestartTime is how long a server is away after a crash.
	RestartTime time.Duration

	mu       sync.Mutex
	arrivals []Arrival
	crashes  []time.Time
	servers  []*Server
	next     int
	closed   bool
}

// Server is one incarnation of a server.
type Server struct {
	ID      string
	pool    *Pool
	born    int64
	entry   map[string]any
	http    *http.Server
	leaving atomic.Bool
	mu      sync.Mutex
	conns   map[net.Conn]bool
	crashed bool
}

// NewPool returns the pool of a service; StartServers starts its servers.
func (s *Site) NewPool(service string, slots int) *Pool {
	p := &Pool{site: s, service: service, slots: slots, RestartTime: 2 * time.Second, Crashes: func(*http.Request) bool { return false }}
	s.closers = append(s.closers, p.close)
	return p
}

// StartServers starts a number of servers.
func (p *Pool) StartServers(count int) error {
	for range count {
		if err := p.startServer(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Pool) startServer() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.next++
	server := &Server{ID: fmt.Sprintf("i-%s-%d", p.service, p.next), pool: p, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	handler := http.Handler(http.HandlerFunc(server.handle))
	if p.Wrap != nil {
		handler = p.Wrap(server, handler)
	}
	server.http = &http.Server{Handler: handler, ConnState: server.connState}
	go func() { _ = server.http.Serve(listener) }()
	entry := map[string]any{
		"service": p.service, "address": listener.Addr().String(), "zone": "hobart-a", "version": 1, "slots": p.slots,
		"state": "ready", "cold_left_ms": 0, "sequence": 1, "born": server.born,
	}
	if p.service == ModelService {
		entry["stage"] = "both"
		entry["models"] = []map[string]any{{"name": Model, "version": 1, "adapters": []string{}}}
	}
	server.entry = entry
	p.servers = append(p.servers, server)
	p.site.Store.Put("servers/"+server.ID, entry)
	p.site.record.Printf("server %s starts at %s", server.ID, listener.Addr())
	return nil
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// Servers returns the servers that were started, in their order.
func (p *Pool) Servers() []*Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*Server(nil), p.servers...)
}

// Leave removes the entry of a server, which goes on serving until End and says in all its
// answers that it leaves.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.pool.site.Store.Remove("servers/" + s.ID)
	s.pool.site.record.Printf("server %s leaves: its entry is removed", s.ID)
}

// End ends a server that leaves. Its entry is removed again, if the store has it again.
func (s *Server) End() {
	_ = s.http.Close()
	s.pool.site.Store.Remove("servers/" + s.ID)
	s.pool.site.record.Printf("server %s ends", s.ID)
}

// WriteAgain writes the entry of a server again.
func (s *Server) WriteAgain() {
	s.pool.site.Store.Put("servers/"+s.ID, s.entry)
}

// sayLeaving sets the header of an answer of a server that leaves.
func (s *Server) sayLeaving(w http.ResponseWriter) {
	if s.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
}

// Arrivals returns the requests that reached the servers of the pool.
func (p *Pool) Arrivals() []Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Arrival(nil), p.arrivals...)
}

// CrashTimes returns the times of the crashes of servers.
func (p *Pool) CrashTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.crashes...)
}

func (s *Server) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = true
}

// crash ends the server: its listener and all its connections close, as when the process
// ends.
func (s *Server) crash(id string) {
	s.mu.Lock()
	if s.crashed {
		s.mu.Unlock()
		return
	}
	s.crashed = true
	conns := make([]net.Conn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	p := s.pool
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	p.site.record.Printf("server %s crashes under %s", s.ID, id)
	for _, conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	_ = s.http.Close()
	time.AfterFunc(p.RestartTime, func() {
		if err := p.startServer(); err != nil {
			p.site.record.Printf("restart: %v", err)
		}
	})
	time.AfterFunc(3*HeartbeatTime, func() { p.site.Store.Remove("servers/" + s.ID) })
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.sayLeaving(w)
	switch r.URL.Path {
	case "/report":
		writeText(w, `{"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":64955,"handles":0}`)
		return
	case "/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		s.sayLeaving(w)
		writeText(w, fmt.Sprintf(`{"boot_epoch":%d,"next":0,"lost":false,"events":[],"clock_ms":%d}`, s.born, time.Now().UnixMilli()))
		return
	case "/kv-list":
		writeText(w, fmt.Sprintf(`{"boot_epoch":%d,"next":0,"held":[],"clock_ms":%d}`, s.born, time.Now().UnixMilli()))
		return
	}
	s.handleRequest(w, r)
}

func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, text)
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Request-Attempt-Id", id)
	if r.Header.Get("Expect-Instance") != s.ID {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.pool.record(Arrival{ID: id, Path: r.URL.Path, Server: s.ID, At: time.Now(), Ran: true, Header: r.Header.Clone()})
	select {
	case <-r.Context().Done():
		return
	case <-time.After(s.pool.Work):
	}
	crashes := s.pool.Crashes(r)
	if crashes && s.pool.CrashAfter == 0 {
		s.crash(id)
		return
	}
	s.sayLeaving(w)
	w.Header().Set("Server-Seal", "seal."+s.ID+"."+id)
	if s.pool.service != ModelService {
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if crashes {
		time.AfterFunc(s.pool.CrashAfter, func() { s.crash(id) })
	}
	for i := first; i <= s.pool.Events; i++ {
		if i > first {
			time.Sleep(s.pool.EventGap)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func (p *Pool) record(a Arrival) {
	p.mu.Lock()
	p.arrivals = append(p.arrivals, a)
	p.mu.Unlock()
	p.site.record.Printf("server %s runs %s %s", a.Server, a.ID, a.Path)
}

// HasPart reports whether a part that is not the last one of the prompt has an id.
func HasPart(header http.Header, id string) bool {
	parts := strings.Split(header.Get("Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(part, ":"); name == id {
			return true
		}
	}
	return false
}

// ArrivalsAfterCrash returns how many of the requests that match reached servers later than
// ContactTime after the crash with a number, counted from 1.
func (p *Pool) ArrivalsAfterCrash(number int, match func(Arrival) bool) int {
	crashes := p.CrashTimes()
	if len(crashes) < number {
		return 0
	}
	from := crashes[number-1].Add(ContactTime)
	count := 0
	for _, a := range p.Arrivals() {
		if a.At.After(from) && match(a) {
			count++
		}
	}
	return count
}
