// Command lookup asks for the same lookup again and again, resets connections between the
// machines and the servers once, and watches whether the lookup is still served.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tanagerspread/review/rig"
)

const (
	// resets is how often connections are reset, resetPause the time between.
	resets     = 6
	resetPause = 1500 * time.Millisecond
	// recovery is recovery_s of the settings.
	recovery = 12 * time.Second
	clients  = 6
)

func main() { rig.Main(run) }

// tally counts the requests of one period.
type tally struct{ sent, served atomic.Int32 }

func (t *tally) String() string {
	return fmt.Sprintf("%d of %d served", t.served.Load(), t.sent.Load())
}

func run(site *rig.Site, trouble bool) (int, error) {
	site.Configure(7, []rig.Route{
		{Name: "stock", Host: rig.Host, PathPrefix: "/stock/", Kind: "idempotent", TimeoutMS: 1500, TargetMS: 150, Priority: 2, Service: "orders", MaxAttempts: 2},
	}, []map[string]any{rig.PlainService("orders", 96)})
	var proxies []*rig.Proxy
	for i, zone := range rig.Zones {
		server := rig.NewServer(fmt.Sprintf("i-%d", i), 100*time.Millisecond, site.Record)
		proxy, err := site.ServeBehindProxy(server)
		if err != nil {
			return rig.NotRun, err
		}
		proxies = append(proxies, proxy)
		site.Store.Put("servers/"+server.ID, server.Entry(proxy.Address(), zone, "orders", 6))
	}
	for _, zone := range rig.Zones[:3] {
		if _, err := site.AddNode(zone, 134); err != nil {
			return rig.NotRun, err
		}
	}
	if err := site.AwaitReady(); err != nil {
		return rig.NotRun, err
	}
	time.Sleep(2 * time.Second)
	var before, between, recovered tally
	var hotRecovered, otherRecovered tally
	var period atomic.Pointer[[2]*tally]
	period.Store(&[2]*tally{&before, &before})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range clients {
		group.Go(func() { poll(site, "/stock/tank-2000", "hot", 0, 100*time.Millisecond, &period, stop) })
	}
	group.Go(func() { poll(site, "/stock/tank-500", "other", 1, time.Second, &period, stop) })
	time.Sleep(6 * time.Second)
	for range resets {
		if trouble {
			order := rand.Perm(len(proxies))
			count := 0
			for _, i := range order[:len(proxies)/2] {
				count += proxies[i].Reset()
			}
			site.Record.Printf("network: the %d connections to servers i-%d and i-%d are reset", count, order[0], order[1])
		}
		time.Sleep(resetPause)
	}
	site.Record.Printf("platform: all processes are killed")
	period.Store(&[2]*tally{&between, &between})
	for _, node := range site.Nodes {
		node.Signal(syscall.SIGKILL)
		node.Wait()
	}
	time.Sleep(time.Second)
	for _, node := range site.Nodes {
		if err := node.Start(); err != nil {
			return rig.NotRun, err
		}
	}
	if err := site.AwaitReady(); err != nil {
		return rig.NotRun, err
	}
	site.Record.Printf("platform: the machines are back; keys under quarantine/ in the store: %d", len(site.Store.Keys("quarantine/")))
	time.Sleep(recovery)
	period.Store(&[2]*tally{&hotRecovered, &otherRecovered})
	time.Sleep(8 * time.Second)
	close(stop)
	group.Wait()
	recovered.sent.Store(hotRecovered.sent.Load() + otherRecovered.sent.Load())
	recovered.served.Store(hotRecovered.served.Load() + otherRecovered.served.Load())
	broken := before.served.Load()*4 >= before.sent.Load() && recovered.served.Load()*4 < recovered.sent.Load()
	return site.Conclude(broken, "before the final fault %v; later than %v after the machines were back %v: the lookup of tank-2000 %v, that of tank-500 %v",
		&before, recovery, &recovered, &hotRecovered, &otherRecovered), nil
}

// poll sends one lookup after the other until stop, each with one retry after a failure as
// the sheet says.
func poll(site *rig.Site, target, kind string, index int, pause time.Duration, period *atomic.Pointer[[2]*tally], stop <-chan struct{}) {
	node := site.Nodes[0]
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		counted := period.Load()[index]
		counted.sent.Add(1)
		for range 2 {
			id := rig.NextID(kind)
			o := ask(node, id, target)
			site.Record.Printf("client %s: GET %s from %s: %s", id, target, node.Name, o)
			if o.Complete && o.Status == http.StatusOK {
				counted.served.Add(1)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func ask(node *rig.Node, id, target string) rig.Outcome {
	conn, err := rig.Dial(node.Front)
	if err != nil {
		return rig.Outcome{Err: err}
	}
	defer conn.Close()
	return conn.Exchange("GET", 2*time.Second, func(w io.Writer) error {
		_, err := io.WriteString(w, rig.Head("GET", target, id, 1500*time.Millisecond))
		return err
	})
}
