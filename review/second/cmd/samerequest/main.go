// The program samerequest plays a request that crashes the server that runs it and comes
// again every five seconds: a job of one caller sends it from seven clients at once, one at
// each node.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"tanagerspread/review/second/rig"
)

const (
	nodes       = 7
	jobs        = 4
	jobInterval = 5 * time.Second
	// spread is the time over which the clients of one job send.
	spread = 30 * time.Millisecond
	// crashLimit and allowedRetries are the bounds of the rule.
	crashLimit     = 3
	allowedRetries = 3
	crashPath      = "/lodge/batch"
)

func main() { rig.Main(play) }

func call(id, path, body string) rig.Call {
	return rig.Call{ID: id, Path: path, Body: body, Deadline: 600 * time.Millisecond}
}

func play(options rig.Options, trouble bool) (rig.Verdict, error) {
	options.Nodes, options.MemoryMB = nodes, 284
	site, err := rig.Start(options)
	if err != nil {
		return rig.Verdict{}, err
	}
	defer site.Close()
	desk := site.NewPool(rig.PlainService, 6)
	desk.Work = 100 * time.Millisecond
	desk.Crashes = func(r *http.Request) bool { return trouble && r.URL.Path == crashPath }
	if err := desk.StartServers(4); err != nil {
		return rig.Verdict{}, err
	}
	if err := site.StartNodes(); err != nil {
		return rig.Verdict{}, err
	}
	load := site.StartLoad(25*time.Millisecond, func(i int) rig.Call {
		return call(fmt.Sprintf("sound-%d", i), "/lodge/entry", fmt.Sprintf("entry %d", i))
	})
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	for job := range jobs {
		for client := range nodes {
			group.Go(func() {
				time.Sleep(spread / nodes * time.Duration(client))
				site.Send(site.Nodes[client], call(fmt.Sprintf("crash-%d-%d", job, client), crashPath, "batch that crashes"))
			})
		}
		time.Sleep(jobInterval)
	}
	group.Wait()
	sent, lost := load.Stop()
	late := desk.ArrivalsAfterCrash(crashLimit, func(a rig.Arrival) bool { return strings.HasPrefix(a.ID, "crash-") })
	return rig.Verdict{
		Broken: late > allowedRetries,
		Summary: fmt.Sprintf("%d crashes; %d retries reached servers later than contact_ms after crash %d, %d may; %d of %d sound requests got no complete answer",
			len(desk.CrashTimes()), late, crashLimit, allowedRetries, lost, sent),
	}, nil
}
