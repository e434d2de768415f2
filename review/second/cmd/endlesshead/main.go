// The program endlesshead plays model servers in trouble whose answers have no end: to requests
// a head, to management calls a body, until the caller closes. The rig acts as the platform: it kills a process that exceeds
// the memory of its machine, and starts it again.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"tanagerspread/review/second/rig"
)

const (
	nodes    = 3
	memoryMB = 134
	// requestInterval is the time between two requests of all clients: 18 a second at each
	// node, as on the sheet.
	requestInterval = time.Second / (18 * nodes)
	calmTime        = 5 * time.Second
	troubleTime     = 70 * time.Second
	// firstBytes is how much of the head the server sends at once. Then it sends a line a
	// second.
	firstBytes = 63 << 10
	// endsOfMachine and endedMachines are the bounds of the rule.
	endsOfMachine = 3
	endedMachines = 2
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

func main() { rig.Main(play) }

func play(options rig.Options, trouble bool) (rig.Verdict, error) {
	options.Nodes, options.MemoryMB = nodes, memoryMB
	site, err := rig.Start(options)
	if err != nil {
		return rig.Verdict{}, err
	}
	defer site.Close()
	var inTrouble atomic.Bool
	models := site.NewPool(rig.ModelService, 64)
	models.Work, models.Events, models.EventGap = 60*time.Millisecond, 10, 30*time.Millisecond
	models.Wrap = func(_ *rig.Server, handler http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case !inTrouble.Load():
			case strings.HasPrefix(r.URL.Path, "/caption/"):
				sendEndlessHead(w)
				return
			default:
				sendEndlessBody(w)
				return
			}
			handler.ServeHTTP(w, r)
		})
	}
	if err := models.StartServers(9); err != nil {
		return rig.Verdict{}, err
	}
	if err := site.StartNodes(); err != nil {
		return rig.Verdict{}, err
	}
	watch := startPlatform(site, options.Record)
	load := site.StartLoad(requestInterval, func(i int) rig.Call {
		return rig.Call{
			ID: fmt.Sprintf("quote-%d", i), Path: "/caption/a", Body: fmt.Sprintf("quote %d", i), Deadline: 5 * time.Second,
			Parts: []string{fmt.Sprintf("%08x:55", i%20+1), fmt.Sprintf("%08x:246", i%1103+1000), fmt.Sprintf("%012x:82", i)},
		}
	})
	time.Sleep(calmTime)
	inTrouble.Store(trouble)
	options.Record.Printf("servers in trouble: %t", trouble)
	time.Sleep(troubleTime)
	ends, peaks := watch.stop()
	sent, lost := load.Stop()
	ended := 0
	for _, count := range ends {
		if count >= endsOfMachine {
			ended++
		}
	}
	return rig.Verdict{
		Broken: ended >= endedMachines,
		Summary: fmt.Sprintf("the processes exceeded the %d MB of their machines %v times, peaks %v kB; %d of %d requests got no complete answer",
			memoryMB, ends, peaks, lost, sent),
	}, nil
}

// sendEndlessHead sends header lines until the caller closes the connection.
func sendEndlessHead(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	out := bufio.NewWriter(conn)
	_, _ = fmt.Fprint(out, "HTTP/1.1 200 OK\r\n")
	sent := 0
	for i := 0; ; i++ {
		n, err := fmt.Fprintf(out, "%s:\n", lineName(i))
		if sent += n; sent >= firstBytes && err == nil {
			err = out.Flush()
			time.Sleep(time.Second)
		}
		if err != nil {
			return
		}
	}
}

// sendEndlessBody sends a body until the caller closes the connection.
func sendEndlessBody(w http.ResponseWriter) {
	block := bytes.Repeat([]byte("x"), 32<<10)
	for {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// lineName returns the name of a header line.
func lineName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	const count = len(letters)
	return string([]byte{letters[i/count/count%count], letters[i/count%count], letters[i%count]})
}

// platform kills processes that exceed the memory of their machines and starts them again.
type platform struct {
	site   *rig.Site
	record *rig.Record
	done   chan struct{}
	ended  chan struct{}
	ends   []int
	peaks  []int
}

func startPlatform(site *rig.Site, record *rig.Record) *platform {
	p := &platform{site: site, record: record, done: make(chan struct{}), ended: make(chan struct{}), ends: make([]int, len(site.Nodes)), peaks: make([]int, len(site.Nodes))}
	go p.run()
	return p
}

func (p *platform) run() {
	defer close(p.ended)
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-ticker.C:
		}
		for i, n := range p.site.Nodes {
			peak, err := n.PeakMemoryKB()
			if err != nil {
				continue
			}
			p.peaks[i] = max(p.peaks[i], peak)
			if peak > memoryMB<<10 {
				p.replace(i, n, peak)
			}
		}
	}
}

// replace ends the process of a node and starts it again.
func (p *platform) replace(i int, n *rig.Node, peak int) {
	p.record.Printf("%s has used %d kB of %d and is killed", n.Name, peak, memoryMB<<10)
	p.ends[i]++
	n.Signal(syscall.SIGKILL)
	<-n.Exited()
	time.Sleep(restartDelay)
	if err := p.site.StartNode(n); err != nil {
		p.record.Printf("%s does not start: %v", n.Name, err)
	}
}

// stop ends the watch and returns how often each node exceeded its memory, and its peak.
func (p *platform) stop() (ends, peaks []int) {
	close(p.done)
	<-p.ended
	return p.ends, p.peaks
}
