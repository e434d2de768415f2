package engine

import (
	"time"
)

// faultKind is what is wrong with a response.
type faultKind int

const (
	faultNone faultKind = iota
	faultTruncate
	faultCross
	faultDuplicate
)

// responseFault spoils one response after a number of tokens.
type responseFault struct {
	kind  faultKind
	after int
}

// TruncateNext ends the next response after a number of tokens, as if it were
// whole.
func (e *Engine) TruncateNext(after int) {
	e.injectFault(responseFault{kind: faultTruncate, after: after})
}

// CrossNext continues the next response after a number of tokens with events
// of another request.
func (e *Engine) CrossNext(after int) {
	e.injectFault(responseFault{kind: faultCross, after: after})
}

// DuplicateNext sends the event after a number of tokens of the next response
// twice.
func (e *Engine) DuplicateNext(after int) {
	e.injectFault(responseFault{kind: faultDuplicate, after: after})
}

func (e *Engine) injectFault(fault responseFault) {
	e.do(func(s *state) { s.pendingFaults = append(s.pendingFaults, fault) })
}

// Crash breaks all connections and loses the batch and the cache until Restart.
func (e *Engine) Crash() {
	e.do(func(s *state) { s.crash() })
}

// Restart starts a dead engine again, with an empty cache and Options.Initial.
func (e *Engine) Restart() {
	e.do(func(s *state) {
		if s.down {
			s.restart(time.Now())
		}
	})
}

// SetHang stops or continues all progress and responses.
func (e *Engine) SetHang(hang bool) {
	e.do(func(s *state) { s.setHang(hang, time.Now()) })
}

// SetLeaving makes the engine refuse new completions as not run. Runs in
// progress go on.
func (e *Engine) SetLeaving(leaving bool) {
	e.do(func(s *state) { s.leaving = leaving })
}

// SetLoadLag changes how far load reports are behind.
func (e *Engine) SetLoadLag(lag time.Duration) {
	e.do(func(s *state) { s.loadLag = lag })
}

// ClearCache frees all cache blocks that no run uses.
func (e *Engine) ClearCache() {
	e.do(func(s *state) { s.cache.clear() })
}

// Counters tells what has happened in an engine. It survives a crash.
type Counters struct {
	// Runs counts the runs of each request by its identifier.
	Runs map[string]int
	// ResumeMismatches counts resumed texts that the engine did not generate.
	ResumeMismatches int
	// InvalidBlocksUsed counts runs on cache blocks with wrong content.
	InvalidBlocksUsed int
	// CachedBlocks is the number of blocks in memory.
	CachedBlocks int
	// Running is the number of runs in the batch.
	Running int
}

// Counters returns what has happened.
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
