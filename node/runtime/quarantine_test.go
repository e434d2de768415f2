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
	// badRepeats is how often a caller repeats a request that was refused.
	badRepeats = 12
	crashable  = 8
	neighbours = 3
	// callerDelay is the time in which a refusal reaches the caller and the
	// repeat the next node. Links between nodes have no delay in this test.
	callerDelay = 10 * time.Millisecond
	// newsDelay is the time in which a quarantine reaches every node.
	newsDelay = 3 * time.Second
)

// crashFleet is a cluster whose engines die of the crash marker.
type crashFleet struct {
	*cluster
	mu sync.Mutex
	// lost holds the engines that received the crash marker, in order.
	lost []string
	// running counts the requests at each engine, and cut those that were at
	// an engine when it died.
	running map[string]int
	cut     int
	// hits receives the engines that receive it.
	hits chan string
}

func newCrashFleet(c *cluster) *crashFleet {
	f := &crashFleet{cluster: c, running: map[string]int{}, hits: make(chan string, badRepeats*crashable)}
	for i := range crashable {
		id := fmt.Sprintf("e%d", i+1)
		e := engine.New(c.ctx, engine.Options{PrefillRate: 1e6, CrashMarker: crashMarker})
		vm := vmlist.VM{ID: id, Address: id, Role: string(fleet.RoleEngine), Serves: testModel, Weights: 1, State: vmlist.StateLive}
		server := &http.Server{Handler: f.note(id, e.Handler())}
		go func() { _ = server.Serve(c.net.listen(id)) }()
		c.t.Cleanup(func() { _ = server.Close() })
		c.list.Set(vm)
	}
	pass(3 * time.Second)
	return f
}

// note records the engines that receive the crash marker.
func (f *crashFleet) note(id string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bad := bytes.Contains(body, []byte(crashMarker))
		f.begin(id, bad)
		defer f.end(id)
		if bad {
			f.hits <- id
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func (f *crashFleet) begin(id string, bad bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if bad && !slices.Contains(f.lost, id) {
		f.lost = append(f.lost, id)
		f.cut += f.running[id]
	}
	f.running[id]++
}

func (f *crashFleet) end(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[id]--
}

func (f *crashFleet) prompt(node, prompt, tokens string) result {
	return f.send(http.MethodPost, node, "/v1/completions", `{"model":"entry-text","prompt":"`+prompt+`","max_tokens":`+tokens+`}`)
}

// startNeighbours sends innocent requests of 2 s to each node.
func (f *crashFleet) startNeighbours() <-chan result {
	results := make(chan result, neighbours*len(f.nodes))
	for name := range f.nodes {
		for i := range neighbours {
			go func() { results <- f.prompt(name, fmt.Sprintf("good %s %d", name, i), "100") }()
		}
	}
	pass(500 * time.Millisecond)
	return results
}

// repeatBad sends the bad request to one node after the other and expects the
// refusals after the first to name the quarantine. A node that the news has not
// reached may have tried a server that is already dead. Once the digests have
// carried the news, each node must refuse the request without an attempt.
func (f *crashFleet) repeatBad(names []string) {
	f.t.Helper()
	for i := range badRepeats {
		pass(callerDelay)
		got := f.prompt(names[i%len(names)], crashMarker, "5")
		if got.status == http.StatusOK || i > 0 && !quarantineNamed(got) {
			f.t.Errorf("repeat %d at %s: %+v, want a code of the quarantine", i, names[i%len(names)], got)
		}
	}
	pass(newsDelay)
	for _, name := range names {
		if got := f.prompt(name, crashMarker, "5"); !quarantineRefused(got) {
			f.t.Errorf("%s after %v: %+v, want code %d", name, newsDelay, got, code.Quarantined)
		}
	}
}

func quarantineNamed(got result) bool {
	return quarantineRefused(got) || strings.Contains(got.body, fmt.Sprintf(`"code":%d`, code.QuarantinedRan))
}

func quarantineRefused(got result) bool {
	return strings.Contains(got.body, fmt.Sprintf(`"code":%d`, code.Quarantined)) && strings.Contains(got.body, "not-run")
}

// checkNeighbours expects whole responses and no blame.
func (f *crashFleet) checkNeighbours(results <-chan result) {
	f.t.Helper()
	for range neighbours * len(f.nodes) {
		if got := <-results; got.status != http.StatusOK {
			f.t.Errorf("innocent neighbour: %+v", got)
		}
	}
	pass(time.Second)
	for name := range f.nodes {
		if d := f.dump(name); d.Quarantined != 1 || d.Suspects != 0 {
			f.t.Errorf("%s: %d quarantined and %d suspect, want the bad request only", name, d.Quarantined, d.Suspects)
		}
	}
}

// restartAll restarts one node after the other and sends the bad request to
// each one as soon as it serves.
func (f *crashFleet) restartAll(names []string) {
	f.t.Helper()
	for _, name := range names {
		f.stops[name]()
		f.start(name)
		for range 600 {
			if got := f.send(http.MethodGet, name, "/readyz", ""); got.status == http.StatusOK {
				break
			}
			pass(100 * time.Millisecond)
		}
		if got := f.prompt(name, crashMarker, "5"); !quarantineRefused(got) {
			f.t.Errorf("%s after its restart: %+v, want code %d", name, got, code.Quarantined)
		}
	}
}

// TestServersLost guards against a crashing request that takes down a pair of
// servers for each node, or another pair after a restart, and against blame
// for its neighbours.
func TestServersLost(t *testing.T) {
	for _, count := range []int{1, 3, 7} {
		for _, outage := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes, outage %v", count, outage), func(t *testing.T) {
				inBubble(t, count, func(c *cluster) {
					f := newCrashFleet(c)
					names := slices.Sorted(maps.Keys(c.nodes))
					c.store.SetUnreachable(outage)
					results := f.startNeighbours()
					f.repeatBad(names)
					f.checkNeighbours(results)
					if count > 1 || !outage {
						f.restartAll(names)
					}
					t.Logf("servers lost: %v, innocent requests cut off and retried: %d", f.lost, f.cut)
					if len(f.lost) != 2 {
						t.Errorf("servers lost: %v, want two", f.lost)
					}
				})
			})
		}
	}
}

