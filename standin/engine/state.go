package engine

import (
	"time"

	"tanagerspread/client/engine"
)

// loadSample is the load from the time since on.
type loadSample struct {
	since time.Time
	load  engine.Load
}

// state is the state of an engine, confined to one goroutine.
type state struct {
	options Options
	batch   *batch
	cache   *cache
	feed    *feed
	// runCounts is the number of started runs by request identifier. It
	// survives a crash.
	runCounts     map[string]int
	arrivals      int
	current       engine.Desired
	order         orderState
	fencing       uint64
	leaving       bool
	loadHistory   []loadSample
	loadLag       time.Duration
	pendingFaults []responseFault
	// resumeMismatches counts refused resume requests whose text is not the
	// beginning of the response.
	resumeMismatches int
	// invalidBlocksUsed counts uses of blocks that are marked as invalid.
	invalidBlocksUsed int
	// crashed is closed when the engine crashes and replaced by a restart.
	crashed chan struct{}
	down    bool
	// hangEnded is nil unless the engine hangs. It is closed when the engine
	// continues.
	hangEnded chan struct{}
}

func newState(options Options, now time.Time) *state {
	s := &state{options: options, runCounts: make(map[string]int), loadLag: options.LoadLag}
	s.restart(now)
	return s
}

// restart resets the state to that of a newly started process. Counters,
// injected faults and a hang are retained.
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

// crash aborts all calls and discards the batch. It cancels a load in progress.
// The cache and the order are replaced by restart.
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

// advance simulates the batch up to now unless the engine hangs or is down.
func (s *state) advance(now time.Time) {
	if !s.down && s.hangEnded == nil {
		s.batch.advance(now)
	}
}

// resetTimer sets the timer to the time of the next event of the batch, or stops
// it when there is none.
func (s *state) resetTimer(timer *time.Timer) {
	timer.Stop()
	if s.down || s.hangEnded != nil {
		return
	}
	if next, ok := s.batch.nextEventAt(); ok {
		timer.Reset(time.Until(next))
	}
}

// setHang stops or continues all progress. After a hang, prefills and decode steps
// do not catch up.
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

// recordLoad appends the load to the history when it has changed, and prunes
// the history.
func (s *state) recordLoad(now time.Time) {
	load := s.batch.load()
	load.Leaving = s.leaving
	if n := len(s.loadHistory); n > 0 && s.loadHistory[n-1].load == load {
		return
	}
	s.loadHistory = append(s.loadHistory, loadSample{since: now, load: load})
	s.pruneLoads(now)
}

// pruneLoads removes the samples that are too old for any load report.
func (s *state) pruneLoads(now time.Time) {
	visible := now.Add(-s.loadLag)
	for len(s.loadHistory) > 1 && !s.loadHistory[1].since.After(visible) {
		s.loadHistory = s.loadHistory[1:]
	}
}

// loadReport returns the load of loadLag ago.
func (s *state) loadReport(now time.Time) engine.Load {
	s.recordLoad(now)
	s.pruneLoads(now)
	return s.loadHistory[0].load
}
