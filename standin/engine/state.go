package engine

import (
	"time"

	"tanagerspread/client/engine"
)

// timedLoad is the load from a time on.
type timedLoad struct {
	since time.Time
	load  engine.Load
}

// state is everything that the engine's goroutine owns.
type state struct {
	options Options
	batch   *batch
	cache   *cache
	feed    *feed
	// started counts the runs of each request and survives a crash.
	started map[string]int
	arrived int
	current engine.Desired
	order   orderState
	fencing uint64
	leaving bool
	loads   []timedLoad
	loadLag time.Duration
	faults  []responseFault
	// resumeMismatches counts resumed texts that the engine did not generate.
	resumeMismatches int
	// invalidUsed counts uses of blocks with other content than they have.
	invalidUsed int
	// death is closed when the engine dies.
	death chan struct{}
	dead  bool
	// hang is nil, or closed when the engine goes on.
	hang chan struct{}
}

func newState(options Options, now time.Time) *state {
	s := &state{options: options, started: make(map[string]int), loadLag: options.LoadLag}
	s.restart(now)
	return s
}

// restart makes the engine empty, as after the start of its process.
func (s *state) restart(now time.Time) {
	s.dead = false
	s.death = make(chan struct{})
	s.feed = &feed{delay: s.options.EventDelay, dropEvery: uint64(s.options.DropEvery)}
	s.cache = newCache(s.options.CacheBlocks, func(kind string, id blockID) { s.feed.add(time.Now(), kind, id) })
	s.batch = &batch{options: s.options, cache: s.cache, advanced: now, started: s.started, invalidUsed: &s.invalidUsed}
	s.current = s.options.Initial
	s.order = orderState{}
	s.fencing = 0
	s.leaving = false
	s.loads = nil
	s.recordLoad(now)
}

// die breaks all calls and loses the batch, the cache and the order.
func (s *state) die() {
	if s.dead {
		return
	}
	s.dead = true
	s.order.stop()
	s.batch.crashed = false
	s.batch.runs = nil
	s.batch.nextStep = time.Time{}
	close(s.death)
}

// advance brings the batch to now unless the engine hangs or is dead.
func (s *state) advance(now time.Time) {
	if !s.dead && s.hang == nil {
		s.batch.advance(now)
	}
}

// schedule sets the timer to the next event of the batch.
func (s *state) schedule(timer *time.Timer) {
	timer.Stop()
	if s.dead || s.hang != nil {
		return
	}
	if next, ok := s.batch.nextEvent(); ok {
		timer.Reset(time.Until(next))
	}
}

// setHang stops or continues all progress. The time of a hang does not count.
func (s *state) setHang(hang bool, now time.Time) {
	if hang == (s.hang != nil) {
		return
	}
	if hang {
		s.hang = make(chan struct{})
		return
	}
	close(s.hang)
	s.hang = nil
	if !s.batch.nextStep.IsZero() {
		s.batch.nextStep = now
	}
	s.batch.advanced = now
}

// recordLoad keeps the load when it has changed, and drops what no report
// shows any more.
func (s *state) recordLoad(now time.Time) {
	load := s.batch.load()
	load.Leaving = s.leaving
	if n := len(s.loads); n > 0 && s.loads[n-1].load == load {
		return
	}
	s.loads = append(s.loads, timedLoad{since: now, load: load})
	s.forgetLoads(now)
}

func (s *state) forgetLoads(now time.Time) {
	visible := now.Add(-s.loadLag)
	for len(s.loads) > 1 && !s.loads[1].since.After(visible) {
		s.loads = s.loads[1:]
	}
}

// reported returns the load as of the lag ago.
func (s *state) reported(now time.Time) engine.Load {
	s.recordLoad(now)
	s.forgetLoads(now)
	return s.loads[0].load
}
