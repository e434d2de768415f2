// Package service provides a small stand-in for a plain service, whose calls may
// have an effect that must not happen twice. It counts the effects.
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

// maxBodyBytes limits the bytes that are read from the body of a call.
const maxBodyBytes = 4 << 20

// Options configures a service.
type Options struct {
	// Name appears in each response.
	Name string
	// RunTime is the duration of each call.
	RunTime time.Duration
	// RestartAfter is the time after which a crashed service restarts by itself;
	// 0 means that it stays down until Restart is called.
	RestartAfter time.Duration
}

// Fault is a fault that is injected into one call.
type Fault int

// The faults of a call.
const (
	// CrashBefore crashes the service before the call has its effect.
	CrashBefore Fault = iota + 1
	// CrashAfter crashes the service after the call has had its effect.
	CrashAfter
	// LoseResponse closes the connection without a response after the call has
	// had its effect.
	LoseResponse
	// Hang sends no response until the caller closes the connection. The call has
	// no effect.
	Hang
	// HangAfter sends no response until the caller closes the connection. The call
	// has had its effect.
	HangAfter
	// MismatchID responds with the identifier of another request.
	MismatchID
)

// foreignRequestID is the identifier that MismatchID responds with.
const foreignRequestID = "foreign-request"

// Response is the body of a response.
type Response struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	// Run is the number of calls so far that had their effect, this one included.
	Run int `json:"run"`
	// BodyBytes is the size of the request body.
	BodyBytes int `json:"body_bytes"`
}

// Service is a plain service. Its methods may be called by any goroutine. The
// mutex guards the fields below it.
type Service struct {
	options Options

	mu sync.Mutex
	// runs counts the calls that had their effect by idempotency digest.
	runs      map[string]int
	totalRuns int
	faults    []Fault
	// crashed is closed by Crash and replaced by Restart.
	crashed chan struct{}
	down    bool
}

// New returns a running service.
func New(options Options) *Service {
	return &Service{options: options, runs: make(map[string]int), crashed: make(chan struct{})}
}

// InjectNext injects a fault into the next call. After several calls of InjectNext,
// each of the next calls gets one of the faults, in order.
func (s *Service) InjectNext(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fault)
}

// Runs returns the number of calls that had their effect for each idempotency
// digest. Calls without a digest are counted under the empty one.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for digest, n := range s.runs {
		runs[digest] = n
	}
	return runs
}

// Crash closes the connections of all running calls that do not hang, and of each
// new call until Restart.
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

// Restart starts a crashed service again.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.down = false
		s.crashed = make(chan struct{})
	}
}

// Handler returns a handler that serves every path.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(s.handleCall)
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
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

// nextFault removes and returns the fault of a call, or 0. The channel is closed
// when the service crashes.
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

// waitRunTime waits for the run time of a call. It returns false when the service
// crashes or the caller closes the connection first.
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

// recordRun records the effect of a call and returns the number of effects so far.
func (s *Service) recordRun(digest string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[digest]++
	s.totalRuns++
	return s.totalRuns
}
