package runtime_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/chart"
	"tanagerspread/client/vmlist"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/node/confkv"
	"tanagerspread/node/ingress"
	"tanagerspread/node/runtime"
	"tanagerspread/standin/kv"
	list "tanagerspread/standin/vmlist"
)

// cluster runs nodes and the stand-ins of the platform in one synctest bubble.
type cluster struct {
	t             *testing.T
	ctx           context.Context
	net           *network
	store         *kv.Store
	list          *list.List
	kvConnections map[string]*kvConnection
	nodes         map[string]*runtime.Node
	stops         map[string]func()
	done          map[string]chan error
	// recorder, logger and rules are used by nodes that are started later.
	recorder ingress.Recorder
	logger   logr.Logger
	rules    *config.Rules
	// incarnation is the number of the process that was started last.
	incarnation uint64
}

func newCluster(t *testing.T, count int) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{
		t: t, ctx: ctx, net: newNetwork(), store: kv.NewStore(kv.Options{}), list: list.New(0),
		kvConnections: map[string]*kvConnection{}, nodes: map[string]*runtime.Node{}, stops: map[string]func(){}, done: map[string]chan error{},
		recorder: ingress.NoRecorder(), logger: logr.Discard(), rules: testRules(),
	}
	for i := range count {
		name := fmt.Sprintf("n%d", i+1)
		c.list.Set(vmlist.VM{ID: name, Address: name, PeerAddress: name + "-peer", Role: string(fleet.RoleEntryVM), State: vmlist.StateLive})
		c.kvConnections[name] = &kvConnection{Service: c.store}
	}
	t.Cleanup(func() {
		for _, stop := range c.stops {
			stop()
		}
		cancel()
	})
	return c
}

func (c *cluster) startAll() {
	for _, name := range slices.Sorted(maps.Keys(c.kvConnections)) {
		c.start(name)
	}
}

func (c *cluster) start(name string) {
	c.t.Helper()
	c.incarnation++
	node, err := runtime.New(runtime.Options{
		Control: control.Options{
			Node: name, Domain: "hobart-a", Charts: chart.Embedded(), ServerSlots: 8, Incarnation: c.incarnation, Seed: c.incarnation,
		},
		Listener:     c.net.listen(name),
		Dial:         c.net.dialer(name),
		Recorder:     c.recorder,
		KeyValue:     c.kvConnections[name],
		Logger:       c.logger,
		MaxBodyBytes: 1 << 20,
		Fleet: &runtime.Fleet{
			Service:      c.kvConnections[name],
			List:         c.list,
			Parse:        func([]byte) (*config.Rules, *code.Error) { return c.rules, nil },
			PeerListener: c.net.listen(name + "-peer"),
			PeerDial:     c.net.dialer(name + "-peer"),
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	done := make(chan error, 1)
	go func() {
		done <- node.Run(ctx)
		close(done)
	}()
	c.nodes[name] = node
	c.done[name] = done
	c.stops[name] = func() {
		cancel()
		for range done {
		}
	}
}

// setPeersUnreachable disconnects a node from its peers or connects it again.
func (c *cluster) setPeersUnreachable(name string, unreachable bool) {
	c.net.setIsolated(name+"-peer", unreachable)
}

func (c *cluster) dump(name string) control.Dump {
	c.t.Helper()
	decision, err := c.nodes[name].Control().Ask(c.ctx, control.DumpState{ID: "dump"})
	if err != nil {
		c.t.Fatal(err)
	}
	return decision.(control.Dump)
}

// expectState checks the state and the configuration version of a node.
func (c *cluster) expectState(name, state string, version config.Version) {
	c.t.Helper()
	d := c.dump(name)
	if d.State != state || d.Version != version {
		c.t.Errorf("%s is %s with version %d, want %s with version %d", name, d.State, d.Version, state, version)
	}
}

func (c *cluster) apply(base config.Version, id string) (config.Configuration, *code.Error) {
	return confkv.Apply(c.ctx, c.store, base, config.Configuration{ApplyID: id, Author: "author of " + id, Text: []byte(id)})
}

func (c *cluster) mustApply(base config.Version, id string) {
	c.t.Helper()
	if _, err := c.apply(base, id); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) await(version config.Version, wait time.Duration) (config.AcceptanceStatus, *code.Error) {
	return confkv.AwaitAcceptance(c.ctx, c.store, c.list, version, wait)
}

// advance advances the virtual time and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// withCluster runs a test on nodes that have version 1 in force.
func withCluster(t *testing.T, count int, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, count)
		c.mustApply(0, "first")
		c.startAll()
		advance(5 * time.Second)
		for name := range c.nodes {
			c.expectState(name, "ready", 1)
		}
		test(c)
	})
}

