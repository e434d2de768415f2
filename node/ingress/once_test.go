package ingress_test

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
)

// TestMain sets the seed and the number of the randomised runs.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "20"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func expectReply(t *testing.T, got reply, status int, c code.Code) {
	t.Helper()
	if got.status != status || got.code != c {
		t.Errorf("got status %d code %d (%s), want %d code %d", got.status, got.code, got.body, status, c)
	}
}

func expectRuns(t *testing.T, c *cluster, key string, want int) {
	t.Helper()
	if got := c.runCount("/" + key); got != want {
		t.Errorf("key %s: %d runs, want %d", key, got, want)
	}
}

// TestRepeatedCalls guards against a second run of a repeated call and against a
// wrong response or code for the repeat.
func TestRepeatedCalls(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		large := false
		c.addServer("s1", fleet.RoleService, "lodgement", c.countingService(func(rw http.ResponseWriter) {
			if large {
				_, _ = rw.Write(bytes.Repeat([]byte("x"), 65<<10))
			}
		}))
		a, b := c.addNode("a"), c.addNode("b")
		first := a.callLodgement("k1")
		expectReply(t, first, http.StatusOK, 0)
		if repeat := b.callLodgement("k1"); repeat != first {
			t.Errorf("repeat got %+v, want %+v", repeat, first)
		}
		expectReply(t, b.call(http.MethodPost, "/services/lodgement/k1", "k1", "other"), 422, code.KeyReused)
		large = true
		expectReply(t, a.callLodgement("k2"), http.StatusOK, 0)
		expectReply(t, b.callLodgement("k2"), 409, code.AnswerNotKept)
		expectRuns(t, c, "k1", 1)
		expectRuns(t, c, "k2", 1)
		key := fmt.Sprintf("once/castlereagh/%x", sha256.Sum256([]byte("k3")))
		if _, err := c.store.Put(c.ctx, kv.Write{Key: key, Value: []byte("{")}); err != nil {
			t.Fatal(err)
		}
		expectReply(t, a.callLodgement("k3"), 409, code.OutcomeUnknown)
		expectRuns(t, c, "k3", 0)
	})
}

// TestConcurrentCalls guards against two nodes that dispatch calls with the same
// idempotency key at the same time.
func TestConcurrentCalls(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		c.addServer("s1", fleet.RoleService, "lodgement", c.countingService(func(http.ResponseWriter) { time.Sleep(time.Second) }))
		c.store.SetDelay(10 * time.Millisecond)
		nodes := []*clusterNode{c.addNode("a"), c.addNode("b")}
		replies := make([]reply, len(nodes))
		var group sync.WaitGroup
		for i, n := range nodes {
			group.Go(func() { replies[i] = n.callLodgement("k") })
		}
		group.Wait()
		if replies[0].status+replies[1].status != http.StatusOK+http.StatusConflict {
			t.Errorf("got %+v, want one response and one in-progress refusal", replies)
		}
		expectRuns(t, c, "k", 1)
	})
}

// TestClaimHolderDies guards against a second run after the node that holds the
// claim crashed before its dispatch or before the response was stored.
func TestClaimHolderDies(t *testing.T) {
	for name, runs := range map[string]int{"before dispatch": 0, "before finish": 1} {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, func(c *cluster) {
				var a *clusterNode
				crash := func() { a.kv.nodeDied.Store(true); a.stop() }
				c.addServer("s1", fleet.RoleService, "lodgement", c.countingService(func(http.ResponseWriter) { crash() }))
				a = c.addNode("a")
				b := c.addNode("b")
				if runs == 0 {
					a.onDial = func() error { crash(); return nil }
				}
				a.callLodgement("k")
				expectReply(t, b.callLodgement("k"), 409, code.InProgress)
				time.Sleep(timeToDeadline + 10*time.Second)
				expectReply(t, b.callLodgement("k"), 409, code.OutcomeUnknown)
				expectRuns(t, c, "k", runs)
			})
		})
	}
}

