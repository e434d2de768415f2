package runtime_test

import (
	"context"
	"flag"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/node/ingress"
	"tanagerspread/node/once"
	"tanagerspread/standin/kv"
)

const (
	// propagationLimit bounds the time until a configuration is in force on every
	// node.
	propagationLimit = 17 * time.Second
	// pollInterval is the resolution of the printed times.
	pollInterval = 100 * time.Millisecond
)

// nodeCount is the size of the fleet, and idleTime the time without requests in
// which calls are counted. docs/CAPACITY.md has the figures of other sizes.
var (
	nodeCount = flag.Int("members", 5, "nodes of the capacity tests")
	idleTime  = flag.Duration("idle", time.Minute, "idle time of the capacity tests")
)

// nodesWithVersion returns the number of nodes that have a version in force.
func (c *cluster) nodesWithVersion(version config.Version) int {
	c.t.Helper()
	count := 0
	for name := range c.nodes {
		decision, err := c.nodes[name].Control().Ask(c.ctx, control.AskConfig{ID: "capacity"})
		if err != nil {
			c.t.Fatal(err)
		}
		if decision.(control.ConfigAnswer).Current.Version == version {
			count++
		}
	}
	return count
}

// measurePropagation applies a new version and logs the times until it is in
// force on half of the nodes and on all of them.
func (c *cluster) measurePropagation(version config.Version, id, scenario string) {
	c.t.Helper()
	start := time.Now()
	calls := c.store.Calls()
	c.mustApply(version-1, id)
	halfTime := time.Duration(0)
	for count := 0; count < len(c.nodes); count = c.nodesWithVersion(version) {
		if halfTime == 0 && 2*count >= len(c.nodes) {
			halfTime = time.Since(start)
		}
		if time.Since(start) > propagationLimit {
			c.t.Fatalf("%s: version %d is in force on %d of %d nodes after %v", scenario, version, count, len(c.nodes), propagationLimit)
		}
		advance(pollInterval)
	}
	c.t.Logf("%s: %d nodes, half after %v, all after %v", scenario, len(c.nodes), halfTime, time.Since(start))
	advance(10 * time.Second)
	c.t.Logf("%s: calls up to 10 s later: %v", scenario, callsSince(c.store, calls))
}

// callsSince returns the calls of the store since the counts in before.
func callsSince(store *kv.Store, before map[kv.Operation]int) map[kv.Operation]int {
	now := store.Calls()
	for operation := range now {
		now[operation] -= before[operation]
	}
	return now
}

// TestConfigurationPropagation guards against a configuration that takes longer
// than 17 s to reach every node, even when the key-value service is reachable
// from only one of them. It logs the calls and bytes for docs/CAPACITY.md.
func TestConfigurationPropagation(t *testing.T) {
	withCluster(t, *nodeCount, func(c *cluster) {
		advance(20 * time.Second)
		calls, written := c.store.Calls(), c.net.writtenBytes.Load()
		advance(*idleTime)
		t.Logf("idle for %v: calls %v", *idleTime, callsSince(c.store, calls))
		perNode := float64(c.net.writtenBytes.Load()-written) / idleTime.Seconds() / float64(*nodeCount)
		t.Logf("idle: %.0f bytes/s written by a node to its peers", perNode)
		c.measurePropagation(2, "second", "service up")
		for _, name := range slices.Sorted(maps.Keys(c.kvConnections))[1:] {
			c.kvConnections[name].unreachable.Store(true)
		}
		advance(20 * time.Second)
		c.measurePropagation(3, "third", "service reached by one node")
	})
}

// TestRestartCalls logs the calls of the key-value service that a planned stop
// and a start cause.
func TestRestartCalls(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		advance(20 * time.Second)
		calls := c.store.Calls()
		advance(20 * time.Second)
		t.Logf("without a restart: %v", callsSince(c.store, calls))
		calls = c.store.Calls()
		c.nodes["n1"].Drain()
		advance(10 * time.Second)
		c.stops["n1"]()
		c.start("n1")
		advance(10 * time.Second)
		t.Logf("with a restart: %v", callsSince(c.store, calls))
		c.expectState("n1", "ready", 1)
	})
}

// TestRecordCalls guards against a non-idempotent request that makes more calls
// to the key-value service than docs/CAPACITY.md assumes.
func TestRecordCalls(t *testing.T) {
	withCluster(t, 1, func(c *cluster) {
		ctx, cancel := context.WithCancel(c.ctx)
		defer cancel()
		service := kv.NewStore(kv.Options{})
		recorder := once.New(ctx, once.Options{Control: c.nodes["n1"].Control(), Service: service, Node: "n1", Logger: logr.Discard()})
		claim := ingress.Claim{Organisation: "guild", KeyDigest: "key", BodyDigest: "body", Request: "r1", Deadline: time.Now().Add(time.Minute)}
		checkCalls := func(name string, reads, writes int, run func()) {
			before := service.Calls()
			run()
			calls := callsSince(service, before)
			t.Logf("%s: %v", name, calls)
			if calls[kv.OpGet] > reads || calls[kv.OpPut] > writes {
				t.Errorf("%s: %v, want at most %d reads and %d writes", name, calls, reads, writes)
			}
		}
		checkCalls("claim", 1, 1, func() {
			if _, err := recorder.Claim(ctx, claim); err != nil {
				t.Fatal(err)
			}
		})
		checkCalls("complete", 1, 1, func() {
			if err := recorder.Complete(ctx, claim, ingress.StoredResponse{Status: 200, Body: []byte("done")}); err != nil {
				t.Fatal(err)
			}
		})
		claim.Request = "r2"
		checkCalls("repeat", 1, 0, func() {
			if stored, err := recorder.Claim(ctx, claim); err != nil || stored == nil {
				t.Fatalf("stored %v, error %v", stored, err)
			}
		})
		synctest.Wait()
	})
}
