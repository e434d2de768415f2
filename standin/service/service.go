// Package service is a small stand-in for a plain service, whose calls may
// have effects that must not happen twice.
package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"tanagerspread/client/service"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 4 << 20

// Options configures a service.
type Options struct {
	// Name appears in each response.
	Name string
	// RunTime is how long a call runs.
	RunTime time.Duration
	// RestartAfter starts a crashed service again; 0 waits for Restart.
	RestartAfter time.Duration
}

// Fault spoils one call.
type Fault int

// The faults of a call.
const (
	// CrashBefore kills the service before the call has its effect.
	CrashBefore Fault = iota + 1
	// CrashAfter kills the service after the call had its effect.
	CrashAfter
	// LoseResponse breaks the connection after the call had its effect.
	LoseResponse
	// Hang keeps the call waiting, without its effect, until the caller leaves.
	Hang
	// HangAfter keeps the call waiting after its effect until the caller
	// leaves.
	HangAfter
	// MismatchID echoes the identifier of another request.
	MismatchID
)

// foreignRequestID is the request identifier of a crossed response.
const foreignRequestID = "foreign-request"

// Response is the body of a response.
type Response struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	// Run numbers the runs of the service.
	Run int `json:"run"`
	// BodyBytes is the size of the call's body.
	BodyBytes int `json:"body_bytes"`
}

// Service is a plain service. The mutex guards the fields below it.
type Service struct {
	options Options

	mu        sync.Mutex
	runs      map[string]int
	totalRuns int
	faults    []Fault
	// crashed is closed when the service dies and replaced by Restart.
	crashed chan struct{}
	down    bool
}

// New returns a service.
func New(options Options) *Service {
	return &Service{options: options, runs: make(map[string]int), crashed: make(chan struct{})}
}

// InjectNext applies a fault to the next call that has none yet.
func (s *Service) InjectNext(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fault)
}

// Runs returns how often calls with an idempotency digest had their effect.
// Calls without one are counted under the empty digest.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for digest, n := range s.runs {
		runs[digest] = n
	}
	return runs
}

// Crash breaks all calls until Restart.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	close(s.crashed)
	if s.options.RestartAfter > 0 {
		time.AfterFunc(s.options.RestartAfter, s.Restart)
	}
}

// Restart starts a dead service again.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.down = false
		s.crashed = make(chan struct{})
	}
}

// Handler serves every path.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(s.serve)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	fault, crashed := s.nextFault()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || !s.waitRunTime(r.Context(), crashed) {
		panic(http.ErrAbortHandler) // net/http closes the connection.
	}
	switch fault {
	case Hang:
		<-r.Context().Done()
		return
	case CrashBefore:
		s.Crash()
		panic(http.ErrAbortHandler) // net/http closes the connection.
	}
	run := s.recordRun(r.Header.Get(service.HeaderKeyDigest))
	switch fault {
	case CrashAfter:
		s.Crash()
		panic(http.ErrAbortHandler) // net/http closes the connection.
	case LoseResponse:
		panic(http.ErrAbortHandler) // net/http closes the connection.
	case HangAfter:
		<-r.Context().Done()
		return
	}
	id := r.Header.Get(service.HeaderRequestID)
	if fault == MismatchID {
		id = foreignRequestID
	}
	w.Header().Set(service.HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	response := Response{Service: s.options.Name, Path: r.URL.Path, Run: run, BodyBytes: len(body)}
	_ = json.NewEncoder(w).Encode(response)
}

// nextFault takes the fault of a call.
func (s *Service) nextFault() (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || len(s.faults) == 0 {
		return 0, s.crashed
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault, s.crashed
}

// waitRunTime waits for the run time. It returns false when the service died or
// the caller left.
func (s *Service) waitRunTime(ctx context.Context, crashed <-chan struct{}) bool {
	timer := time.NewTimer(s.options.RunTime)
	defer timer.Stop()
	select {
	case <-crashed:
		return false
	default:
	}
	select {
	case <-crashed:
		return false
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// recordRun counts the effect of a call and returns the number of its run.
func (s *Service) recordRun(digest string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[digest]++
	s.totalRuns++
	return s.totalRuns
}