// TestConfigurationAccepted guards against a configuration that does not reach a
// healthy fleet within 5 s, and against an acceptance that is reported later.
func TestConfigurationAccepted(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		c.mustApply(1, "second")
		acceptance, err := c.await(2, 5*time.Second)
		if err != nil || !acceptance.Accepted || len(acceptance.Missing) != 0 {
			t.Fatalf("acceptance %+v, error %v", acceptance, err)
		}
		for name := range c.nodes {
			c.expectState(name, "ready", 2)
		}
	})
}

// TestKeyValueUnreachable guards against a node that stops serving, misses a
// configuration or cannot acknowledge it, when only its connection to the
// key-value service is broken.
func TestKeyValueUnreachable(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		c.kvConnections["n1"].unreachable.Store(true)
		advance(15 * time.Second)
		c.expectState("n1", "ready", 1)
		c.mustApply(1, "second")
		acceptance, err := c.await(2, 5*time.Second)
		if err != nil || len(acceptance.Missing) != 0 {
			t.Errorf("acceptance %+v, error %v; want an acknowledgement relayed by a peer", acceptance, err)
		}
		c.expectState("n1", "ready", 2)
	})
}

// TestPeersUnreachable guards against a node that fences itself although the
// key-value service is reachable.
func TestPeersUnreachable(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		c.setPeersUnreachable("n1", true)
		advance(20 * time.Second)
		c.expectState("n1", "ready", 1)
		c.mustApply(1, "second")
		if acceptance, err := c.await(2, 5*time.Second); err != nil || len(acceptance.Missing) != 0 {
			t.Errorf("acceptance %+v, error %v", acceptance, err)
		}
		c.setPeersUnreachable("n1", false)
		advance(10 * time.Second)
		c.expectState("n1", "ready", 2)
	})
}

// TestIsolatedNodeFences guards against a node that serves with an old
// configuration after a newer one was reported as accepted.
func TestIsolatedNodeFences(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		c.setPeersUnreachable("n1", true)
		c.kvConnections["n1"].unreachable.Store(true)
		c.mustApply(1, "second")
		if acceptance, err := c.await(2, 5*time.Second); err == nil || err.Code != code.NotAccepted || len(acceptance.Missing) != 1 {
			t.Errorf("acceptance %+v, error %v; want not accepted while n1 may serve", acceptance, err)
		}
		acceptance, err := c.await(2, 17*time.Second)
		if err != nil || !acceptance.Accepted {
			t.Errorf("acceptance %+v, error %v; want accepted after the fence time", acceptance, err)
		}
		c.expectState("n1", "fenced", 1)
		if got := c.complete("n1", "1"); !strings.Contains(got.body, "1504") || !strings.Contains(got.body, "not-run") {
			t.Errorf("fenced node responded %+v, want code 1504 as not run", got)
		}
		if got := c.send(http.MethodGet, "n1", "/readyz", ""); got.status != http.StatusServiceUnavailable {
			t.Errorf("readiness of a fenced node: status %d, want 503", got.status)
		}
		c.kvConnections["n1"].unreachable.Store(false)
		advance(5 * time.Second)
		c.expectState("n1", "ready", 2)
	})
}

// TestKeyValueOutage guards against a majority that stops serving while the
// key-value service is unreachable, and against a minority that keeps serving.
func TestKeyValueOutage(t *testing.T) {
	withCluster(t, 5, func(c *cluster) {
		c.store.SetUnreachable(true)
		c.setPeersUnreachable("n1", true)
		c.setPeersUnreachable("n2", true)
		advance(15 * time.Second)
		c.expectState("n1", "fenced", 1)
		c.expectState("n2", "fenced", 1)
		for _, name := range []string{"n3", "n4", "n5"} {
			c.expectState(name, "ready", 1)
		}
		advance(5 * time.Minute)
		c.expectState("n3", "ready", 1)
		c.store.SetUnreachable(false)
		advance(6 * time.Second)
		c.expectState("n1", "ready", 1)
	})
}

