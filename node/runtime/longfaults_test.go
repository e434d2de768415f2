package runtime_test

import (
	"time"

	"tanagerspread/client/vmlist"
	"tanagerspread/standin/engine"
	"tanagerspread/standin/service"
	"tanagerspread/standin/site"
)

// fault breaks something and returns what heals it.
type fault func(l *longRun) func()

func nothing() {}

// faults are the faults of the long run.
var faults = map[string]fault{
	"node killed": func(l *longRun) func() {
		name := l.anyNode()
		if name == "" {
			return nothing
		}
		l.kill(name)
		return func() { l.begin(name) }
	},
	"node stopped": func(l *longRun) func() {
		name := l.anyNode()
		if name == "" {
			return nothing
		}
		l.alive[name] = false
		l.nodes[name].Drain()
		return func() {
			if err := <-l.done[name]; err != nil {
				l.t.Errorf("planned stop of %s: %v", name, err)
			}
			l.begin(name)
		}
	},
	"key-value service away": func(l *longRun) func() {
		l.store.SetOutage(true)
		return func() { l.store.SetOutage(false) }
	},
	"key-value service slow": func(l *longRun) func() {
		l.store.SetDelay(time.Duration(l.random.IntN(2000)) * time.Millisecond)
		return func() { l.store.SetDelay(0) }
	},
	"write responses lost": func(l *longRun) func() {
		l.store.LoseEvery(2 + l.random.IntN(3))
		return func() { l.store.LoseEvery(0) }
	},
	"leases lapse": func(l *longRun) func() {
		for _, lease := range l.store.Leases() {
			l.store.Lapse(lease)
		}
		return nothing
	},
	"node without key-value service": func(l *longRun) func() {
		gate := l.gates[l.names()[l.random.IntN(len(l.gates))]]
		gate.shut.Store(true)
		return func() { gate.shut.Store(false) }
	},
	"peers in two halves": func(l *longRun) func() {
		var half []string
		for _, name := range l.names()[:1+l.random.IntN(len(l.gates)-1)] {
			half = append(half, name+"-peer")
		}
		l.net.setHalves(half...)
		return func() { l.net.setHalves() }
	},
	"node without peers": func(l *longRun) func() {
		name := l.names()[l.random.IntN(len(l.gates))]
		l.cutOff(name, true)
		return func() { l.cutOff(name, false) }
	},
	"node cut off": func(l *longRun) func() {
		name := l.names()[l.random.IntN(len(l.gates))]
		l.cutOff(name, true)
		l.gates[name].shut.Store(true)
		return func() {
			l.cutOff(name, false)
			l.gates[name].shut.Store(false)
		}
	},
	"engine killed": func(l *longRun) func() {
		e := l.anyEngine()
		e.Engine.Die()
		return e.Engine.Revive
	},
	"engine hangs": func(l *longRun) func() {
		e := l.anyEngine()
		e.Engine.SetHang(true)
		return func() { e.Engine.SetHang(false) }
	},
	"engine truncates": func(l *longRun) func() {
		l.spoil((*engine.Engine).TruncateNext)
		return nothing
	},
	"engine crosses": func(l *longRun) func() {
		l.spoil((*engine.Engine).CrossNext)
		return nothing
	},
	"engine duplicates": func(l *longRun) func() {
		l.spoil((*engine.Engine).DuplicateNext)
		return nothing
	},
	"engine connections silent": func(l *longRun) func() {
		l.anyEngine().Listener.Stall()
		return nothing
	},
	"engine forgets": func(l *longRun) func() {
		l.anyEngine().Engine.ClearCache()
		return nothing
	},
	"engine leaves": func(l *longRun) func() {
		if l.leaving != nil {
			return nothing
		}
		e := l.anyEngine()
		l.leaving, l.leaveAt, l.leaveRuns = e, time.Now(), -1
		l.list.SetState(e.ID, vmlist.StateLeaving)
		return func() {
			l.leaving = nil
			l.list.SetState(e.ID, vmlist.StateLive)
		}
	},
	"VM list lags": func(l *longRun) func() {
		l.listBehind = true
		l.list.SetLag(time.Minute)
		return func() {
			l.list.SetLag(0)
			l.listBehind = false
		}
	},
	"VM list away": func(l *longRun) func() {
		l.listBehind = true
		l.list.SetUnreachable(true)
		return func() {
			l.list.SetUnreachable(false)
			l.listBehind = false
		}
	},
	"store killed": func(l *longRun) func() {
		v := l.site.Stores[l.random.IntN(len(l.site.Stores))].Store
		v.Die()
		return v.Revive
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
		return nothing
	},
	"operators race": func(l *longRun) func() {
		l.race()
		return nothing
	},
}

// spoil spoils the next responses of all engines.
func (l *longRun) spoil(with func(*engine.Engine, int)) {
	for _, e := range l.site.Engines {
		with(e.Engine, l.random.IntN(5))
		with(e.Engine, l.random.IntN(5))
	}
}

func (l *longRun) anyEngine() *site.EngineVM {
	return &l.site.Engines[l.random.IntN(len(l.site.Engines))]
}

// anyNode returns a node that runs, or an empty name when another one is
// already stopped.
func (l *longRun) anyNode() string {
	for _, name := range l.names() {
		if !l.alive[name] {
			return ""
		}
	}
	return l.names()[l.random.IntN(len(l.gates))]
}
