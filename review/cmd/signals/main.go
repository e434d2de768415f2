// Command signals sends SIGTERM to a machine twice while it answers requests, and watches
// how the requests end that it had passed on to servers.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagerspread/review/rig"
)

const (
	// gap is the time between the two signals, gap_s of roll_term.
	gap = time.Second
	// work is how long a booking takes at a server, firstEvent and rest how long a stream
	// waits there and is read.
	work       = 200 * time.Millisecond
	firstEvent = 300 * time.Millisecond
	rest       = 1200 * time.Millisecond
	// bookings and streams are the numbers of clients of each kind at one machine.
	bookings = 5
	streams  = 8
	// grace is grace_s of the settings.
	grace = 8 * time.Second
)

var deadlines = map[string]time.Duration{"booking": 1500 * time.Millisecond, "quote": 5 * time.Second}

func main() { rig.Main(run) }

func run(site *rig.Site, trouble bool) (int, error) {
	site.Configure(7, []rig.Route{
		{Name: "quote", Host: rig.Host, PathPrefix: "/quote/", Kind: "streaming", TimeoutMS: 5000, TargetMS: 500, Service: "llm", MaxAttempts: 1, Sticky: true, GapAimMS: 400},
		{Name: "booking", Host: rig.Host, PathPrefix: "/booking/", Kind: "non_idempotent", TimeoutMS: 1500, TargetMS: 150, Priority: 2, Service: "orders", MaxAttempts: 1},
	}, []map[string]any{rig.EngineService("llm"), rig.PlainService("orders", 96)})
	site.Store.Put("op/version/m0", map[string]any{"model": "m0", "version": 1})
	r := &result{ends: map[string]end{}}
	for i, zone := range rig.Zones {
		engine := rig.NewEngine(fmt.Sprintf("i-llm-%d", i), site.Record)
		engine.FirstEvent, engine.Rest, engine.HeadWithFirstEvent = firstEvent, rest, true
		server := rig.NewServer(fmt.Sprintf("i-orders-%d", i), work, site.Record)
		r.engines, r.servers = append(r.engines, engine), append(r.servers, server)
		address, err := site.Serve(engine)
		if err != nil {
			return rig.NotRun, err
		}
		site.Store.Put("servers/"+engine.ID, engine.Entry(address, zone, "llm", 64))
		if address, err = site.Serve(server); err != nil {
			return rig.NotRun, err
		}
		site.Store.Put("servers/"+server.ID, server.Entry(address, zone, "orders", 6))
	}
	for _, zone := range rig.Zones[:3] {
		if _, err := site.AddNode(zone, 134); err != nil {
			return rig.NotRun, err
		}
	}
	if err := site.AwaitReady(); err != nil {
		return rig.NotRun, err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for kind, count := range map[string]int{"booking": bookings, "quote": streams} {
		for range count {
			group.Go(func() { r.keepAsking(site, kind, stop) })
		}
	}
	time.Sleep(4 * time.Second)
	node := site.Nodes[0]
	signalled := time.Now()
	node.Signal(syscall.SIGTERM)
	site.Record.Printf("platform: SIGTERM to %s", node.Name)
	ended := make(chan string, 1)
	go func() { ended <- node.Wait() }()
	time.Sleep(gap)
	if trouble {
		node.Signal(syscall.SIGTERM)
		site.Record.Printf("platform: SIGTERM to %s once more", node.Name)
	}
	select {
	case state := <-ended:
		site.Record.Printf("platform: %s has ended %v after the first signal: %s", node.Name, time.Since(signalled).Round(time.Millisecond), state)
	case <-time.After(grace - time.Since(signalled)):
		site.Record.Printf("platform: SIGKILL to %s", node.Name)
		node.Signal(syscall.SIGKILL)
		<-ended
	}
	took := time.Since(signalled)
	time.Sleep(6 * time.Second)
	close(stop)
	group.Wait()
	closed, cut, whole := r.count(signalled)
	return site.Conclude(closed+cut > 0,
		"the process ended %d ms after the first SIGTERM; requests in progress since then that a sound server had got: %d whole; kept connection closed without an answer: %d, within the answer: %d",
		took.Milliseconds(), whole, closed, cut), nil
}

type end struct {
	began, ended time.Time
	outcome      rig.Outcome
	deadline     bool
}

type result struct {
	engines []*rig.Engine
	servers []*rig.Server
	mu      sync.Mutex
	ends    map[string]end
}

// count counts the requests that servers got and that ended after a moment. Those whose
// client gave up at its deadline don't count.
func (r *result) count(since time.Time) (closed, cut, whole int) {
	var ids []string
	for _, engine := range r.engines {
		for _, got := range engine.Got() {
			ids = append(ids, got.ID)
		}
	}
	for _, server := range r.servers {
		for _, got := range server.Runs() {
			ids = append(ids, got.ID)
		}
	}
	for _, id := range ids {
		e, ok := r.ends[id]
		if !ok || e.ended.Before(since) || e.deadline {
			continue
		}
		switch {
		case e.outcome.Complete:
			whole++
		case e.outcome.Answered:
			cut++
		case e.outcome.Sent:
			closed++
		}
	}
	return closed, cut, whole
}

// keepAsking sends one request after the other to the first machine, on one connection
// until it is closed.
func (r *result) keepAsking(site *rig.Site, kind string, stop <-chan struct{}) {
	var conn *rig.Conn
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if conn == nil {
			var err error
			if conn, err = rig.Dial(site.Nodes[0].Front); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		id := rig.NextID(kind)
		body := "the body of " + id
		extra := []string{fmt.Sprintf("Content-Length: %d", len(body))}
		if kind == "quote" {
			extra = append(extra, "Model: m0", "Token-Count: 383,11", "Prompt-Prefix: 5e5e5e5e:55,"+strings.ReplaceAll(id, "-", "")+":328")
		}
		began := time.Now()
		o := conn.Exchange("POST", deadlines[kind], func(w io.Writer) error {
			_, err := io.WriteString(w, rig.Head("POST", "/"+kind+"/s", id, deadlines[kind], extra...)+body)
			return err
		})
		now := time.Now()
		r.mu.Lock()
		r.ends[id] = end{began: began, ended: now, outcome: o, deadline: now.Sub(began) >= deadlines[kind]}
		r.mu.Unlock()
		if o.Complete && o.Status == http.StatusOK {
			continue
		}
		site.Record.Printf("client %s to %s: %s", id, site.Nodes[0].Name, o)
		if o.Complete {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		conn.Close()
		conn = nil
	}
}
