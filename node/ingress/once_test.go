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

// TestMain fixes the seed and the number of the randomised runs.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "20"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func expect(t *testing.T, got reply, status int, c code.Code) {
	t.Helper()
	if got.status != status || got.code != c {
		t.Errorf("got status %d code %d (%s), want %d code %d", got.status, got.code, got.body, status, c)
	}
}

func expectRuns(t *testing.T, w *world, key string, want int) {
	t.Helper()
	if got := w.ran("/" + key); got != want {
		t.Errorf("key %s: %d runs, want %d", key, got, want)
	}
}

// TestRepeats guards against a second run of a repeated call and against the
// wrong word about the first one.
func TestRepeats(t *testing.T) {
	inWorld(t, func(w *world) {
		large := false
		w.serve("s1", fleet.RoleService, "lodgement", w.lodge(func(rw http.ResponseWriter) {
			if large {
				_, _ = rw.Write(bytes.Repeat([]byte("x"), 65<<10))
			}
		}))
		a, b := w.node("a"), w.node("b")
		first := a.lodge("k1")
		expect(t, first, http.StatusOK, 0)
		if repeat := b.lodge("k1"); repeat != first {
			t.Errorf("repeat got %+v, want %+v", repeat, first)
		}
		expect(t, b.call(http.MethodPost, "/services/lodgement/k1", "k1", "other"), 422, code.KeyReused)
		large = true
		expect(t, a.lodge("k2"), http.StatusOK, 0)
		expect(t, b.lodge("k2"), 409, code.AnswerNotKept)
		expectRuns(t, w, "k1", 1)
		expectRuns(t, w, "k2", 1)
		key := fmt.Sprintf("once/castlereagh/%x", sha256.Sum256([]byte("k3")))
		if _, err := w.store.Put(w.ctx, kv.Write{Key: key, Value: []byte("{")}); err != nil {
			t.Fatal(err)
		}
		expect(t, a.lodge("k3"), 409, code.OutcomeUnknown)
		expectRuns(t, w, "k3", 0)
	})
}

// TestSameMoment guards against two nodes that both dispatch one call.
func TestSameMoment(t *testing.T) {
	inWorld(t, func(w *world) {
		w.serve("s1", fleet.RoleService, "lodgement", w.lodge(func(http.ResponseWriter) { time.Sleep(time.Second) }))
		w.store.SetDelay(10 * time.Millisecond)
		nodes := []*node{w.node("a"), w.node("b")}
		replies := make([]reply, len(nodes))
		var group sync.WaitGroup
		for i, n := range nodes {
			group.Go(func() { replies[i] = n.lodge("k") })
		}
		group.Wait()
		if replies[0].status+replies[1].status != http.StatusOK+http.StatusConflict {
			t.Errorf("got %+v, want one response and one in-progress refusal", replies)
		}
		expectRuns(t, w, "k", 1)
	})
}

// TestNodeDies guards against a second run after the holder of a claim died
// before its dispatch or before the response was stored.
func TestNodeDies(t *testing.T) {
	for name, runs := range map[string]int{"before dispatch": 0, "before finish": 1} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				var a *node
				die := func() { a.kv.dead.Store(true); a.stop() }
				w.serve("s1", fleet.RoleService, "lodgement", w.lodge(func(http.ResponseWriter) { die() }))
				a = w.node("a")
				b := w.node("b")
				if runs == 0 {
					a.onDial = func() error { die(); return nil }
				}
				a.lodge("k")
				expect(t, b.lodge("k"), 409, code.InProgress)
				time.Sleep(deadline + 10*time.Second)
				expect(t, b.lodge("k"), 409, code.OutcomeUnknown)
				expectRuns(t, w, "k", runs)
			})
		})
	}
}

// TestFrozenHolder guards against a holder that wakes after its deadline and
// dispatches a request that others already count as ended.
func TestFrozenHolder(t *testing.T) {
	freezes := map[string]func(n *node){
		"claim read":    func(n *node) { n.kv.plan = []fault{faultFreezeAfter} },
		"claim write":   func(n *node) { n.kv.plan = []fault{faultNone, faultFreezeAfter} },
		"claim delayed": func(n *node) { n.kv.plan = []fault{faultNone, faultFreezeBefore} },
		"dial":          func(n *node) { n.onDial = func() error { time.Sleep(freeze); return nil } },
		"first byte":    func(n *node) { n.onWrite = func() { time.Sleep(freeze) } },
	}
	for name, set := range freezes {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.serve("s1", fleet.RoleService, "lodgement", w.lodge(nil))
				a, b := w.node("a"), w.node("b")
				set(a)
				got := a.lodge("k")
				ranBy := w.ran("/k")
				b.lodge("k")
				if got.status == http.StatusOK || got.execution == code.NotRun && ranBy > 0 {
					t.Errorf("frozen holder got %+v with %d runs", got, ranBy)
				}
				if name != "first byte" && ranBy != 0 {
					t.Errorf("frozen holder dispatched after its deadline")
				}
				if w.ran("/k") > 1 {
					t.Errorf("%d runs", w.ran("/k"))
				}
			})
		})
	}
}