// TestStartDuringOutage guards against a node that becomes ready without a
// majority that confirms its configuration, or while an acknowledgement of its
// previous process may still be counted.
func TestStartDuringOutage(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		c.store.SetUnreachable(true)
		c.stops["n1"]()
		c.start("n1")
		advance(config.RestartWait)
		c.expectState("n1", "starting", 1)
		advance(10 * time.Second)
		c.expectState("n1", "ready", 1)
		c.stops["n1"]()
		c.setPeersUnreachable("n2", true)
		advance(15 * time.Second)
		c.start("n1")
		advance(2 * config.RestartWait)
		c.expectState("n1", "starting", 1)
		c.setPeersUnreachable("n2", false)
		advance(20 * time.Second)
		c.expectState("n1", "ready", 1)
	})
}

// TestKeyValueRestored guards against a configuration that is rolled back because
// the key-value service was restored from an older copy.
func TestKeyValueRestored(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		old := c.store.Snapshot()
		c.mustApply(1, "second")
		advance(5 * time.Second)
		c.store.Restore(old)
		advance(10 * time.Second)
		current, _, err := confkv.Read(c.ctx, c.store)
		if err != nil || current.Version != 2 || current.ApplyID != "second" {
			t.Errorf("the key-value service stores %+v, error %v; want version 2 written back", current, err)
		}
		c.expectState("n1", "ready", 2)
		c.mustApply(2, "third")
		if _, err := c.await(3, 5*time.Second); err != nil {
			t.Error(err)
		}
	})
}

// TestConcurrentApplies guards against an apply that overwrites a concurrent one,
// and against a conflict error that does not identify the applied one.
func TestConcurrentApplies(t *testing.T) {
	withCluster(t, 1, func(c *cluster) {
		results := make(chan *code.Error, 2)
		for _, id := range []string{"left", "right"} {
			go func() {
				_, err := c.apply(1, id)
				results <- err
			}()
		}
		first, second := <-results, <-results
		if (first == nil) == (second == nil) {
			t.Fatalf("results %v and %v, want exactly one success", first, second)
		}
		losing := first
		if losing == nil {
			losing = second
		}
		current, _, _ := confkv.Read(c.ctx, c.store)
		want := fmt.Sprintf("version 2 by %s with apply id %s is in place", current.Author, current.ApplyID)
		if losing.Code != code.VersionConflict || losing.Detail != want {
			t.Errorf("the losing apply returned %q, want %q", losing.Error(), want)
		}
		if _, err := c.apply(1, "late"); err == nil || err.Code != code.VersionConflict || err.Detail != want {
			t.Errorf("apply to a replaced version: %v, want %q", err, want)
		}
	})
}

// TestApplyResponseLost guards against an apply that takes effect and is reported
// as failed because the response was lost, and against a repeated apply that
// takes effect twice.
func TestApplyResponseLost(t *testing.T) {
	withCluster(t, 1, func(c *cluster) {
		c.stops["n1"]()
		for _, id := range []string{"second", "second"} {
			c.store.LoseNextResponses(1)
			applied, err := c.apply(1, id)
			if err != nil || applied.Version != 2 {
				t.Fatalf("apply: version %d, error %v", applied.Version, err)
			}
			c.store.LoseNextResponses(0)
		}
		c.mustApply(2, "third")
		applied, err := c.apply(1, "second")
		if err != nil || applied.Version != 2 {
			t.Errorf("late repeat: version %d, error %v; want version 2 as already applied", applied.Version, err)
		}
	})
}

// TestVMListLag guards against a new node that does not become ready until the VM
// list contains it.
func TestVMListLag(t *testing.T) {
	withCluster(t, 2, func(c *cluster) {
		c.list.SetLag(time.Minute)
		c.kvConnections["n3"] = &kvConnection{Service: c.store}
		c.start("n3")
		advance(5 * time.Second)
		c.expectState("n3", "ready", 1)
		c.mustApply(1, "second")
		if acceptance, err := c.await(2, 5*time.Second); err != nil || !acceptance.Accepted {
			t.Errorf("acceptance %+v, error %v", acceptance, err)
		}
		advance(time.Second)
		c.expectState("n3", "ready", 2)
	})
}
