// Package weights provides a small stand-in for the platform's rate-limited weight
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
	// weightsBytes is the size of one set of weights.
	weightsBytes = 100_000
	// chunkBytes is the number of bytes that are sent at a time.
	chunkBytes = 5_000
)

// Options sets the speed of the store.
type Options struct {
	// LoadTime is the minimum duration of one load.
	LoadTime time.Duration
	// FullSpeedLoads is the number of concurrent loads that do not slow each other
	// down.
	FullSpeedLoads int
}

// Store is a weight store. Its methods may be called by any goroutine. The mutex
// guards the fields below it.
type Store struct {
	options    Options
	sharedLink *link.Link

	mu           sync.Mutex
	unreachable  bool
	loading      int
	maxLoading   int
	startedLoads int
}

var _ weights.Loader = (*Store)(nil)

// New returns a weight store.
func New(options Options) *Store {
	bytesPerSecond := weightsBytes / options.LoadTime.Seconds()
	return &Store{options: options, sharedLink: link.New(bytesPerSecond * float64(options.FullSpeedLoads))}
}

// SetUnreachable makes new loads fail with code.EngineAway while it is set.
func (s *Store) SetUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
}

// Loads returns the number of loads that were started and the maximum number of
// concurrent loads.
func (s *Store) Loads() (started, maxConcurrent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedLoads, s.maxLoading
}

// Load takes as long as fetching a set of weights over HTTP does. It returns
// code.EngineAway while the store is unreachable and when the context ends.
func (s *Store) Load(ctx context.Context, _ weights.Name) *code.Error {
	return s.load(ctx, func(int) error { return nil })
}

// Handler returns the HTTP route of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+weights.PathWeights+"/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(weightsBytes))
		chunk := make([]byte, chunkBytes)
		err := s.load(r.Context(), func(n int) error {
			_, err := w.Write(chunk[:n])
			return err
		})
		if err != nil {
			w.Header().Del("Content-Length")
			wire.ReplyError(w, err)
		}
	})
	return mux
}

// load calls send with the size of each chunk, at the speed of the store.
func (s *Store) load(ctx context.Context, send func(n int) error) *code.Error {
	if !s.startLoad() {
		return code.New(code.EngineAway, "the weight store is away")
	}
	defer s.finishLoad()
	chunkTime := s.options.LoadTime * chunkBytes / weightsBytes
	for range weightsBytes / chunkBytes {
		// A chunk takes its share of the load time even when the link is idle.
		chunkTimer := time.NewTimer(chunkTime)
		if err := s.sharedLink.Transfer(ctx, chunkBytes); err != nil {
			chunkTimer.Stop()
			return code.Wrap(code.EngineAway, "the load was given up", err)
		}
		select {
		case <-ctx.Done():
			return code.Wrap(code.EngineAway, "the load was given up", ctx.Err())
		case <-chunkTimer.C:
		}
		if err := send(chunkBytes); err != nil {
			return code.Wrap(code.EngineAway, "the load broke off", err)
		}
	}
	return nil
}

// startLoad counts a new load, or returns false when the store is unreachable.
func (s *Store) startLoad() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return false
	}
	s.startedLoads++
	s.loading++
	s.maxLoading = max(s.maxLoading, s.loading)
	return true
}

func (s *Store) finishLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading--
}
