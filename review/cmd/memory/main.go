// Command memory sends large bodies in chunks to a node from many clients at once, beside
// small requests.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tanagerspread/review/rig"
)

const (
	memoryMB = 134
	// bodyBytes is below max_body_bytes of the configuration.
	bodyBytes  = 4_000_000
	chunkBytes = 40_000
	// uploads begin within burstTime.
	uploads   = 40
	burstTime = 2 * time.Second
	// uploadTime is how long a client takes to send its body; it is calmUploadTime where
	// the bodies come a few at a time.
	uploadTime     = 5 * time.Second
	calmUploadTime = time.Second
	calmAtOnce     = 4
)

func main() { rig.Main(run) }

func run(site *rig.Site, trouble bool) (int, error) {
	site.Configure(7, []rig.Route{
		{Name: "survey", Host: rig.Host, PathPrefix: "/survey/", Kind: "streaming", TimeoutMS: 10000, TargetMS: 1000, Priority: 1, Service: "llm", MaxAttempts: 1, Sticky: true, GapAimMS: 400},
		{Name: "quote", Host: rig.Host, PathPrefix: "/quote/", Kind: "streaming", TimeoutMS: 5000, TargetMS: 500, Service: "llm", MaxAttempts: 1, Sticky: true, GapAimMS: 400},
		{Name: "booking", Host: rig.Host, PathPrefix: "/booking/", Kind: "non_idempotent", TimeoutMS: 1500, TargetMS: 150, Priority: 2, Service: "orders", MaxAttempts: 1},
	}, []map[string]any{rig.EngineService("llm"), rig.PlainService("orders", 96)})
	site.Store.Put("op/version/m0", map[string]any{"model": "m0", "version": 1})
	for i, zone := range rig.Zones {
		engine := rig.NewEngine(fmt.Sprintf("i-llm-%d", i), site.Record)
		engine.FirstEvent, engine.Rest, engine.HeadWithFirstEvent = 250*time.Millisecond, 250*time.Millisecond, true
		server := rig.NewServer(fmt.Sprintf("i-orders-%d", i), 30*time.Millisecond, site.Record)
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
		if _, err := site.AddNode(zone, memoryMB); err != nil {
			return rig.NotRun, err
		}
	}
	if err := site.AwaitReady(); err != nil {
		return rig.NotRun, err
	}
	time.Sleep(time.Second)
	c := &counts{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { guard(site, site.Nodes[0], c, stop) })
	for range 12 {
		group.Go(func() { keepAsking(site, "quote", 5*time.Second, c, stop) })
	}
	for range 4 {
		group.Go(func() { keepAsking(site, "booking", 1500*time.Millisecond, c, stop) })
	}
	time.Sleep(2 * time.Second)
	uploadAll(site, trouble)
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	return site.Conclude(c.kills.Load() > 0 && c.lost.Load() > 3,
		"peak of resident memory %d MB of %d MB, ended for its memory %d times; small requests: %d whole, %d that servers had got closed without an answer, %d within it",
		c.peak.Load()>>20, memoryMB, c.kills.Load(), c.whole.Load(), c.lost.Load(), c.cut.Load()), nil
}

type counts struct {
	peak                    atomic.Int64
	kills, whole, lost, cut atomic.Int32
}

// uploadAll sends all bodies, at once or a few at a time.
func uploadAll(site *rig.Site, trouble bool) {
	atOnce, took, pause := calmAtOnce, calmUploadTime, time.Duration(0)
	if trouble {
		atOnce, took, pause = uploads, uploadTime, burstTime/uploads
	}
	var uploading sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for range uploads {
		slots <- struct{}{}
		uploading.Go(func() {
			upload(site, took)
			<-slots
		})
		time.Sleep(pause)
	}
	uploading.Wait()
}

// guard kills the process of a node that exceeds its memory, as the platform does, and
// starts it again.
func guard(site *rig.Site, node *rig.Node, c *counts, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		resident := node.Resident()
		c.peak.Store(max(c.peak.Load(), resident))
		if resident <= memoryMB<<20 {
			continue
		}
		site.Record.Printf("platform: %s has %d MB, more than %d MB: killed", node.Name, resident>>20, memoryMB)
		c.kills.Add(1)
		node.Signal(syscall.SIGKILL)
		node.Wait()
		time.Sleep(300 * time.Millisecond)
		if err := node.Start(); err != nil {
			site.Record.Printf("platform: %v", err)
		}
	}
}

// keepAsking sends small requests one after the other on a kept connection.
func keepAsking(site *rig.Site, kind string, deadline time.Duration, c *counts, stop <-chan struct{}) {
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
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := rig.NextID(kind)
		body := "the body of " + id
		o := conn.Exchange("POST", deadline, func(w io.Writer) error {
			_, err := io.WriteString(w, head(kind, id, deadline, fmt.Sprintf("Content-Length: %d", len(body)))+body)
			return err
		})
		if o.Complete && o.Status == http.StatusOK {
			c.whole.Add(1)
			continue
		}
		site.Record.Printf("client %s on a kept connection: %s", id, o)
		if o.Complete {
			continue
		}
		if o.Answered {
			c.cut.Add(1)
		} else if o.Sent {
			c.lost.Add(1)
		}
		conn.Close()
		conn = nil
	}
}

// head returns the head of a request of a kind.
func head(kind, id string, deadline time.Duration, extra string) string {
	if kind == "booking" {
		return rig.Head("POST", "/booking/b", id, deadline, extra)
	}
	return rig.Head("POST", "/"+kind+"/s", id, deadline, "Model: m0", "Token-Count: 383,11", "Prompt-Prefix: 5e5e5e5e:55,"+strings.ReplaceAll(id, "-", "")+":328", extra)
}

// upload sends one large body in chunks, with one retry as the sheet says.
func upload(site *rig.Site, took time.Duration) {
	for range 2 {
		conn, err := rig.Dial(site.Nodes[0].Front)
		if err != nil {
			time.Sleep(500 * time.Millisecond)
			if conn, err = rig.Dial(site.Nodes[0].Front); err != nil {
				return
			}
		}
		id := rig.NextID("survey")
		o := conn.Exchange("POST", 12*time.Second, func(w io.Writer) error {
			if _, err := io.WriteString(w, head("survey", id, 10*time.Second, "Transfer-Encoding: chunked")); err != nil {
				return err
			}
			chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
			for sent := 0; sent < bodyBytes; sent += chunkBytes {
				if _, err := io.WriteString(w, chunk); err != nil {
					return err
				}
				time.Sleep(took * chunkBytes / bodyBytes)
			}
			_, err := io.WriteString(w, "0\r\n\r\n")
			return err
		})
		conn.Close()
		site.Record.Printf("client %s, %d bytes in chunks: %s", id, bodyBytes, o)
		if o.Complete && o.Status == http.StatusOK {
			return
		}
	}
}
