package runtime_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/core/quarantine"
	"tanagerspread/node/confkv"
	"tanagerspread/standin/engine"
)

const (
	crashMarker = "CRASH"
	// poisonRepeats is the number of times that a poison request is sent.
	poisonRepeats    = 12
	crashEngines     = 8
	unrelatedPerNode = 3
	// callerDelay is the time from a refusal until the repeated request arrives
	// at the next node. Connections between nodes have no delay in this test.
	callerDelay = 10 * time.Millisecond
	// gossipDelay is the time until a quarantine has reached every node.
	gossipDelay = 3 * time.Second
)

// crashCluster is a cluster whose engines crash on the crash marker.
type crashCluster struct {
	*cluster
	mu sync.Mutex
	// lost holds the engines that received the crash marker, in order.
	lost []string
	// running counts the requests at each engine, and interrupted the requests
	// that were at an engine when it crashed.
	running     map[string]int
	interrupted int
	// poisonReceived receives the id of an engine for each poison request.
	poisonReceived chan string
}

func newCrashCluster(c *cluster) *crashCluster {
	f := &crashCluster{cluster: c, running: map[string]int{}, poisonReceived: make(chan string, poisonRepeats*crashEngines)}
	for i := range crashEngines {
		id := fmt.Sprintf("e%d", i+1)
		e := engine.New(c.ctx, engine.Options{PrefillRate: 1e6, CrashMarker: crashMarker})
		vm := vmlist.VM{ID: id, Address: id, Role: string(fleet.RoleEngine), Serves: testModel, Weights: 1, State: vmlist.StateLive}
		server := &http.Server{Handler: f.recordRequests(id, e.Handler())}
		go func() { _ = server.Serve(c.net.listen(id)) }()
		c.t.Cleanup(func() { _ = server.Close() })
		c.list.Set(vm)
	}
	advance(3 * time.Second)
	return f
}

// recordRequests records the requests of an engine and those with the crash
// marker.
func (f *crashCluster) recordRequests(id string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		poison := bytes.Contains(body, []byte(crashMarker))
		f.startRequest(id, poison)
		defer f.finishRequest(id)
		if poison {
			f.poisonReceived <- id
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func (f *crashCluster) startRequest(id string, poison bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if poison && !slices.Contains(f.lost, id) {
		f.lost = append(f.lost, id)
		f.interrupted += f.running[id]
	}
	f.running[id]++
}

func (f *crashCluster) finishRequest(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[id]--
}

func (f *crashCluster) prompt(node, prompt, tokens string) result {
	return f.send(http.MethodPost, node, "/v1/completions", `{"model":"entry-text","prompt":"`+prompt+`","max_tokens":`+tokens+`}`)
}

// startUnrelated sends unrelated requests of 2 s to each node.
func (f *crashCluster) startUnrelated() <-chan result {
	results := make(chan result, unrelatedPerNode*len(f.nodes))
	for name := range f.nodes {
		for i := range unrelatedPerNode {
			go func() { results <- f.prompt(name, fmt.Sprintf("good %s %d", name, i), "100") }()
		}
	}
	advance(500 * time.Millisecond)
	return results
}

// repeatPoison sends the poison request to the nodes round robin and expects a
// code of the quarantine from the second refusal on. A node that the quarantine
// has not reached yet may attempt the request at a crashed server. After
// gossipDelay each node must refuse the request without an attempt.
func (f *crashCluster) repeatPoison(names []string) {
	f.t.Helper()
	for i := range poisonRepeats {
		advance(callerDelay)
		got := f.prompt(names[i%len(names)], crashMarker, "5")
		if got.status == http.StatusOK || i > 0 && !hasQuarantineCode(got) {
			f.t.Errorf("repeat %d at %s: %+v, want a code of the quarantine", i, names[i%len(names)], got)
		}
	}
	advance(gossipDelay)
	for _, name := range names {
		if got := f.prompt(name, crashMarker, "5"); !refusedByQuarantine(got) {
			f.t.Errorf("%s after %v: %+v, want code %d", name, gossipDelay, got, code.Quarantined)
		}
	}
}

// hasQuarantineCode reports whether the request was refused because of the
// quarantine, before or after an attempt.
func hasQuarantineCode(got result) bool {
	return refusedByQuarantine(got) || strings.Contains(got.body, fmt.Sprintf(`"code":%d`, code.QuarantinedRan))
}

// refusedByQuarantine reports whether the request was refused as not run.
func refusedByQuarantine(got result) bool {
	return strings.Contains(got.body, fmt.Sprintf(`"code":%d`, code.Quarantined)) && strings.Contains(got.body, "not-run")
}

// checkUnrelated expects complete responses to the unrelated requests, which must
// be neither suspect nor quarantined.
func (f *crashCluster) checkUnrelated(results <-chan result) {
	f.t.Helper()
	for range unrelatedPerNode * len(f.nodes) {
		if got := <-results; got.status != http.StatusOK {
			f.t.Errorf("unrelated request: %+v", got)
		}
	}
	advance(time.Second)
	for name := range f.nodes {
		if d := f.dump(name); d.Quarantined != 1 || d.Suspects != 0 {
			f.t.Errorf("%s: %d quarantined and %d suspect, want the poison request only", name, d.Quarantined, d.Suspects)
		}
	}
}

// restartAll restarts one node after the other and sends the poison request to
// each one as soon as it is ready.
func (f *crashCluster) restartAll(names []string) {
	f.t.Helper()
	for _, name := range names {
		f.stops[name]()
		f.start(name)
		for range 600 {
			if got := f.send(http.MethodGet, name, "/readyz", ""); got.status == http.StatusOK {
				break
			}
			advance(100 * time.Millisecond)
		}
		if got := f.prompt(name, crashMarker, "5"); !refusedByQuarantine(got) {
			f.t.Errorf("%s after its restart: %+v, want code %d", name, got, code.Quarantined)
		}
	}
}

// TestServersLost guards against a poison request that crashes two servers for
// each node, or two more after a restart, and against unrelated requests to
// which the crashes are attributed.
func TestServersLost(t *testing.T) {
	for _, count := range []int{1, 3, 7} {
		for _, outage := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes, outage %v", count, outage), func(t *testing.T) {
				withCluster(t, count, func(c *cluster) {
					f := newCrashCluster(c)
					names := slices.Sorted(maps.Keys(c.nodes))
					c.store.SetUnreachable(outage)
					results := f.startUnrelated()
					f.repeatPoison(names)
					f.checkUnrelated(results)
					if count > 1 || !outage {
						f.restartAll(names)
					}
					t.Logf("servers lost: %v, unrelated requests interrupted and retried: %d", f.lost, f.interrupted)
					if len(f.lost) != 2 {
						t.Errorf("servers lost: %v, want two", f.lost)
					}
				})
			})
		}
	}
}

