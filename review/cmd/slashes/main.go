// Command slashes adds a route for all paths of a host and sends requests whose path begins
// with two slashes.
package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"tanagerspread/review/rig"
)

const (
	// configApply is config_apply_ms of the settings.
	configApply = 2 * time.Second
	rounds      = 5
)

func main() { rig.Main(run) }

// configure writes a configuration with the route of bookings, and one for all other paths
// of the host when withAll is true.
func configure(site *rig.Site, version int, withAll bool) {
	routes := []rig.Route{
		{Name: "booking", Host: rig.Host, PathPrefix: "/trips/", Kind: "non_idempotent", TimeoutMS: 1500, TargetMS: 150, Priority: 2, Service: "orders", MaxAttempts: 1},
	}
	if withAll {
		routes = append(routes, rig.Route{Name: "rest", Host: rig.Host, PathPrefix: "/", Kind: "non_idempotent", TimeoutMS: 1500, TargetMS: 150, Priority: 2, Service: "orders", MaxAttempts: 1})
	}
	site.Configure(version, routes, []map[string]any{rig.PlainService("orders", 96)})
}

func run(site *rig.Site, trouble bool) (int, error) {
	configure(site, 7, false)
	var servers []*rig.Server
	for i, zone := range rig.Zones {
		server := rig.NewServer(fmt.Sprintf("i-%d", i), 30*time.Millisecond, site.Record)
		servers = append(servers, server)
		address, err := site.Serve(server)
		if err != nil {
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
	if trouble {
		configure(site, 12, true)
		site.Record.Printf("operator: version 12 is acknowledged, which adds a route for all paths of %s", rig.Host)
	}
	time.Sleep(configApply + time.Second)
	sent := map[string]string{}
	unknown := 0
	for range rounds {
		for _, node := range site.Nodes {
			for _, target := range []string{"/trips/7/confirm?tank=2", "//trips/7/confirm?tank=2", "//7/confirm"} {
				id := rig.NextID("booking")
				sent[id] = target
				site.Record.Printf("client sends %s to %s: POST %s", id, node.Name, target)
				o := ask(node, id, target)
				site.Record.Printf("client %s: %s", id, o)
				if o.Status == http.StatusNotFound {
					unknown++
				}
			}
		}
	}
	runs, changed := 0, 0
	for _, server := range servers {
		for _, run := range server.Runs() {
			runs++
			if target := sent[run.ID]; target != run.Target {
				changed++
				site.Record.Printf("server %s ran %s as %s, its client sent %s", server.ID, run.ID, run.Target, target)
			}
		}
	}
	return site.Conclude(changed > 0, "%d requests sent: %d without a route, %d run, %d of them with another target than their client sent", len(sent), unknown, runs, changed), nil
}

func ask(node *rig.Node, id, target string) rig.Outcome {
	conn, err := rig.Dial(node.Front)
	if err != nil {
		return rig.Outcome{Err: err}
	}
	defer conn.Close()
	return conn.Exchange("POST", 3*time.Second, func(w io.Writer) error {
		_, err := io.WriteString(w, rig.Head("POST", target, id, 1500*time.Millisecond, "Content-Length: 5")+"small")
		return err
	})
}
