// The program deeppart plays a prompt part that crashes servers and stands behind 70 other
// parts of the prompt, as in the last turn of a long conversation.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"tanagerspread/review/second/rig"
)

const (
	crashPart = "5eed00000001"
	// earlierTurns is the number of parts before it, sessions the number of conversations.
	earlierTurns = 70
	sessions     = 3
	// crashCalls is the number of requests with the part, sent twice a second.
	crashCalls    = 50
	crashInterval = 500 * time.Millisecond
	// crashLimit and allowedArrivals are the bounds of the rule.
	crashLimit      = 5
	allowedArrivals = 3
)

func main() { rig.Main(play) }

// conversation returns the parts of the earlier turns of a conversation.
func conversation(i int) []string {
	var parts []string
	for turn := range earlierTurns {
		parts = append(parts, fmt.Sprintf("%08x:16", (i%sessions+1)<<16+turn))
	}
	return parts
}

func call(id string, parts ...string) rig.Call {
	return rig.Call{ID: id, Path: "/caption/a", Body: "prompt of " + id, Deadline: 5 * time.Second, Parts: parts}
}

func play(options rig.Options, trouble bool) (rig.Verdict, error) {
	options.Nodes, options.MemoryMB = 3, 284
	site, err := rig.Start(options)
	if err != nil {
		return rig.Verdict{}, err
	}
	defer site.Close()
	models := site.NewPool(rig.ModelService, 64)
	models.Work, models.Events, models.EventGap = 60*time.Millisecond, 10, 30*time.Millisecond
	models.Crashes = func(r *http.Request) bool { return trouble && rig.HasPart(r.Header, crashPart) }
	if err := models.StartServers(9); err != nil {
		return rig.Verdict{}, err
	}
	if err := site.StartNodes(); err != nil {
		return rig.Verdict{}, err
	}
	load := site.StartLoad(100*time.Millisecond, func(i int) rig.Call {
		return call(fmt.Sprintf("sound-%d", i), append(conversation(i), fmt.Sprintf("%012x:40", i))...)
	})
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	for i := range crashCalls {
		group.Go(func() {
			parts := append(conversation(i), crashPart+":16", fmt.Sprintf("%012x:40", 1<<30+i))
			site.Send(site.Nodes[i%len(site.Nodes)], call(fmt.Sprintf("crash-%d", i), parts...))
		})
		time.Sleep(crashInterval)
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