// TestClaimHolderPaused guards against a node that is paused beyond the
// deadline of a claimed request and then dispatches it, although other nodes
// already count the request as finished.
func TestClaimHolderPaused(t *testing.T) {
	pauses := map[string]func(n *clusterNode){
		"claim read":    func(n *clusterNode) { n.kv.faults = []fault{faultPauseAfter} },
		"claim write":   func(n *clusterNode) { n.kv.faults = []fault{faultNone, faultPauseAfter} },
		"claim delayed": func(n *clusterNode) { n.kv.faults = []fault{faultNone, faultPauseBefore} },
		"dial":          func(n *clusterNode) { n.onDial = func() error { time.Sleep(pauseDuration); return nil } },
		"first byte":    func(n *clusterNode) { n.onWrite = func() { time.Sleep(pauseDuration) } },
	}
	for name, set := range pauses {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, func(c *cluster) {
				c.addServer("s1", fleet.RoleService, "lodgement", c.countingService(nil))
				a, b := c.addNode("a"), c.addNode("b")
				set(a)
				got := a.callLodgement("k")
				runs := c.runCount("/k")
				b.callLodgement("k")
				if got.status == http.StatusOK || got.execution == code.NotRun && runs > 0 {
					t.Errorf("paused holder got %+v with %d runs", got, runs)
				}
				if name != "first byte" && runs != 0 {
					t.Errorf("paused holder dispatched after its deadline")
				}
				if c.runCount("/k") > 1 {
					t.Errorf("%d runs", c.runCount("/k"))
				}
			})
		})
	}
}

// TestLostResponses guards against refusing or repeating a call whose own
// writes took effect although their responses were lost.
func TestLostResponses(t *testing.T) {
	for lost := range 5 {
		runInCluster(t, func(c *cluster) {
			c.addServer("s1", fleet.RoleService, "lodgement", c.countingService(nil))
			faults := make([]fault, 6)
			faults[lost] = faultResponseLost
			first := c.addNode("a", faults...).callLodgement("k")
			expectReply(t, first, http.StatusOK, 0)
			if repeat := c.addNode("b").callLodgement("k"); repeat != first {
				t.Errorf("call %d lost: repeat got %+v, want %+v", lost, repeat, first)
			}
			expectRuns(t, c, "k", 1)
		})
	}
}

// TestKeyValueServiceUnreachable guards against running a call that cannot be
// claimed, and against a failed claim that blocks a repeat forever.
func TestKeyValueServiceUnreachable(t *testing.T) {
	for firstFailing := range 4 {
		runInCluster(t, func(c *cluster) {
			c.addServer("s1", fleet.RoleService, "lodgement", c.countingService(nil))
			c.addServer("s2", fleet.RoleService, "lookup", c.countingService(nil))
			faults := make([]fault, 12)
			for i := firstFailing; i < len(faults); i++ {
				faults[i] = faultUnreachable
			}
			if firstFailing == 1 {
				faults[1] = faultResponseLost
			}
			a := c.addNode("a", faults...)
			got := a.callLodgement("k")
			expectReply(t, a.call(http.MethodGet, "/services/lookup/tide", "", ""), http.StatusOK, 0)
			time.Sleep(30 * time.Second)
			repeat := c.addNode("b").callLodgement("k")
			expectReply(t, repeat, http.StatusOK, 0)
			expectRuns(t, c, "k", 1)
			if firstFailing < 2 {
				expectReply(t, got, 503, code.ClaimUnavailable)
			} else if got != repeat {
				t.Errorf("got %+v, repeat %+v", got, repeat)
			}
		})
	}
}

// TestDialRefused guards against the claim of a call that was never sent and
// blocks its repeat.
func TestDialRefused(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		c.addServer("s1", fleet.RoleService, "lodgement", c.countingService(nil))
		a := c.addNode("a")
		a.onDial = func() error { return errDial }
		if got := a.callLodgement("k"); got.execution != code.NotRun {
			t.Errorf("got %+v, want not-run", got)
		}
		expectRuns(t, c, "k", 0)
		expectReply(t, c.addNode("b").callLodgement("k"), http.StatusOK, 0)
	})
}