// TestServersLostWithNode guards against a suspicion that is lost with the
// node that saw the first server die.
func TestServersLostWithNode(t *testing.T) {
	inBubble(t, 3, func(c *cluster) {
		f := newCrashFleet(c)
		go f.prompt("n1", crashMarker, "5")
		<-f.hits
		pass(10 * time.Millisecond)
		c.stops["n1"]()
		delete(c.nodes, "n1")
		f.repeatBad([]string{"n2", "n3"})
		t.Logf("servers lost: %v", f.lost)
		if len(f.lost) != 2 {
			t.Errorf("servers lost: %v, want two", f.lost)
		}
	})
}

// TestStartLearnsQuarantine guards against a node that starts during an outage
// of the key-value service and learns the quarantined fingerprints one by one.
func TestStartLearnsQuarantine(t *testing.T) {
	inBubble(t, 3, func(c *cluster) {
		c.store.SetUnreachable(true)
		var entries []quarantine.Entry
		for i := range quarantine.MaxDigestEntries {
			id := quarantine.Fingerprint{byte(i)}
			entries = append(entries, quarantine.Entry{Fingerprint: id, Kind: quarantine.Quarantined, ExpiresAt: time.Now().Add(time.Hour)})
		}
		c.nodes["n2"].Control().Tell(control.QuarantineSeen{Entries: entries})
		pass(time.Second)
		c.stops["n1"]()
		c.start("n1")
		pass(4 * time.Second)
		if d := c.dump("n1"); d.Quarantined != len(entries) {
			t.Errorf("%d quarantined after the start, want %d", d.Quarantined, len(entries))
		}
	})
}

// slowLists delays the lists of the key-value service.
type slowLists struct {
	kv.Service
}

func (s slowLists) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, *code.Error) {
	time.Sleep(2 * time.Second)
	return s.Service.List(ctx, prefix)
}

// TestStartAwaitsQuarantine guards against a node that serves before it has
// read the quarantined fingerprints.
func TestStartAwaitsQuarantine(t *testing.T) {
	inBubble(t, 1, func(c *cluster) {
		entry := quarantine.Entry{Kind: quarantine.Quarantined, ExpiresAt: time.Now().Add(time.Hour)}
		if err := confkv.WriteQuarantined(c.ctx, c.store, entry); err != nil {
			t.Fatal(err)
		}
		c.stops["n1"]()
		c.gates["n1"].Service = slowLists{c.store}
		c.start("n1")
		pass(1900 * time.Millisecond)
		c.expect("n1", "starting", 0)
		pass(time.Second)
		c.expect("n1", "ready", 1)
		if d := c.dump("n1"); d.Quarantined != 1 {
			t.Errorf("%d quarantined, want the stored one", d.Quarantined)
		}
	})
}