// TestLostResponses guards against refusing or repeating a call whose own
// writes took effect although their responses were lost.
func TestLostResponses(t *testing.T) {
	for lost := range 5 {
		inWorld(t, func(w *world) {
			w.serve("s1", fleet.RoleService, "lodgement", w.lodge(nil))
			plan := make([]fault, 6)
			plan[lost] = faultLost
			first := w.node("a", plan...).lodge("k")
			expect(t, first, http.StatusOK, 0)
			if repeat := w.node("b").lodge("k"); repeat != first {
				t.Errorf("call %d lost: repeat got %+v, want %+v", lost, repeat, first)
			}
			expectRuns(t, w, "k", 1)
		})
	}
}

// TestServiceDown guards against running a call that cannot be claimed, and
// against a failed claim that blocks a repeat for ever.
func TestServiceDown(t *testing.T) {
	for from := range 4 {
		inWorld(t, func(w *world) {
			w.serve("s1", fleet.RoleService, "lodgement", w.lodge(nil))
			w.serve("s2", fleet.RoleService, "lookup", w.lodge(nil))
			plan := make([]fault, 12)
			for i := from; i < len(plan); i++ {
				plan[i] = faultAway
			}
			if from == 1 {
				plan[1] = faultLost
			}
			a := w.node("a", plan...)
			got := a.lodge("k")
			expect(t, a.call(http.MethodGet, "/services/lookup/tide", "", ""), http.StatusOK, 0)
			time.Sleep(30 * time.Second)
			repeat := w.node("b").lodge("k")
			expect(t, repeat, http.StatusOK, 0)
			expectRuns(t, w, "k", 1)
			if from < 2 {
				expect(t, got, 503, code.ClaimUnavailable)
			} else if got != repeat {
				t.Errorf("got %+v, repeat %+v", got, repeat)
			}
		})
	}
}

// TestDialRefused guards against a call that was never sent and blocks its
// repeat.
func TestDialRefused(t *testing.T) {
	inWorld(t, func(w *world) {
		w.serve("s1", fleet.RoleService, "lodgement", w.lodge(nil))
		a := w.node("a")
		a.onDial = func() error { return errDial }
		if got := a.lodge("k"); got.execution != code.NotRun {
			t.Errorf("got %+v, want not-run", got)
		}
		expectRuns(t, w, "k", 0)
		expect(t, w.node("b").lodge("k"), http.StatusOK, 0)
	})
}

// runModel says that all responses to one key are the response of its only
// run.
var runModel = porcupine.Model{
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

type randomCall struct {
	key   string
	node  int
	start time.Duration
}

// TestRandomFaults guards against a second run and against differing responses
// under random lost, failed and frozen calls on three nodes.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SampledFrom([]fault{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, faultAway, faultLost, faultFreezeBefore, faultFreezeAfter})
		plans := rapid.SliceOfN(rapid.SliceOfN(faults, 30, 30), 3, 3).Draw(rt, "plans")
		dials := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "", "", "", "refuse", "freeze"}), 9, 9).Draw(rt, "dials")
		breaks := rapid.SliceOfN(rapid.Bool(), 6, 6).Draw(rt, "breaks")
		var calls []randomCall
		for range 9 {
			calls = append(calls, randomCall{
				key:   rapid.SampledFrom([]string{"k1", "k2"}).Draw(rt, "key"),
				node:  rapid.IntRange(0, 2).Draw(rt, "node"),
				start: time.Duration(rapid.IntRange(0, 4).Draw(rt, "start")) * 15 * time.Second,
			})
		}
		history, runs := runRandom(t, plans, dials, breaks, calls)
		for key, count := range runs {
			if count > 1 {
				rt.Errorf("key %s: %d runs", key, count)
			}
		}
		if !porcupine.CheckOperations(runModel, history) {
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

func runRandom(t *testing.T, plans [][]fault, dials []string, breaks []bool, calls []randomCall) ([]porcupine.Operation, map[string]int) {
	var history []porcupine.Operation
	var runs map[string]int
	inWorld(t, func(w *world) {
		// Calls that start together overlap between their read and their write.
		w.store.SetDelay(100 * time.Millisecond)
		var mu sync.Mutex
		served := 0
		w.serve("s1", fleet.RoleService, "lodgement", w.lodge(func(http.ResponseWriter) {
			mu.Lock()
			served++
			broken := served <= len(breaks) && breaks[served-1]
			mu.Unlock()
			if broken {
				panic(http.ErrAbortHandler)
			}
		}))
		var nodes []*node
		for i, plan := range plans {
			n := w.node(string(rune('a'+i)), plan...)
			n.onDial = func() error { return dialFault(dials, int(n.dials.Load())) }
			nodes = append(nodes, n)
		}
		var group sync.WaitGroup
		for i, c := range calls {
			group.Go(func() {
				time.Sleep(c.start)
				began := time.Now().UnixNano()
				got := nodes[c.node].lodge(c.key)
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{ClientId: i, Input: c.key, Call: began, Output: got, Return: time.Now().UnixNano()})
			})
		}
		group.Wait()
		time.Sleep(2 * freeze)
		runs = w.runs
	})
	return history, runs
}

func dialFault(dials []string, number int) error {
	switch dials[number%len(dials)] {
	case "refuse":
		return errDial
	case "freeze":
		time.Sleep(freeze)
	}
	return nil
}
