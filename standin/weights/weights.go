// Package weights is a small stand-in for the platform's rate-limited weight
// store.
package weights

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tanagerspread/client/weights"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	"tanagerspread/standin/link"
)

const (
	// setBytes is the size of one set of weights.
	setBytes = 100_000
	// partBytes is the part of a set that is sent at a time.
	partBytes = 5_000
)

// Options sets the speed of the store.
type Options struct {
	// LoadTime is the least time of one load.
	LoadTime time.Duration
	// FullSpeedLoads is the number of loads that run at once without slowing
	// each other down.
	FullSpeedLoads int
}

// Store serves sets of weights. The mutex guards the fields below it.
type Store struct {
	options Options
	shared  *link.Link

	mu      sync.Mutex
	outage  bool
	loading int
	most    int
	loads   int
}

var _ weights.Loader = (*Store)(nil)

// New returns a weight store.
func New(options Options) *Store {
	perLoad := setBytes / options.LoadTime.Seconds()
	return &Store{options: options, shared: link.New(perLoad * float64(options.FullSpeedLoads))}
}

// SetOutage starts or ends an outage.
func (s *Store) SetOutage(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = out
}

// Loads returns how many loads began and the most that ran at once.
func (s *Store) Loads() (began, atOnce int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.most
}

// Load takes as long as fetching the weights does. It returns
// code.EngineAway during an outage.
func (s *Store) Load(ctx context.Context, _ weights.Name) *code.Error {
	return s.load(ctx, func(int) error { return nil })
}

// Handler returns the HTTP route of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+weights.PathWeights+"/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(setBytes))
		part := make([]byte, partBytes)
		err := s.load(r.Context(), func(n int) error {
			_, err := w.Write(part[:n])
			return err
		})
		if err != nil {
			w.Header().Del("Content-Length")
			wire.ReplyError(w, err)
		}
	})
	return mux
}

// load passes the size of each part to send at the speed of the store.
func (s *Store) load(ctx context.Context, send func(n int) error) *code.Error {
	if !s.begin() {
		return code.New(code.EngineAway, "the weight store is away")
	}
	defer s.end()
	pause := s.options.LoadTime * partBytes / setBytes
	for range setBytes / partBytes {
		// A part takes its share of the load time even when the link is free.
		earliest := time.NewTimer(pause)
		if err := s.shared.Transfer(ctx, partBytes); err != nil {
			earliest.Stop()
			return code.Wrap(code.EngineAway, "the load was given up", err)
		}
		select {
		case <-ctx.Done():
			return code.Wrap(code.EngineAway, "the load was given up", ctx.Err())
		case <-earliest.C:
		}
		if err := send(partBytes); err != nil {
			return code.Wrap(code.EngineAway, "the load broke off", err)
		}
	}
	return nil
}

func (s *Store) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return false
	}
	s.loads++
	s.loading++
	s.most = max(s.most, s.loading)
	return true
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading--
}