// TestServersLostWithNode guards against a suspect that is lost when the node
// that observed the first crash is stopped.
func TestServersLostWithNode(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		f := newCrashCluster(c)
		go f.prompt("n1", crashMarker, "5")
		<-f.poisonReceived
		advance(10 * time.Millisecond)
		c.stops["n1"]()
		delete(c.nodes, "n1")
		f.repeatPoison([]string{"n2", "n3"})
		t.Logf("servers lost: %v", f.lost)
		if len(f.lost) != 2 {
			t.Errorf("servers lost: %v, want two", f.lost)
		}
	})
}

// TestStartLearnsQuarantine guards against a node that starts while the key-value
// service is unreachable and receives the quarantined fingerprints one by one.
func TestStartLearnsQuarantine(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		c.store.SetUnreachable(true)
		var entries []quarantine.Entry
		for i := range quarantine.MaxDigestEntries {
			id := quarantine.Fingerprint{byte(i)}
			entries = append(entries, quarantine.Entry{Fingerprint: id, Kind: quarantine.Quarantined, ExpiresAt: time.Now().Add(time.Hour)})
		}
		c.nodes["n2"].Control().Tell(control.QuarantineSeen{Entries: entries})
		advance(time.Second)
		c.stops["n1"]()
		c.start("n1")
		advance(4 * time.Second)
		if d := c.dump("n1"); d.Quarantined != len(entries) {
			t.Errorf("%d quarantined after the start, want %d", d.Quarantined, len(entries))
		}
	})
}

// slowLists delays List calls of the key-value service by 2 s.
type slowLists struct {
	kv.Service
}

func (s slowLists) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, *code.Error) {
	time.Sleep(2 * time.Second)
	return s.Service.List(ctx, prefix)
}

// TestStartAwaitsQuarantine guards against a node that becomes ready before it
// has read the quarantined fingerprints.
func TestStartAwaitsQuarantine(t *testing.T) {
	withCluster(t, 1, func(c *cluster) {
		entry := quarantine.Entry{Kind: quarantine.Quarantined, ExpiresAt: time.Now().Add(time.Hour)}
		if err := confkv.WriteQuarantined(c.ctx, c.store, entry); err != nil {
			t.Fatal(err)
		}
		c.stops["n1"]()
		c.kvConnections["n1"].Service = slowLists{c.store}
		c.start("n1")
		advance(1900 * time.Millisecond)
		c.expectState("n1", "starting", 0)
		advance(time.Second)
		c.expectState("n1", "ready", 1)
		if d := c.dump("n1"); d.Quarantined != 1 {
			t.Errorf("%d quarantined, want the stored one", d.Quarantined)
		}
	})
}
