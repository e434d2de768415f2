// The program wrongpart plays a prompt part that crashes servers, five requests a second with
// it, at a service of three servers, beside ten sound requests a second.
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
	documents  = 20
	calmTime   = 10 * time.Second
	// crashCalls is the number of requests with the part, sent every crashInterval.
	crashCalls    = 200
	crashInterval = 200 * time.Millisecond
	// crashLimit and allowedArrivals are the bounds of BUDGET; minRequests and minShare those
	// of LOST.
	crashLimit      = 5
	allowedArrivals = 3
	minRequests     = 20
	minShare        = 0.5
)

func main() { rig.Main(play) }

func call(id string, parts ...string) rig.Call {
	return rig.Call{ID: id, Path: "/caption/a", Body: "prompt of " + id, Deadline: 5 * time.Second, Parts: parts}
}

// document returns a part that sound requests and those with the crash part share.
func document(i int) string {
	return fmt.Sprintf("%08x:200", i%documents+1)
}

// beginnings counts sound requests that were sent in a span, and those of them that began.
type beginnings struct{ sent, begun int }

func (b beginnings) share() float64 { return float64(b.begun) / float64(max(b.sent, 1)) }

func play(options rig.Options, trouble bool) (rig.Verdict, error) {
	options.Nodes, options.MemoryMB = 3, 284
	site, err := rig.Start(options)
	if err != nil {
		return rig.Verdict{}, err
	}
	defer site.Close()
	models := site.NewPool(rig.ModelService, 64)
	models.Work, models.Events, models.EventGap = 200*time.Millisecond, 10, 50*time.Millisecond
	models.RestartTime = 4 * time.Second
	models.Crashes = func(r *http.Request) bool { return trouble && rig.HasPart(r.Header, crashPart) }
	if err := models.StartServers(3); err != nil {
		return rig.Verdict{}, err
	}
	if err := site.StartNodes(); err != nil {
		return rig.Verdict{}, err
	}
	var mu sync.Mutex
	begun := map[time.Time]bool{}
	load := site.StartWatchedLoad(100*time.Millisecond, func(i int) rig.Call {
		return call(fmt.Sprintf("sound-%d", i), commonPart+":300", document(i), fmt.Sprintf("%012x:40", i))
	}, func(sentAt time.Time, a rig.Answer) {
		mu.Lock()
		defer mu.Unlock()
		begun[sentAt] = a.Status == http.StatusOK
	})
	time.Sleep(calmTime)
	var group sync.WaitGroup
	for i := range crashCalls {
		group.Go(func() {
			site.Send(site.Nodes[i%len(site.Nodes)], call(fmt.Sprintf("crash-%d", i), crashPart+":200", document(i), fmt.Sprintf("%012x:40", 1<<30+i)))
		})
		time.Sleep(crashInterval)
	}
	lastSent := time.Now()
	group.Wait()
	sent, lost := load.Stop()
	late := models.ArrivalsAfterCrash(crashLimit, func(a rig.Arrival) bool { return rig.HasPart(a.Header, crashPart) })
	crashes := models.CrashTimes()
	var before, after beginnings
	if len(crashes) >= crashLimit {
		from := crashes[crashLimit-1].Add(2 * rig.ContactTime)
		for at, ok := range begun {
			switch {
			case at.Before(crashes[0].Add(-time.Second)):
				before.add(ok)
			case at.After(from) && at.Before(lastSent):
				after.add(ok)
			}
		}
	}
	starved := before.sent >= minRequests && after.sent >= minRequests && after.share() < minShare*before.share()
	return rig.Verdict{
		Broken: late > allowedArrivals || starved,
		Summary: fmt.Sprintf("%d crashes; BUDGET: %d requests with the part reached servers later than contact_ms after crash %d, %d may; LOST: %d of %d sound requests began from 2 x contact_ms after it on, %d of %d before; %d of %d sound requests got no complete answer",
			len(crashes), late, crashLimit, allowedArrivals, after.begun, after.sent, before.begun, before.sent, lost, sent),
	}, nil
}

func (b *beginnings) add(begun bool) {
	b.sent++
	if begun {
		b.begun++
	}
}
