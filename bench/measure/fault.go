package measure

import (
	"context"
	"sync/atomic"
	"time"

	"tanagerspread/node/worker"
)

// inject applies the fault of the run and ends it again.
func (s *stage) inject(ctx context.Context) {
	from, to := s.options.faultFrom(), s.options.faultTo()
	if !worker.Sleep(ctx, from) {
		return
	}
	s.begin()
	if !worker.Sleep(ctx, to-from) {
		return
	}
	s.end()
}

func (s *stage) begin() {
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
		store.Store.SetLinkRate(storeLinkRate / slowLink)
	case NodeKilled:
		s.nodes[0].kill()
		s.nodes[0].Store(time.Now().UnixNano())
	}
}

// end ends the fault. A killed node stays away.
func (s *stage) end() {
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

// deadSince is when a node was killed in nanoseconds since 1970, or 0.
type deadSince struct{ atomic.Int64 }

// isFoundDead reports whether the load balancer has found the node dead.
func (e *entry) isFoundDead() bool {
	since := e.Load()
	return since != 0 && time.Since(time.Unix(0, since)) > balancerDelay
}
