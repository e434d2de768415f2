package control

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

const (
	benchServers       = 1000
	benchOrganisations = 1400
	benchModels        = 10
	benchStores        = 20
	benchPrefixes      = 5000
)

func benchRules(organisations, queue int) *config.Rules {
	rules := rulesFor(organisations, "")
	rules.Classes["urgent"] = config.Class{QueueLimit: queue}
	for org := range rules.Organisations {
		rules.Organisations[org] = config.Organisation{Rate: 1e9, Burst: 1e9, TokenRate: 1e12, TokenBurst: 1e12}
	}
	for i := range benchModels {
		rules.Models["m"+strconv.Itoa(i)] = config.Model{Weights: 1, Class: "urgent"}
	}
	return rules
}

func benchList(servers int) []VM {
	list := vms(servers, 0, benchStores)
	for i := range servers {
		list[i].Serves = "m" + strconv.Itoa(i%benchModels)
	}
	return list
}

func benchState(b *testing.B, queue int) *State {
	return newState(b, 1, benchList(benchServers), benchRules(benchOrganisations, queue))
}

func benchRequest(i int) (request.Request, []cachekey.Key) {
	r := completion("r"+strconv.Itoa(i), i%benchOrganisations, time.Time{})
	r.Route.Name = "m" + strconv.Itoa(i%benchModels)
	r.PromptTokens = 20500
	prefix := make([]cachekey.Key, 10)
	for k := range prefix {
		n := i % benchPrefixes
		prefix[k] = cachekey.Key{byte(n), byte(n >> 8), byte(k)}
	}
	return r, prefix
}

// BenchmarkRequest measures the decisions on a request from Admit to
// AttemptDone, five messages, with 1,000 servers and 1,400 organisations.
func BenchmarkRequest(b *testing.B) {
	s := benchState(b, 1000)
	b.ReportAllocs()
	now := testStart
	for i := range b.N {
		now = now.Add(time.Millisecond)
		r, prefix := benchRequest(i)
		d := admitAndPlace(b, s, now, r, prefix...).(Dispatch)
		connect(b, s, now, r.ID, d)
		s.Handle(now, FirstToken{Request: r.ID, Attempt: d.Attempt})
		load := &fleet.Load{Running: i % 8, PrefillTokens: i % 9000}
		s.Handle(now, AttemptDone{Request: r.ID, Attempt: d.Attempt, Outcome: Succeeded, Load: load})
	}
	b.ReportMetric(5*float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}

// BenchmarkFullQueue measures the end of one attempt and the placement of the
// next request while 1,000 requests are queued and all slots are taken.
func BenchmarkFullQueue(b *testing.B) {
	s := benchState(b, 1000)
	var running []Reply
	collect := func(out Output) {
		for _, reply := range out.Replies {
			if _, ok := reply.Decision.(Dispatch); ok {
				running = append(running, reply)
			}
		}
	}
	next := 0
	arrive := func() {
		r, prefix := benchRequest(next)
		next++
		s.Handle(testStart, Admit{Request: r})
		collect(s.Handle(testStart, Place{Request: r.ID, Prefix: prefix, PromptTokens: r.PromptTokens}))
	}
	for range benchServers*testSlots + 1000 {
		arrive()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		reply := running[0]
		running = running[1:]
		d := reply.Decision.(Dispatch)
		s.Handle(testStart, Connected{Request: reply.To, Attempt: d.Attempt})
		collect(s.Handle(testStart, AttemptDone{Request: reply.To, Attempt: d.Attempt, Outcome: Succeeded}))
		arrive()
	}
	b.ReportMetric(float64(s.queue.Len()), "waiting")
}

// BenchmarkVMList measures one VMList message with 1,000 servers.
func BenchmarkVMList(b *testing.B) {
	s := benchState(b, 1000)
	list := benchList(benchServers)
	b.ReportAllocs()
	for range b.N {
		s.Handle(testStart, VMList{VMs: list})
	}
}

// BenchmarkTick measures one tick with 1,000 servers and 1,000 requests in
// progress.
func BenchmarkTick(b *testing.B) {
	s := benchState(b, 1000)
	for i := range 1000 {
		r, prefix := benchRequest(i)
		admitAndPlace(b, s, testStart, r, prefix...)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s.Handle(testStart, Tick{})
	}
}

// BenchmarkMemory reports the heap bytes of the control state per server, per
// organisation that has sent a request, and per request in progress.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		rules := benchRules(benchOrganisations, 1000)
		list := benchList(benchServers)
		s := newState(b, 1, nil, rules)
		before := heapBytes()
		s.Handle(testStart, VMList{VMs: list})
		servers := heapBytes()
		for i := range benchOrganisations {
			r := completion(fmt.Sprintf("o%d", i), i, time.Time{})
			s.Handle(testStart, Admit{Request: r})
			s.Handle(testStart, Abandon{Request: r.ID})
		}
		organisations := heapBytes()
		for i := range 1000 {
			r, prefix := benchRequest(i)
			admitAndPlace(b, s, testStart, r, prefix...)
		}
		requests := heapBytes()
		b.ReportMetric((servers-before)/benchServers, "B/server")
		b.ReportMetric((organisations-servers)/benchOrganisations, "B/organisation")
		b.ReportMetric((requests-organisations)/1000, "B/request")
		runtime.KeepAlive(s)
		runtime.KeepAlive(rules)
		runtime.KeepAlive(list)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
