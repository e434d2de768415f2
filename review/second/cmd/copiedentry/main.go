// The program copiedentry plays a drill: the store is away for a moment and comes back from a
// copy that is four seconds old. A server that left in these seconds has its entry again until
// it ends.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"tanagerspread/review/second/rig"
)

const (
	nodes = 3
	// drainTime is the bound of the rule, drain_ms of the site.
	drainTime = 2 * time.Second
	// calmTime passes before the copy, copyLead from then until the entry is removed,
	// servedTime until the store goes away, awayTime until it is back.
	calmTime   = 4 * time.Second
	copyLead   = 200 * time.Millisecond
	servedTime = 3300 * time.Millisecond
	awayTime   = 500 * time.Millisecond
	// writtenAgain is how long after its return the store has again what the servers wrote.
	// The server that leaves ends then.
	writtenAgain    = rig.HeartbeatTime
	requestInterval = 25 * time.Millisecond
)

func main() { rig.Main(play) }

// sent is a request of a client.
type sent struct {
	node   string
	at     time.Time
	answer rig.Answer
}

func play(options rig.Options, trouble bool) (rig.Verdict, error) {
	options.Nodes, options.MemoryMB = nodes, 284
	site, err := rig.Start(options)
	if err != nil {
		return rig.Verdict{}, err
	}
	defer site.Close()
	models := site.NewPool(rig.ModelService, 64)
	models.Work, models.Events, models.EventGap = 500*time.Millisecond, 10, 150*time.Millisecond
	if err := models.StartServers(4); err != nil {
		return rig.Verdict{}, err
	}
	if err := site.StartNodes(); err != nil {
		return rig.Verdict{}, err
	}
	clients := startClients(site)
	time.Sleep(calmTime)
	before := site.Store.Copy()
	options.Record.Printf("a copy of the store is made")
	time.Sleep(copyLead)
	leaver := models.Servers()[0]
	leaver.Leave()
	time.Sleep(servedTime)
	if trouble {
		options.Record.Printf("the store is away")
		site.Store.SetErrorStatus(503)
		time.Sleep(awayTime)
		site.Store.Revert(before)
		site.Store.SetErrorStatus(0)
		options.Record.Printf("the store is back from the copy")
	} else {
		time.Sleep(awayTime)
	}
	time.Sleep(writtenAgain)
	leaver.End()
	for _, server := range models.Servers()[1:] {
		server.WriteAgain()
	}
	time.Sleep(time.Second)
	return judge(clients.stop(), models.Arrivals(), leaver, options.Record), nil
}

// judge counts the requests that break the rule.
func judge(requests map[string]sent, arrivals []rig.Arrival, leaver *rig.Server, record *rig.Record) rig.Verdict {
	passedOn := map[string]time.Time{}
	for _, request := range requests {
		a := request.answer
		if a.Header.Get("Server-Leaving") != "1" || !strings.HasPrefix(a.Header.Get("Server-Seal"), "seal."+leaver.ID+".") {
			continue
		}
		if first, found := passedOn[request.node]; !found || a.HeadAt.Before(first) {
			passedOn[request.node] = a.HeadAt
		}
	}
	for node, at := range passedOn {
		record.Printf("%s has passed on an answer with Server-Leaving at %.3f", node, record.Since(at).Seconds())
	}
	late, lost, reached := 0, 0, map[string]bool{}
	for _, a := range arrivals {
		request := requests[a.ID]
		at, told := passedOn[request.node]
		if a.Server != leaver.ID || !told || request.at.Sub(at) <= drainTime {
			continue
		}
		late++
		reached[request.node] = true
		if !request.answer.Complete || request.answer.Status != 200 {
			lost++
		}
		record.Printf("%s was sent at %.3f, %.3f s after %s had passed on such an answer, and reached the server; the client got %s",
			a.ID, record.Since(request.at).Seconds(), request.at.Sub(at).Seconds(), request.node, request.answer)
	}
	return rig.Verdict{
		Broken: late > 0,
		Summary: fmt.Sprintf("%d of %d machines had passed on an answer with Server-Leaving; %d requests of %d of them reached the server later than drain_ms after that, none may; %d of these got no complete answer",
			len(passedOn), nodes, late, len(reached), lost),
	}
}

// clients send requests to the nodes in turn.
type clients struct {
	site     *rig.Site
	done     chan struct{}
	group    sync.WaitGroup
	mu       sync.Mutex
	requests map[string]sent
}

func startClients(site *rig.Site) *clients {
	c := &clients{site: site, done: make(chan struct{}), requests: map[string]sent{}}
	c.group.Go(c.run)
	return c
}

func (c *clients) run() {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		c.group.Go(func() { c.send(i) })
	}
}

func (c *clients) send(i int) {
	node := c.site.Nodes[i%len(c.site.Nodes)]
	call := rig.Call{
		ID: fmt.Sprintf("quote-%d", i), Path: "/caption/a", Body: fmt.Sprintf("quote %d", i), Deadline: 5 * time.Second,
		Parts: []string{fmt.Sprintf("%08x:55", i%20+1), fmt.Sprintf("%08x:246", i%1103+1000), fmt.Sprintf("%012x:82", i)},
	}
	at := time.Now()
	answer := c.site.Send(node, call)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[call.ID] = sent{node.Name, at, answer}
}

// stop ends the clients and returns what they sent, by id.
func (c *clients) stop() map[string]sent {
	close(c.done)
	c.group.Wait()
	return c.requests
}
