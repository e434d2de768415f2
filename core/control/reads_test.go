package control

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
)

// firstRead returns how long after a confirmation a node without peers first
// reads the key-value service.
func firstRead(t *testing.T, seed uint64) time.Duration {
	t.Helper()
	s, err := New(Options{Node: "n1", Charts: chart.Embedded(), Agents: true, Seed: seed}, testStart)
	if err != nil {
		t.Fatal(err)
	}
	s.Handle(testStart, Configure{Version: 1, Rules: rulesFor(1, "")})
	for after := time.Duration(0); after < config.FenceTime; after += 50 * time.Millisecond {
		for _, command := range s.Handle(testStart.Add(after), Tick{}).Commands {
			if _, ok := command.(ReadConfig); ok {
				return after
			}
		}
	}
	t.Fatal("the node did not read within the fence time")
	return 0
}

// TestConfigReadsJittered guards against nodes that all read the key-value
// service at the same time after a common confirmation, and against a read that
// leaves no time for a second one before the fence time.
func TestConfigReadsJittered(t *testing.T) {
	const nodes = 20
	nodesByDelay := map[time.Duration]int{}
	for seed := range uint64(nodes) {
		after := firstRead(t, seed)
		nodesByDelay[after]++
		if after < confirmInterval || after+readInterval >= config.FenceTime {
			t.Errorf("seed %d: first read after %v", seed, after)
		}
	}
	for after, count := range nodesByDelay {
		if count > nodes/4 {
			t.Errorf("%d of %d nodes read at the same time, after %v", count, nodes, after)
		}
	}
}

// TestKnownVersionIsRead guards against a node that knows from a digest that a newer
// configuration exists and waits for its text, because the peer does not send it and the
// watch of the store delivers nothing, and against reads that cannot help.
func TestKnownVersionIsRead(t *testing.T) {
	const newer = 9
	for name, c := range map[string]struct {
		received *ConfigSeen
		wantRead bool
	}{
		"no text":         {nil, true},
		"in force":        {&ConfigSeen{Current: config.Configuration{Version: newer}, Rules: forwardRules()}, false},
		"unreadable text": {&ConfigSeen{Current: config.Configuration{Version: newer}}, false},
	} {
		s, err := New(Options{Node: "n1", Charts: chart.Deployed(), Agents: true, Unfenced: true, Forwarding: true}, testStart)
		if err != nil {
			t.Fatal(err)
		}
		s.Handle(testStart, Configure{Version: 1, Rules: forwardRules()})
		// With so many members, the turn of this node to read all entries does not come.
		vms := forwardServers(1, 1)
		for i := range 50 {
			id := fmt.Sprintf("n%d", i+1)
			vms = append(vms, VM{ID: id, Role: fleet.RoleEntryVM, PeerAddress: id})
		}
		s.Handle(testStart, VMList{VMs: vms})
		s.Handle(testStart, Tick{})
		s.Handle(testStart, PeerDigest{Digest: membership.Digest{
			Node: "n2", Version: newer, NewestVersion: newer, ConfirmationAge: membership.UnknownConfirmation,
		}})
		if c.received != nil {
			s.Handle(testStart, *c.received)
		}
		readAt := time.Duration(-1)
		for after := time.Duration(0); after < time.Second; after += 100 * time.Millisecond {
			for _, command := range s.Handle(testStart.Add(after), Tick{}).Commands {
				if _, ok := command.(RefreshEntries); ok && after > 0 && readAt < 0 {
					readAt = after
				}
			}
		}
		if read := readAt >= 0; read != c.wantRead || read && readAt < textWait {
			t.Errorf("%s: the store is read after %v, want read %t", name, readAt, c.wantRead)
		}
	}
}