// singleRunModel is the model of a call that runs once: all successful
// responses to one key are the response of its only run.
var singleRunModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		got := output.(reply)
		if got.status != http.StatusOK {
			return true, state
		}
		return state == "" || state == got.body, got.body
	},
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, operation := range history {
			byKey[operation.Input] = append(byKey[operation.Input], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
}

// randomCall is a call of TestRandomFaults with the time of its start.
type randomCall struct {
	key   string
	node  int
	start time.Duration
}

// TestRandomFaults guards against a second run and against different responses to
// one key when calls of the key-value service, dials and runs fail, lose their
// response or pause at random on three nodes.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SampledFrom([]fault{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, faultUnreachable, faultResponseLost, faultPauseBefore, faultPauseAfter})
		nodeFaults := rapid.SliceOfN(rapid.SliceOfN(faults, 30, 30), 3, 3).Draw(rt, "plans")
		dials := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "", "", "", "refuse", "freeze"}), 9, 9).Draw(rt, "dials")
		aborts := rapid.SliceOfN(rapid.Bool(), 6, 6).Draw(rt, "breaks")
		var calls []randomCall
		for range 9 {
			calls = append(calls, randomCall{
				key:   rapid.SampledFrom([]string{"k1", "k2"}).Draw(rt, "key"),
				node:  rapid.IntRange(0, 2).Draw(rt, "node"),
				start: time.Duration(rapid.IntRange(0, 4).Draw(rt, "start")) * 15 * time.Second,
			})
		}
		history, runs := runRandomCalls(t, nodeFaults, dials, aborts, calls)
		for key, count := range runs {
			if count > 1 {
				rt.Errorf("key %s: %d runs", key, count)
			}
		}
		if !porcupine.CheckOperations(singleRunModel, history) {
			rt.Errorf("responses differ: %+v", history)
		}
		for _, operation := range history {
			got := operation.Output.(reply)
			if got.status == http.StatusOK && runs["/"+operation.Input.(string)] != 1 {
				rt.Errorf("response without a run: %+v", got)
			}
		}
	})
}

// runRandomCalls starts one node for each element of nodeFaults, makes the
// calls and returns their history and the runs by path. dials are the faults of
// the dials of each node, and aborts tells which runs abort the connection.
func runRandomCalls(t *testing.T, nodeFaults [][]fault, dials []string, aborts []bool, calls []randomCall) ([]porcupine.Operation, map[string]int) {
	var history []porcupine.Operation
	var runs map[string]int
	runInCluster(t, func(c *cluster) {
		// The delay makes calls that start together overlap between the read and
		// the write of the record.
		c.store.SetDelay(100 * time.Millisecond)
		var mu sync.Mutex
		served := 0
		c.addServer("s1", fleet.RoleService, "lodgement", c.countingService(func(http.ResponseWriter) {
			mu.Lock()
			served++
			abortRun := served <= len(aborts) && aborts[served-1]
			mu.Unlock()
			if abortRun {
				panic(http.ErrAbortHandler)
			}
		}))
		var nodes []*clusterNode
		for i, faults := range nodeFaults {
			n := c.addNode(string(rune('a'+i)), faults...)
			n.onDial = func() error { return dialFault(dials, int(n.dials.Load())) }
			nodes = append(nodes, n)
		}
		var group sync.WaitGroup
		for i, call := range calls {
			group.Go(func() {
				time.Sleep(call.start)
				start := time.Now().UnixNano()
				got := nodes[call.node].callLodgement(call.key)
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{ClientId: i, Input: call.key, Call: start, Output: got, Return: time.Now().UnixNano()})
			})
		}
		group.Wait()
		time.Sleep(2 * pauseDuration)
		runs = c.runs
	})
	return history, runs
}

// dialFault injects the fault of the dial with the given number.
func dialFault(dials []string, number int) error {
	switch dials[number%len(dials)] {
	case "refuse":
		return errDial
	case "freeze":
		time.Sleep(pauseDuration)
	}
	return nil
}
