// Command wall makes a tenant isolated and watches whether another tenant's requests still
// use what its requests left in the servers' caches.
package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"tanagerspread/review/rig"
)

const (
	// configApply is config_apply_ms of the settings.
	configApply = 2 * time.Second
	// systemPart is the first part of all prompts of the service.
	systemPart = "5e5e5e5e"
	requests   = 6
)

func main() { rig.Main(run) }

func configure(site *rig.Site, version int, isolated bool) {
	site.Configure(version, []rig.Route{
		{Name: "survey", Host: rig.Host, PathPrefix: "/survey/", Kind: "streaming", TimeoutMS: 10000, TargetMS: 1000, Priority: 1, Service: "llm", MaxAttempts: 2, Sticky: true, Resumable: true, GapAimMS: 400},
	}, []map[string]any{rig.EngineService("llm")},
		rig.TenantEntry{Name: "north", APIKeys: []string{"key-of-north"}, Isolated: isolated},
		rig.TenantEntry{Name: "south", APIKeys: []string{"key-of-south"}})
}

func run(site *rig.Site, trouble bool) (int, error) {
	configure(site, 7, false)
	site.Store.Put("op/version/m0", map[string]any{"model": "m0", "version": 1})
	var engines []*rig.Engine
	for i, zone := range rig.Zones {
		engine := rig.NewEngine(fmt.Sprintf("i-%d", i), site.Record)
		engine.FirstEvent, engine.Rest = 100*time.Millisecond, 100*time.Millisecond
		address, err := site.Serve(engine)
		if err != nil {
			return rig.NotRun, err
		}
		site.Store.Put("servers/"+engine.ID, engine.Entry(address, zone, "llm", 64))
		engines = append(engines, engine)
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
	served := 0
	for i := range requests {
		served += ask(site, site.Nodes[i%3], "north")
	}
	if trouble {
		configure(site, 12, true)
		site.Record.Printf("operator: version 12 is acknowledged, in which tenant north is isolated")
	}
	time.Sleep(configApply + time.Second)
	from := time.Now()
	for i := range requests {
		served += ask(site, site.Nodes[i%3], "south")
	}
	broken := 0
	for _, engine := range engines {
		for _, reuse := range engine.Reuses() {
			if trouble && reuse.At.After(from) && reuse.MadeBy == "north" {
				broken++
			}
		}
	}
	return site.Conclude(broken > 0, "%d of %d requests served; tenant south used parts that the isolated tenant north had made %d times, later than %v after the acknowledgement",
		served, 2*requests, broken, configApply), nil
}

// ask sends a request of a tenant and returns 1 when it was served.
func ask(site *rig.Site, node *rig.Node, tenant string) int {
	conn, err := rig.Dial(node.Front)
	if err != nil {
		return 0
	}
	defer conn.Close()
	id := rig.NextID(tenant)
	own := strings.ReplaceAll(id, "-", "")
	body := "the prompt of " + id
	o := conn.Exchange("POST", 5*time.Second, func(w io.Writer) error {
		_, err := io.WriteString(w, rig.HeadWithKey("key-of-"+tenant, "POST", "/survey/s", id, 5*time.Second, "Model: m0", "Token-Count: 17060,30",
			"Prompt-Prefix: "+systemPart+":12800,"+own+":4260", fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err
	})
	site.Record.Printf("client %s to %s: %s", id, node.Name, o)
	if o.Complete && o.Status == 200 {
		return 1
	}
	return 0
}
