// The program partbatch plays a prompt part that crashes servers. Requests with the part come
// in batches of five every five seconds, at different nodes and no two alike.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"tanagerspread/review/second/rig"
)

const (
	crashPart  = "5eed00000001"
	commonPart = "c0ffee000002"
	nodes      = 7
	documents  = 20
	batches    = 7
	batchSize  = 5
	// batchInterval is the time between two batches.
	batchInterval = 5 * time.Second
	// crashLimit and allowedArrivals are the bounds of the rule.
	crashLimit      = 5
	allowedArrivals = 3
)

func main() { rig.Main(play) }

func call(id string, parts ...string) rig.Call {
	return rig.Call{ID: id, Path: "/caption/a", Body: "prompt of " + id, Deadline: 5 * time.Second, Parts: parts}
}

func play(options rig.Options, trouble bool) (rig.Verdict, error) {
	options.Nodes, options.MemoryMB = nodes, 284
	site, err := rig.Start(options)
	if err != nil {
		return rig.Verdict{}, err
	}
	defer site.Close()
	models := site.NewPool(rig.ModelService, 64)
	models.Work, models.Events, models.EventGap = 150*time.Millisecond, 10, 60*time.Millisecond
	models.Crashes = func(r *http.Request) bool { return trouble && rig.HasPart(r.Header, crashPart) }
	if err := models.StartServers(18); err != nil {
		return rig.Verdict{}, err
	}
	if err := site.StartNodes(); err != nil {
		return rig.Verdict{}, err
	}
	load := site.StartLoad(500*time.Millisecond, func(i int) rig.Call {
		return call(fmt.Sprintf("sound-%d", i), commonPart+":300", fmt.Sprintf("%08x:200", i%documents+1), fmt.Sprintf("%012x:40", i))
	})
	time.Sleep(10 * time.Second)
	var group sync.WaitGroup
	for batch := range batches {
		for i := range batchSize {
			number := batch*batchSize + i
			group.Go(func() {
				site.Send(site.Nodes[number%nodes], call(fmt.Sprintf("crash-%d", number), commonPart+":300", crashPart+":200", fmt.Sprintf("%012x:40", 1<<30+number)))
			})
		}
		time.Sleep(batchInterval)
	}
	group.Wait()
	sent, lost := load.Stop()
	late := models.ArrivalsAfterCrash(crashLimit, func(a rig.Arrival) bool { return rig.HasPart(a.Header, crashPart) })
	return rig.Verdict{
		Broken: late > allowedArrivals,
		Summary: fmt.Sprintf("%d crashes; %d requests with the part reached servers later than contact_ms after crash %d, %d may; %d of %d sound requests got no complete answer",
			len(models.CrashTimes()), late, crashLimit, allowedArrivals, lost, sent),
	}, nil
}
