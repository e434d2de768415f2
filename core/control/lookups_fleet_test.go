package control

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// poisonDigest is the body digest of the call that crashes servers.
const poisonDigest = "poison"

// newLookupFleet returns a fleet with desks that reset a share of their responses.
func newLookupFleet(t *testing.T, nodes, desks, greyDesks int, seed uint64) *crashingFleet {
	x := newCrashingFleet(t, nodes, 0, seed)
	x.resetShare, x.limitCrashes, x.maxWork = map[fleet.ServerID]float64{}, 3, 2*partStep
	for i := range desks {
		id := fmt.Sprintf("d%d", i)
		x.servers[fleet.ServerID(id)] = true
		x.entries = append(x.entries, VM{ID: id, Address: id, Role: fleet.RoleService, Serves: "desk", MaxConcurrency: 6, Domain: overloadDomain(i)})
		if i < greyDesks {
			x.resetShare[fleet.ServerID(id)] = 0.45
		}
	}
	x.entriesChanged = true
	return x
}

// lookup sends an idempotent call at a random node.
func (x *crashingFleet) lookup(digest string) {
	x.calls++
	id, node := request.ID(fmt.Sprintf("call-%d", x.calls)), x.random.IntN(len(x.nodes))
	x.handle(node, Admit{Request: request.Request{
		ID: id, Route: request.Route{Kind: request.Forward}, Deadline: x.now.Add(1500 * time.Millisecond), BodyDigest: digest,
		Call: &request.Call{Host: "h", Path: "/lookup/x"},
	}})
	if _, admitted := x.nodes[node].requests[id]; admitted {
		x.handle(node, Place{Request: id})
	}
}

// playLookups sends lookups at a rate, most of them for one key, and the poisonous call in
// every poisonEvery if that is positive.
func (x *crashingFleet) playLookups(duration time.Duration, perSecond float64, poisonEvery time.Duration) (sent int) {
	x.play(partStep, partStep*10, 0, 0, 0)
	for end := x.now.Add(duration); x.now.Before(end); {
		for due := perSecond * partStep.Seconds(); x.random.Float64() < due; due-- {
			sent++
			x.lookup(fmt.Sprint("key-", max(x.random.IntN(80)-67, 0)))
		}
		if poisonEvery > 0 && x.step%int(poisonEvery/partStep) == 0 {
			x.lookup(poisonDigest)
		}
		x.play(partStep, time.Hour, 0, 0, 0)
	}
	return sent
}

// TestLookupsNotBlamed guards against a quarantine of lookups that crash no server, because
// servers reset connections while they go on serving.
func TestLookupsNotBlamed(t *testing.T) {
	for _, c := range []struct {
		nodes, grey int
		perSecond   float64
	}{{7, 1, 11}, {7, 1, 110}, {7, 4, 11}, {7, 4, 110}, {100, 1, 11}, {100, 1, 110}, {100, 4, 110}} {
		t.Run(fmt.Sprintf("%d nodes, %.0f lookups/s, %d of 4 servers reset", c.nodes, c.perSecond, c.grey), func(t *testing.T) {
			seeds, duration := fleetPlay(c.nodes)
			for seed := range seeds {
				x := newLookupFleet(t, c.nodes, 4, c.grey, seed)
				sent := x.playLookups(duration, c.perSecond, 0)
				refused := x.refused[code.Quarantined] + x.refused[code.QuarantinedRan]
				t.Logf("%d sent, %d served, %d refused as quarantined; refusals by code: %v", sent, x.served, refused, x.refused)
				if refused*50 > sent || c.grey == 1 && x.served*2 < sent {
					t.Errorf("seed %d: %d of %d lookups served, %d refused as quarantined", seed, x.served, sent, refused)
				}
			}
		})
	}
}

// TestPoisonousCallQuarantined guards against a call that goes on to crash servers, repeated
// fast or slowly, beside lookups that are served.
func TestPoisonousCallQuarantined(t *testing.T) {
	for _, c := range []struct {
		nodes int
		every time.Duration
	}{{7, 100 * time.Millisecond}, {7, 400 * time.Millisecond}, {7, 4 * time.Second}, {100, 100 * time.Millisecond}, {100, time.Second}} {
		t.Run(fmt.Sprintf("%d nodes, repeated every %v", c.nodes, c.every), func(t *testing.T) {
			seeds, _ := fleetPlay(c.nodes)
			for seed := range seeds {
				x := newLookupFleet(t, c.nodes, 12, 0, seed)
				x.lossRate = 0.1
				sent := x.playLookups(25*time.Second, 40, c.every)
				t.Logf("%d crashes, %d late, %d of %d lookups served", len(x.crashes), x.late, x.served, sent)
				if x.late > 3 || len(x.crashes) > 12 || x.served*10 < sent*9 {
					t.Errorf("seed %d: %d crashes, %d calls reached servers later; %d of %d lookups served", seed, len(x.crashes), x.late, x.served, sent)
				}
			}
		})
	}
}
