// Command slashes sends requests whose path begins with two slashes.
package main

import (
	"io"
	"time"

	"tanagerspread/review/rig"
)

func main() { rig.Main(run) }

func run(site *rig.Site, trouble bool) (int, error) {
	site.Configure(7, []rig.Route{
		{Name: "booking", Host: rig.Host, PathPrefix: "/", Kind: "non_idempotent", TimeoutMS: 1500, TargetMS: 150, Priority: 2, Service: "orders", MaxAttempts: 1},
	}, []map[string]any{rig.PlainService("orders", 96)})
	server := rig.NewServer("i-0", 30*time.Millisecond, site.Record)
	address, err := site.Serve(server)
	if err != nil {
		return rig.NotRun, err
	}
	site.Store.Put("servers/"+server.ID, server.Entry(address, rig.Zones[0], "orders", 6))
	for _, zone := range rig.Zones[:2] {
		if _, err := site.AddNode(zone, 134); err != nil {
			return rig.NotRun, err
		}
	}
	if err := site.AwaitReady(); err != nil {
		return rig.NotRun, err
	}
	time.Sleep(time.Second)
	targets := []string{"/trips/7/confirm?tank=2"}
	if trouble {
		targets = append(targets, "//trips/7/confirm?tank=2", "//7/confirm")
	}
	sent := map[string]string{}
	for range 5 {
		for _, node := range site.Nodes {
			for _, target := range targets {
				id := rig.NextID("booking")
				sent[id] = target
				site.Record.Printf("client sends %s to %s: POST %s", id, node.Name, target)
				site.Record.Printf("client %s: %s", id, ask(node, id, target))
			}
		}
	}
	changed := 0
	for _, run := range server.Runs() {
		if target := sent[run.ID]; target != run.Target {
			changed++
		}
	}
	return site.Conclude(changed > 0, "%d requests sent, %d run, %d of them with a target that its client did not send", len(sent), len(server.Runs()), changed), nil
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
