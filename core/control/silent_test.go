package control

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
)

// TestSilentCulpritQuarantined guards against a part that goes on to crash servers, because
// they fall silent instead of breaking their connections.
func TestSilentCulpritQuarantined(t *testing.T) {
	for _, c := range []struct {
		nodes, servers, culpritEvery int
		interval                     time.Duration
	}{{3, 9, 120, 50 * time.Millisecond}, {7, 18, 140, 100 * time.Millisecond}, {7, 18, 35, 100 * time.Millisecond}, {100, 90, 100, time.Second}} {
		t.Run(fmt.Sprintf("%d nodes, %d servers, one call in %d every %v", c.nodes, c.servers, c.culpritEvery, c.interval), func(t *testing.T) {
			seeds, _ := fleetPlay(c.nodes)
			for seed := range seeds {
				x := newCrashingFleet(t, c.nodes, c.servers, seed)
				x.lossRate, x.dark = 0.1, true
				x.play(25*time.Second, c.interval, c.culpritEvery, 0, 0)
				t.Logf("%d crashes, %d late, %d of %d sound calls begun", len(x.crashes), x.late, x.begun, x.sound)
				if len(x.crashes) > 12 || x.late > 3 || x.begun*2 < x.sound {
					t.Errorf("seed %d: %d crashes, %d late calls, %d of %d sound calls begun", seed, len(x.crashes), x.late, x.begun, x.sound)
				}
				if delete(x.blamed, partCulprit); len(x.blamed) > 0 {
					t.Errorf("seed %d: %v quarantined too", seed, slices.Sorted(maps.Keys(x.blamed)))
				}
			}
		})
	}
}

// TestSilentServersBlameNothing guards against sound parts and calls that are refused because
// many servers fall silent.
func TestSilentServersBlameNothing(t *testing.T) {
	for _, interval := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond} {
		for seed := range uint64(*fleetSeeds) {
			x := newCrashingFleet(t, 7, 18, seed)
			x.lossRate, x.dark = 0.1, true
			x.play(25*time.Second, interval, 0, time.Second, 0.05)
			if refused := x.refused[code.Quarantined] + x.refused[code.QuarantinedRan]; len(x.blamed) > 0 || refused > 0 {
				t.Errorf("a call every %v, seed %d: %v quarantined, %d calls refused", interval, seed, slices.Sorted(maps.Keys(x.blamed)), refused)
			}
		}
	}
}

// TestSilentPoisonQuarantined guards against a request that goes on to crash servers which
// fall silent.
func TestSilentPoisonQuarantined(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 4 * time.Second} {
		x := newLookupFleet(t, 7, 20, 0, 1)
		x.dark = true
		x.playLookups(40*time.Second, 40, every)
		if t.Logf("%d crashes, %d late", len(x.crashes), x.late); x.late > 3 || len(x.crashes) > 12 {
			t.Errorf("repeated every %v: %d crashes, %d calls reached servers later", every, len(x.crashes), x.late)
		}
	}
}

// TestCutOffNodeBlamesNothing guards against a crash that a node reports because it is cut
// off from a server and from the store, while other nodes get responses from that server.
func TestCutOffNodeBlamesNothing(t *testing.T) {
	cutOff, other := forwardState(t, 2), forwardState(t, 2)
	parts := []request.Part{{ID: "sound", Tokens: 100}, {ID: "own", Tokens: 10}}
	d, ok := placeCall(cutOff, testStart, "a", "review", parts...).(Dispatch)
	if !ok {
		t.Fatal("the call was not sent")
	}
	cutOff.Handle(testStart, Connected{Request: "a", Attempt: d.Attempt})
	at := testStart.Add(3 * time.Second)
	cutOff.Handle(at, AttemptDone{Request: "a", Attempt: d.Attempt, Outcome: Stopped, Cause: code.New(code.CallerGone, "")})
	list := slices.DeleteFunc(forwardServers(2, 1), func(vm VM) bool { return vm.ID == string(d.Server) })
	other.recordResponse(at.Add(500*time.Millisecond), other.servers[d.Server])
	at = at.Add(time.Second)
	cutOff.Handle(at, VMList{VMs: list})
	suspects, _ := cutOff.parts.Counts()
	if fingerprints, _ := cutOff.quarantine.Counts(); suspects != 1 || fingerprints != 1 {
		t.Fatalf("%d parts and %d requests are suspect", suspects, fingerprints)
	}
	other.Handle(at, VMList{VMs: list})
	other.quarantineSentAt = at
	var reports []quarantine.Entry
	for _, e := range cutOff.quarantine.DigestEntries() {
		other.quarantineSeen(at, QuarantineSeen{Entries: []quarantine.Entry{e}})
		reports = append(reports, other.unsentQuarantine...)
	}
	cutOff.quarantineSeen(at, QuarantineSeen{Entries: reports})
	suspects, _ = cutOff.parts.Counts()
	if fingerprints, _ := cutOff.quarantine.Counts(); suspects+fingerprints > 0 {
		t.Errorf("%d parts and %d requests are suspect although the server responded to another node", suspects, fingerprints)
	}
}
