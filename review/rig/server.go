package rig

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one request that a server began to work on.
type Run struct {
	ID     string
	Method string
	Target string
	Bytes  int64
}

// Server is a server of a plain service. It runs what it is sent and answers when its
// work is done.
type Server struct {
	ID   string
	Work time.Duration

	record *Record
	mu     sync.Mutex
	runs   []Run
}

// NewServer returns a server that is not registered yet.
func NewServer(id string, work time.Duration, record *Record) *Server {
	return &Server{ID: id, Work: work, record: record}
}

// Entry returns the entry of the server in the platform's store.
func (s *Server) Entry(address, zone, service string, slots int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "sequence": 1,
		"born": time.Now().UnixMilli(),
	}
}

// Runs returns what the server has run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.ID {
		w.Header().Set("Request-Attempt-Id", r.Header.Get("Request-Attempt-Id"))
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Attempt-Id")
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{ID: id, Method: r.Method, Target: r.RequestURI, Bytes: size})
	s.mu.Unlock()
	s.record.Printf("server %s runs %s: %s %s, %d bytes", s.ID, id, r.Method, r.RequestURI, size)
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		s.record.Printf("server %s: the connection of %s was closed while it ran", s.ID, id)
		return
	}
	body := "done " + id
	w.Header().Set("Request-Attempt-Id", id)
	w.Header().Set("Server-Seal", "seal."+s.ID+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}
