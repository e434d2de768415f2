package control

import (
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
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
