package engine

import (
	"time"
)

// faultKind is the kind of an injected response fault.
type faultKind int

const (
	faultNone faultKind = iota
	faultTruncate
	faultMismatchID
	faultDuplicate
)

// responseFault is a fault that is injected into one response. It takes effect at
// the event with the given sequence number.
type responseFault struct {
	kind     faultKind
	sequence int
}

// TruncateNext ends the next response before the token with the given sequence
// number. The response ends without its final event and without a transport
// error.
func (e *Engine) TruncateNext(sequence int) {
	e.queueFault(responseFault{kind: faultTruncate, sequence: sequence})
}

// MismatchNextID puts the identifier of another request into the events of the
// next response, from the token with the given sequence number on.
func (e *Engine) MismatchNextID(sequence int) {
	e.queueFault(responseFault{kind: faultMismatchID, sequence: sequence})
}

// DuplicateNext sends the event with the given sequence number of the next
// response twice.
func (e *Engine) DuplicateNext(sequence int) {
	e.queueFault(responseFault{kind: faultDuplicate, sequence: sequence})
}

// queueFault injects a fault into the next response. After several calls, each of
// the next responses gets one of the faults, in order.
func (e *Engine) queueFault(fault responseFault) {
	e.do(func(s *state) { s.pendingFaults = append(s.pendingFaults, fault) })
}

// Crash closes the connections of all calls, and of each new call until Restart.
// It discards the batch and the cache.
func (e *Engine) Crash() {
	e.do(func(s *state) { s.crash() })
}

// Restart starts a crashed engine with an empty cache and the state in
// Options.Initial.
func (e *Engine) Restart() {
	e.do(func(s *state) {
		if s.down {
			s.restart(time.Now())
		}
	})
}

// SetHang makes the engine hang or continue. A hanging engine makes no progress
// and responds to no call.
func (e *Engine) SetHang(hang bool) {
	e.do(func(s *state) { s.setHang(hang, time.Now()) })
}

// SetLeaving sets whether the engine is leaving. A leaving engine refuses new
// completions as not run and finishes the runs in progress.
func (e *Engine) SetLeaving(leaving bool) {
	e.do(func(s *state) { s.leaving = leaving })
}

// SetLoadLag changes the age of the load in load reports.
func (e *Engine) SetLoadLag(lag time.Duration) {
	e.do(func(s *state) { s.loadLag = lag })
}

// ClearCache evicts all cache blocks that no run or transfer uses.
func (e *Engine) ClearCache() {
	e.do(func(s *state) { s.cache.clear() })
}

// Counters describes the activity of an engine. Runs, ResumeMismatches and
// InvalidBlocksUsed are not reset by a crash.
type Counters struct {
	// Runs is the number of started runs by request identifier.
	Runs map[string]int
	// ResumeMismatches is the number of refused resume requests whose text is
	// not the beginning of the response.
	ResumeMismatches int
	// InvalidBlocksUsed is the number of times that runs used a cache block with
	// wrong content.
	InvalidBlocksUsed int
	// CachedBlocks is the number of blocks in the cache.
	CachedBlocks int
	// Running is the number of runs in the batch, waiting ones included.
	Running int
}

// Counters returns the counters of the engine.
func (e *Engine) Counters() Counters {
	counters := Counters{Runs: make(map[string]int)}
	e.do(func(s *state) {
		for id, n := range s.runCounts {
			counters.Runs[id] = n
		}
		counters.ResumeMismatches = s.resumeMismatches
		counters.InvalidBlocksUsed = s.invalidBlocksUsed
		counters.CachedBlocks = len(s.cache.blocks)
		counters.Running = len(s.batch.runs)
	})
	return counters
}
