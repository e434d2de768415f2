// Command streams shortens the time of a route while streams wait for their first event,
// and watches how they end.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tanagerspread/review/rig"
)

const (
	// deadline is that of the clients, timeout and shortTimeout are those of the route
	// before and after the change of the configuration.
	deadline     = 5 * time.Second
	timeout      = 5 * time.Second
	shortTimeout = 1500 * time.Millisecond
	// firstEvent is how long a request waits at a server and is read there.
	firstEvent = 2500 * time.Millisecond
	clients    = 12
	// configApply is config_apply_ms of the settings.
	configApply = 2 * time.Second
)

func main() { rig.Main(run) }

func configure(site *rig.Site, version int, timeout time.Duration) {
	site.Configure(version, []rig.Route{
		{Name: "quote", Host: rig.Host, PathPrefix: "/quote/", Kind: "streaming", TimeoutMS: int(timeout.Milliseconds()), TargetMS: 500, Service: "llm", MaxAttempts: 1, Sticky: true, GapAimMS: 400},
	}, []map[string]any{rig.EngineService("llm")})
}

func run(site *rig.Site, trouble bool) (int, error) {
	configure(site, 7, timeout)
	site.Store.Put("op/version/m0", map[string]any{"model": "m0", "version": 1})
	for i := range 4 {
		engine := rig.NewEngine(fmt.Sprintf("i-%d", i), site.Record)
		engine.FirstEvent, engine.Rest = firstEvent, 500*time.Millisecond
		address, err := site.Serve(engine)
		if err != nil {
			return rig.NotRun, err
		}
		site.Store.Put("servers/"+engine.ID, engine.Entry(address, rig.Zones[i], "llm", 64))
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
	var result ends
	var counting atomic.Bool
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() { keepAsking(site, site.Nodes[i%len(site.Nodes)], &result, &counting, stop) })
	}
	time.Sleep(7 * time.Second)
	if trouble {
		configure(site, 12, shortTimeout)
		site.Record.Printf("operator: version 12 is acknowledged, in which the time of the route is %v", shortTimeout)
	}
	time.Sleep(configApply)
	counting.Store(true)
	time.Sleep(12 * time.Second)
	close(stop)
	group.Wait()
	return site.Conclude(result.closed.Load() > 3, "requests sent later than %v after the change: %d whole, %d ended with another answer, %d of kept connections closed without an answer (in %d to %d ms)",
		configApply, result.whole.Load(), result.other.Load(), result.closed.Load(), result.shortest.Load(), result.longest.Load()), nil
}

// ends counts how requests ended.
type ends struct {
	whole, other, closed atomic.Int32
	mu                   sync.Mutex
	shortest, longest    atomic.Int64
}

func (e *ends) close(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed.Add(1)
	ms := took.Milliseconds()
	if e.shortest.Load() == 0 || ms < e.shortest.Load() {
		e.shortest.Store(ms)
	}
	e.longest.Store(max(e.longest.Load(), ms))
}

// keepAsking sends one stream after the other on a kept connection.
func keepAsking(site *rig.Site, node *rig.Node, result *ends, counting *atomic.Bool, stop <-chan struct{}) {
	var conn *rig.Conn
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if conn == nil {
			var err error
			if conn, err = rig.Dial(node.Front); err != nil {
				continue
			}
		}
		id := rig.NextID("quote")
		counted, began := counting.Load(), time.Now()
		site.Record.Printf("client sends %s to %s", id, node.Name)
		o := ask(conn, id)
		took := time.Since(began)
		site.Record.Printf("client %s after %d ms: %s", id, took.Milliseconds(), o)
		if counted {
			switch {
			case o.Complete && o.Status == http.StatusOK:
				result.whole.Add(1)
			case o.Sent && !o.Answered && took < deadline:
				result.close(took)
			default:
				result.other.Add(1)
			}
		}
		if !o.Complete {
			conn.Close()
			conn = nil
		}
	}
}

func ask(conn *rig.Conn, id string) rig.Outcome {
	own := strings.ReplaceAll(id, "-", "")
	body := "the prompt of " + id
	return conn.Exchange("POST", deadline, func(w io.Writer) error {
		_, err := io.WriteString(w, rig.Head("POST", "/quote/q", id, deadline, "Model: m0", "Token-Count: 383,11",
			"Prompt-Prefix: 5e5e5e5e:55,"+own+":328", fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err
	})
}
