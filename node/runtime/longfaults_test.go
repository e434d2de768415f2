package runtime_test

import (
	"time"

	"tanagerspread/client/vmlist"
	"tanagerspread/standin/engine"
	"tanagerspread/standin/service"
	"tanagerspread/standin/site"
)

// fault injects a fault and returns the function that heals it.
type fault func(l *longRun) func()

// healNothing is returned by faults that need no healing.
func healNothing() {}

// faults holds the faults of the long run by name. Their order is drawn from the
// sorted names, so that a renamed fault changes the run of a seed.
var faults = map[string]fault{
	"node killed": func(l *longRun) func() {
		name := l.randomNode()
		if name == "" {
			return healNothing
		}
		l.killNode(name)
		return func() { l.startNode(name) }
	},
	"node stopped": func(l *longRun) func() {
		name := l.randomNode()
		if name == "" {
			return healNothing
		}
		l.running[name] = false
		l.nodes[name].Drain()
		return func() {
			if err := <-l.done[name]; err != nil {
				l.t.Errorf("planned stop of %s: %v", name, err)
			}
			l.startNode(name)
		}
	},
	"key-value service away": func(l *longRun) func() {
		l.store.SetUnreachable(true)
		return func() { l.store.SetUnreachable(false) }
	},
	"key-value service slow": func(l *longRun) func() {
		l.store.SetDelay(time.Duration(l.random.IntN(2000)) * time.Millisecond)
		return func() { l.store.SetDelay(0) }
	},
	"write responses lost": func(l *longRun) func() {
		l.store.LoseResponseEvery(2 + l.random.IntN(3))
		return func() { l.store.LoseResponseEvery(0) }
	},
	"leases lapse": func(l *longRun) func() {
		for _, lease := range l.store.Leases() {
			l.store.ExpireLease(lease)
		}
		return healNothing
	},
	"node without key-value service": func(l *longRun) func() {
		connection := l.kvConnections[l.nodeNames()[l.random.IntN(len(l.kvConnections))]]
		connection.unreachable.Store(true)
		return func() { connection.unreachable.Store(false) }
	},
	"peers in two halves": func(l *longRun) func() {
		var addresses []string
		for _, name := range l.nodeNames()[:1+l.random.IntN(len(l.kvConnections)-1)] {
			addresses = append(addresses, name+"-peer")
		}
		l.net.setPartition(addresses...)
		return func() { l.net.setPartition() }
	},
	"node without peers": func(l *longRun) func() {
		name := l.nodeNames()[l.random.IntN(len(l.kvConnections))]
		l.setPeersUnreachable(name, true)
		return func() { l.setPeersUnreachable(name, false) }
	},
	"node cut off": func(l *longRun) func() {
		name := l.nodeNames()[l.random.IntN(len(l.kvConnections))]
		l.setPeersUnreachable(name, true)
		l.kvConnections[name].unreachable.Store(true)
		return func() {
			l.setPeersUnreachable(name, false)
			l.kvConnections[name].unreachable.Store(false)
		}
	},
	"engine killed": func(l *longRun) func() {
		e := l.randomEngine()
		e.Engine.Crash()
		return e.Engine.Restart
	},
	"engine hangs": func(l *longRun) func() {
		e := l.randomEngine()
		e.Engine.SetHang(true)
		return func() { e.Engine.SetHang(false) }
	},
	"engine truncates": func(l *longRun) func() {
		l.injectEngineFaults((*engine.Engine).TruncateNext)
		return healNothing
	},
	"engine crosses": func(l *longRun) func() {
		l.injectEngineFaults((*engine.Engine).MismatchNextID)
		return healNothing
	},
	"engine duplicates": func(l *longRun) func() {
		l.injectEngineFaults((*engine.Engine).DuplicateNext)
		return healNothing
	},
	"engine connections silent": func(l *longRun) func() {
		l.randomEngine().Listener.Stall()
		return healNothing
	},
	"engine forgets": func(l *longRun) func() {
		l.randomEngine().Engine.ClearCache()
		return healNothing
	},
	"engine leaves": func(l *longRun) func() {
		if l.leaving != nil {
			return healNothing
		}
		e := l.randomEngine()
		l.leaving, l.leavingSince, l.leavingRuns = e, time.Now(), -1
		l.list.SetState(e.ID, vmlist.StateLeaving)
		return func() {
			l.leaving = nil
			l.list.SetState(e.ID, vmlist.StateLive)
		}
	},
	"VM list lags": func(l *longRun) func() {
		l.listStale = true
		l.list.SetLag(time.Minute)
		return func() {
			l.list.SetLag(0)
			l.listStale = false
		}
	},
	"VM list away": func(l *longRun) func() {
		l.listStale = true
		l.list.SetUnreachable(true)
		return func() {
			l.list.SetUnreachable(false)
			l.listStale = false
		}
	},
	"store killed": func(l *longRun) func() {
		v := l.site.Stores[l.random.IntN(len(l.site.Stores))].Store
		v.Crash()
		return v.Restart
	},
	"store full": func(l *longRun) func() {
		v := l.site.Stores[l.random.IntN(len(l.site.Stores))].Store
		v.SetFull(true)
		return func() { v.SetFull(false) }
	},
	"store slow": func(l *longRun) func() {
		v := l.site.Stores[l.random.IntN(len(l.site.Stores))].Store
		v.SetLinkRate(100)
		return func() { v.SetLinkRate(20 << 20) }
	},
	"service fails": func(l *longRun) func() {
		kinds := []service.Fault{service.CrashBefore, service.CrashAfter, service.LoseResponse, service.Hang, service.HangAfter, service.MismatchID}
		for range 3 {
			l.site.Services[l.random.IntN(len(l.site.Services))].Service.InjectNext(kinds[l.random.IntN(len(kinds))])
		}
		return healNothing
	},
	"operators race": func(l *longRun) func() {
		l.applyConcurrently()
		return healNothing
	},
}

// injectEngineFaults calls inject twice for each engine with a random number of
// responses below 5.
func (l *longRun) injectEngineFaults(inject func(*engine.Engine, int)) {
	for _, e := range l.site.Engines {
		inject(e.Engine, l.random.IntN(5))
		inject(e.Engine, l.random.IntN(5))
	}
}

func (l *longRun) randomEngine() *site.EngineVM {
	return &l.site.Engines[l.random.IntN(len(l.site.Engines))]
}

// randomNode returns a random node, or an empty name when a node is already
// stopped.
func (l *longRun) randomNode() string {
	for _, name := range l.nodeNames() {
		if !l.running[name] {
			return ""
		}
	}
	return l.nodeNames()[l.random.IntN(len(l.kvConnections))]
}
