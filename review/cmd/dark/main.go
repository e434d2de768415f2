// Command dark sends single requests with a part that crashes servers, which fall silent
// for some seconds, beside sound requests.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tanagerspread/review/rig"
)

const (
	badPart   = "badbadba"
	soundPart = "50d50d50"
	// contact is contact_ms of the settings.
	contact = 3 * time.Second
	// downTime is how long a server is down after a crash, entryTime how long its entry
	// stays: three heartbeats.
	downTime  = 5 * time.Second
	entryTime = 3600 * time.Millisecond
	// pause is the time between two requests with the part.
	pause    = 2 * time.Second
	requests = 24
	engines  = 9
	// patience is how long clients wait for an event: eight times the pause of the sheet.
	patience = 3200 * time.Millisecond
)

func main() { rig.Main(run) }

// crashes has the moments at which servers crashed.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

// sounds counts sound requests and those whose first event came at the first attempt.
type sounds struct{ sent, begun atomic.Int32 }

func (s *sounds) String() string { return fmt.Sprintf("%d of %d", s.begun.Load(), s.sent.Load()) }

func run(site *rig.Site, trouble bool) (int, error) {
	memory, err := site.Serve(rig.MemoryStore{})
	if err != nil {
		return rig.NotRun, err
	}
	site.Configure(7, []rig.Route{
		{Name: "quote", Host: rig.Host, PathPrefix: "/quote/", Kind: "streaming", TimeoutMS: 5000, TargetMS: 500, Service: "llm", MaxAttempts: 1, Sticky: true, GapAimMS: 400},
	}, []map[string]any{
		rig.EngineService("llm"),
		{"name": "memory", "kv_store_addr": memory, "zone": rig.Zones[1], "kv_capacity_tokens": 395531, "link_mbps": 28000.0, "max_inflight": 12, "managed": true, "first_ms": 6.0},
	})
	site.Store.Put("op/version/m0", map[string]any{"model": "m0", "version": 1})
	var crashed crashes
	var all []*rig.Engine
	for i := range engines {
		engine, err := addEngine(site, i, &crashed)
		if err != nil {
			return rig.NotRun, err
		}
		all = append(all, engine)
	}
	for _, zone := range rig.Zones[:3] {
		if _, err := site.AddNode(zone, 134); err != nil {
			return rig.NotRun, err
		}
	}
	if err := site.AwaitReady(); err != nil {
		return rig.NotRun, err
	}
	// A store is used from about five seconds after it was first seen.
	time.Sleep(7 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var before, after sounds
	current := atomic.Pointer[sounds]{}
	current.Store(&before)
	for i := range 18 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
				id := rig.NextID("sound")
				count := current.Load()
				count.sent.Add(1)
				o := ask(site.Nodes[i%3], id, fmt.Sprintf("feed%04d", i%7))
				if o.Answered && o.Status == http.StatusOK {
					count.begun.Add(1)
				}
				if !o.Complete || o.Status != http.StatusOK {
					site.Record.Printf("client %s: %s", id, o)
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	part := badPart
	if !trouble {
		part = soundPart
	}
	for i := range requests {
		group.Go(func() {
			id := rig.NextID("bad")
			site.Record.Printf("client %s: %s", id, ask(site.Nodes[i%3], id, part))
		})
		time.Sleep(pause)
		if crashed.mu.Lock(); len(crashed.at) >= 5 && time.Since(crashed.at[4]) > 2*contact {
			current.Store(&after)
		}
		crashed.mu.Unlock()
	}
	close(stop)
	group.Wait()
	count, late := countLate(&crashed, all)
	return site.Conclude(late > 3, "%d crashes; %d requests with the part reached servers later than %v after the fifth; sound requests that began at the first attempt: %s until %v after the fifth, %s later",
		count, late, contact, &before, 2*contact, &after), nil
}

// addEngine starts an engine that comes back as a new incarnation after each crash.
func addEngine(site *rig.Site, number int, crashed *crashes) (*rig.Engine, error) {
	zone := rig.Zones[number%3]
	engine := rig.NewEngine(fmt.Sprintf("i-%d-0", number), site.Record)
	engine.FirstEvent, engine.Rest, engine.CrashPart, engine.HeadWithFirstEvent = 80*time.Millisecond, 420*time.Millisecond, badPart, true
	proxy, err := site.ServeBehindProxy(engine)
	if err != nil {
		return nil, err
	}
	starts := 0
	engine.Crash = func() {
		crashed.mu.Lock()
		crashed.at = append(crashed.at, time.Now())
		crashed.mu.Unlock()
		// For comparison, RESET=1 lets the connections break instead of falling silent.
		if os.Getenv("RESET") == "1" {
			proxy.SetDown(true)
			proxy.Reset()
		} else if err := proxy.Darken(); err != nil {
			site.Record.Printf("stand-in: %v", err)
		}
		before := engine.ID
		time.AfterFunc(entryTime, func() { site.Store.Remove("servers/" + before) })
		time.AfterFunc(downTime, func() {
			starts++
			engine.Restart(fmt.Sprintf("i-%d-%d", number, starts))
			proxy.SetDown(false)
			if err := proxy.Wake(); err != nil {
				site.Record.Printf("stand-in: %v", err)
			}
			site.Store.Put("servers/"+engine.ID, engine.Entry(proxy.Address(), zone, "llm", 64))
		})
	}
	site.Store.Put("servers/"+engine.ID, engine.Entry(proxy.Address(), zone, "llm", 64))
	return engine, nil
}

// countLate counts the crashes, and the requests with the part that reached servers later
// than contact after the fifth.
func countLate(crashed *crashes, all []*rig.Engine) (count, late int) {
	crashed.mu.Lock()
	defer crashed.mu.Unlock()
	if len(crashed.at) < 5 {
		return len(crashed.at), 0
	}
	after := crashed.at[4].Add(contact)
	for _, engine := range all {
		for _, got := range engine.Got() {
			if strings.HasPrefix(got.ID, "bad-") && got.At.After(after) {
				late++
			}
		}
	}
	return len(crashed.at), late
}

// ask sends one request with a shared part on a connection of its own.
func ask(node *rig.Node, id, part string) rig.Outcome {
	conn, err := rig.Dial(node.Front)
	if err != nil {
		return rig.Outcome{Err: err}
	}
	defer conn.Close()
	own := strings.ReplaceAll(id, "-", "")
	body := "the prompt of " + id
	return conn.Exchange("POST", patience, func(w io.Writer) error {
		_, err := io.WriteString(w, rig.Head("POST", "/quote/q", id, 5*time.Second, "Model: m0", "Token-Count: 383,11",
			"Prompt-Prefix: 5e5e5e5e:55,"+part+":246,"+own+":82", fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err
	})
}
