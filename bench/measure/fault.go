package measure

import (
	"context"
	"sync/atomic"
	"time"

	"tanagerspread/node/worker"
)

// injectFault starts the fault of the run at faultStart and ends it at faultEnd.
func (s *system) injectFault(ctx context.Context) {
	start, end := s.options.faultStart(), s.options.faultEnd()
	if !worker.Sleep(ctx, start) {
		return
	}
	s.startFault()
	if !worker.Sleep(ctx, end-start) {
		return
	}
	s.endFault()
}

// startFault starts the fault of the run, unless it is a flood, which the
// workload generates.
func (s *system) startFault() {
	engine, store := s.site.Engines[0], s.site.Stores[0]
	switch s.options.Fault {
	case EngineKilled:
		engine.Engine.Crash()
		engine.Listener.Crash()
	case StoreKilled:
		store.Store.Crash()
		store.Listener.Crash()
	case StoreFull:
		store.Store.SetFull(true)
	case LinkSlow:
		store.Store.SetLinkRate(storeLinkRate / slowLinkDivisor)
	case NodeKilled:
		s.nodes[0].kill()
		s.nodes[0].Store(time.Now().UnixNano())
	}
}

// endFault ends the fault. A killed node is not restarted.
func (s *system) endFault() {
	engine, store := s.site.Engines[0], s.site.Stores[0]
	switch s.options.Fault {
	case EngineKilled:
		engine.Listener.Restart()
		engine.Engine.Restart()
	case StoreKilled:
		store.Listener.Restart()
		store.Store.Restart()
	case StoreFull:
		store.Store.SetFull(false)
	case LinkSlow:
		store.Store.SetLinkRate(storeLinkRate)
	}
}

// killTime is the time at which a node was killed in nanoseconds since 1970, or 0.
type killTime struct{ atomic.Int64 }

// isOutOfRotation reports whether the load balancer has detected that the node
// was killed.
func (e *entryNode) isOutOfRotation() bool {
	since := e.Load()
	return since != 0 && time.Since(time.Unix(0, since)) > balancerDetectionTime
}
