package engine

import (
	"time"

	"tanagerspread/client/engine"
)

// loadSample is the load from a time on.
type loadSample struct {
	since time.Time
	load  engine.Load
}

// state is everything that the engine's goroutine owns.
type state struct {
	options Options
	batch   *batch
	cache   *cache
	feed    *feed
	// runCounts counts the runs of each request and survives a crash.
	runCounts     map[string]int
	arrivals      int
	current       engine.Desired
	order         orderState
	fencing       uint64
	leaving       bool
	loadHistory   []loadSample
	loadLag       time.Duration
	pendingFaults []responseFault
	// resumeMismatches counts resumed texts that the engine did not generate.
	resumeMismatches int
	// invalidBlocksUsed counts uses of blocks with other content than they have.
	invalidBlocksUsed int
	// crashed is closed when the engine dies.
	crashed chan struct{}
	down    bool
	// hangEnded is nil, or closed when the engine goes on.
	hangEnded chan struct{}
}

func newState(options Options, now time.Time) *state {
	s := &state{options: options, runCounts: make(map[string]int), loadLag: options.LoadLag}
	s.restart(now)
	return s
}

// restart makes the engine empty, as after the start of its process.
func (s *state) restart(now time.Time) {
	s.down = false
	s.crashed = make(chan struct{})
	s.feed = &feed{delay: s.options.EventDelay, dropEvery: uint64(s.options.DropEvery)}
	s.cache = newCache(s.options.CacheBlocks, func(kind string, id blockID) { s.feed.add(time.Now(), kind, id) })
	s.batch = &batch{options: s.options, cache: s.cache, advancedTo: now, runCounts: s.runCounts, invalidBlocksUsed: &s.invalidBlocksUsed}
	s.current = s.options.Initial
	s.order = orderState{}
	s.fencing = 0
	s.leaving = false
	s.loadHistory = nil
	s.recordLoad(now)
}

// crash breaks all calls and loses the batch, the cache and the order.
func (s *state) crash() {
	if s.down {
		return
	}
	s.down = true
	s.order.cancelLoad()
	s.batch.crashMarkerSeen = false
	s.batch.runs = nil
	s.batch.nextStepAt = time.Time{}
	close(s.crashed)
}

// advance brings the batch to now unless the engine hangs or is dead.
func (s *state) advance(now time.Time) {
	if !s.down && s.hangEnded == nil {
		s.batch.advance(now)
	}
}

// resetTimer sets the timer to the next event of the batch.
func (s *state) resetTimer(timer *time.Timer) {
	timer.Stop()
	if s.down || s.hangEnded != nil {
		return
	}
	if next, ok := s.batch.nextEventAt(); ok {
		timer.Reset(time.Until(next))
	}
}

// setHang stops or continues all progress. The time of a hang does not count.
func (s *state) setHang(hang bool, now time.Time) {
	if hang == (s.hangEnded != nil) {
		return
	}
	if hang {
		s.hangEnded = make(chan struct{})
		return
	}
	close(s.hangEnded)
	s.hangEnded = nil
	if !s.batch.nextStepAt.IsZero() {
		s.batch.nextStepAt = now
	}
	s.batch.advancedTo = now
}

// recordLoad keeps the load when it has changed, and drops what no report
// shows any more.
func (s *state) recordLoad(now time.Time) {
	load := s.batch.load()
	load.Leaving = s.leaving
	if n := len(s.loadHistory); n > 0 && s.loadHistory[n-1].load == load {
		return
	}
	s.loadHistory = append(s.loadHistory, loadSample{since: now, load: load})
	s.pruneLoads(now)
}

func (s *state) pruneLoads(now time.Time) {
	visible := now.Add(-s.loadLag)
	for len(s.loadHistory) > 1 && !s.loadHistory[1].since.After(visible) {
		s.loadHistory = s.loadHistory[1:]
	}
}

// loadReport returns the load as of the lag ago.
func (s *state) loadReport(now time.Time) engine.Load {
	s.recordLoad(now)
	s.pruneLoads(now)
	return s.loadHistory[0].load
}
