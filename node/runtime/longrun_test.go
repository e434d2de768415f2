package runtime_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"

	"tanagerspread/client/vmlist"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
	"tanagerspread/node/confkv"
	"tanagerspread/standin/service"
	"tanagerspread/standin/site"
)

const (
	// These variables replace the seed, the number of rounds, and the minutes
	// of the long outage.
	longRunSeedVariable   = "LONGRUN_SEED"
	longRunRoundsVariable = "LONGRUN_ROUNDS"
	longRunOutageVariable = "LONGRUN_OUTAGE_MINUTES"
	longRunSeed           = 2
	longRunRounds         = 6
	longRunOutage         = 5

	watchStep   = 250 * time.Millisecond
	settleTime  = 25 * time.Second
	leaveTarget = 3 * time.Second
	callerCount = 8
	callerPause = 2 * time.Second
	// longPause keeps a long outage short in real time.
	longPause = time.Minute
	// idempotentShare is the share of idempotent requests that must succeed
	// while one thing is broken.
	idempotentShare = 0.9
)

// longRun is a fleet before a site, with callers and faults in random order.
type longRun struct {
	*cluster
	site   *site.Site
	random *rand.Rand
	traffic
	// coming holds the faults that are next.
	coming []string
	alive  map[string]bool
	// versions holds the version in force of each running process.
	versions map[string]config.Version
	// leaving is the engine that receives no new work after leaveAt, and
	// leaveRuns the number of its runs at that time, or -1.
	leaving   *site.EngineVM
	leaveAt   time.Time
	leaveRuns int
	// listBehind is true while the VM list lags or is away.
	listBehind bool

	mu       sync.Mutex
	accepted config.Version
	since    time.Time
	applied  map[config.Version]string
}

func envOr(name string, otherwise uint64) uint64 {
	if value, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return value
	}
	return otherwise
}

func longRules() *config.Rules {
	rules := testRules()
	rules.Organisations["ulan"] = config.Organisation{}
	rules.Tokens[sha256.Sum256([]byte("second secret"))] = config.Token{Organisation: "ulan"}
	rules.Classes["check"] = config.Class{QueueLimit: 100}
	rules.Services = map[string]config.Service{
		"lodgement": {NonIdempotent: true, Class: "check"},
		"lookup":    {Class: "check"},
	}
	return rules
}

func newLongRun(t *testing.T, seed uint64) *longRun {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, 3+random.IntN(3))
	c.rules = longRules()
	c.recorder = nil
	c.logger = funcr.New(func(_, line string) {
		if strings.Contains(line, event.InvariantFailed.Text) {
			t.Error(line)
		}
	}, funcr.Options{})
	s, err := site.Start(c.ctx, site.Options{
		Shape:   site.Shape{Domains: []string{"hobart-a", "kingston-b"}, Model: testModel, Engines: 5, Stores: 2, Services: []string{"lodgement", "lookup", "lodgement", "lookup"}},
		Service: service.Options{RunTime: 50 * time.Millisecond, RestartAfter: 2 * time.Second},
		Listen:  func(id string) (net.Listener, error) { return c.net.listen(id), nil },
		Dial:    c.net.dialer("site"),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	c.list, c.store = s.VMs, s.KV
	for name, gate := range c.gates {
		gate.Service = s.KV
		s.VMs.Set(vmlist.VM{ID: name, Address: name, PeerAddress: name + "-peer", Role: string(fleet.RoleEntry), State: vmlist.StateLive})
	}
	return &longRun{
		cluster: c, site: s, random: random, alive: map[string]bool{}, versions: map[string]config.Version{},
		applied: map[config.Version]string{}, leaveRuns: -1,
		traffic: traffic{killed: map[string]time.Time{}, keys: map[string]*lodging{}, notRun: map[string]bool{}},
	}
}

func (l *longRun) names() []string {
	return slices.Sorted(maps.Keys(l.gates))
}

// watch lets time pass and checks what must hold at any time.
func (l *longRun) watch(d time.Duration) {
	for range d / watchStep {
		pass(watchStep)
		var ready []string
		for _, name := range l.names() {
			if l.alive[name] && l.checkNode(name) {
				ready = append(ready, name)
			}
		}
		l.ready.Store(&ready)
		l.checkLeaving()
	}
}

// checkNode checks the version of a node and reports whether it is ready. A
// version is accepted only after the fence time of the nodes that do not have
// it, so none may serve with an older one from then on.
func (l *longRun) checkNode(name string) bool {
	decision, err := l.nodes[name].Control().Ask(l.ctx, control.AskStatus{ID: "watch"})
	if err != nil {
		return false
	}
	status := decision.(control.Status)
	if status.Version < l.versions[name] {
		l.t.Errorf("%s: version %d after %d", name, status.Version, l.versions[name])
	}
	l.versions[name] = status.Version
	l.mu.Lock()
	defer l.mu.Unlock()
	if status.State == "ready" && status.Version < l.accepted {
		l.t.Errorf("%s serves with version %d, %v after version %d was accepted", name, status.Version, time.Since(l.since), l.accepted)
	}
	return status.State == "ready"
}

func (l *longRun) checkLeaving() {
	if l.leaving == nil || l.listBehind || time.Since(l.leaveAt) < leaveTarget {
		return
	}
	runs := 0
	for _, n := range l.leaving.Engine.Counters().Runs {
		runs += n
	}
	if l.leaveRuns >= 0 && runs > l.leaveRuns {
		l.t.Errorf("%s: new work %v after it began to leave", l.leaving.ID, time.Since(l.leaveAt))
	}
	l.leaveRuns = runs
}

func (l *longRun) begin(name string) {
	l.start(name)
	l.alive[name] = true
	l.versions[name] = 0
}

// kill ends a process at once.
func (l *longRun) kill(name string) {
	l.alive[name] = false
	l.noteKill(name)
	l.stops[name]()
	l.noteKill(name)
}

// race lets two operators race for the next version.
func (l *longRun) race() {
	current, _, err := confkv.Read(l.ctx, l.store)
	if err != nil {
		return
	}
	for i := range 2 {
		id := fmt.Sprintf("apply %d %d", current.Version+1, i)
		go l.applyAndAwait(current.Version, id)
	}
}

func (l *longRun) applyAndAwait(base config.Version, id string) {
	done, err := l.apply(base, id)
	if err != nil {
		return
	}
	l.mu.Lock()
	if winner := l.applied[done.Version]; winner != "" && winner != id {
		l.t.Errorf("version %d was applied by %q and %q", done.Version, winner, id)
	}
	l.applied[done.Version] = id
	l.mu.Unlock()
	verdict, err := l.await(done.Version, time.Minute)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && verdict.Accepted && done.Version > l.accepted {
		l.accepted, l.since = done.Version, time.Now()
	}
}

// run breaks one thing or two in each round and heals them again.
func (l *longRun) run(rounds int) {
	for round := range rounds {
		chosen := []fault{l.pick()}
		if round%2 == 1 {
			chosen = append(chosen, l.pick())
		}
		l.round(chosen, time.Duration(5+l.random.IntN(25))*time.Second)
	}
}

// pick returns the faults one after the other in a random order.
func (l *longRun) pick() fault {
	if len(l.coming) == 0 {
		l.coming = slices.Sorted(maps.Keys(faults))
		l.random.Shuffle(len(l.coming), func(i, j int) { l.coming[i], l.coming[j] = l.coming[j], l.coming[i] })
	}
	next := l.coming[0]
	l.coming = l.coming[1:]
	return faults[next]
}

func (l *longRun) round(chosen []fault, length time.Duration) {
	var heal []func()
	if len(chosen) == 1 {
		l.single.Store(true)
	}
	for _, f := range chosen {
		heal = append(heal, f(l))
	}
	if l.random.IntN(2) == 0 {
		l.race()
	}
	l.watch(length)
	l.single.Store(false)
	for _, h := range heal {
		h()
	}
	l.watch(settleTime)
}

// checkEnd checks what must hold for all requests together.
func (l *longRun) checkEnd() {
	for _, name := range l.names() {
		if d := l.dump(name); d.State != "ready" || d.Version != l.versions[l.names()[0]] {
			l.t.Errorf("%s is %s with version %d after all faults healed", name, d.State, d.Version)
		}
	}
	runs := map[string]int{}
	for _, e := range l.site.Engines {
		counters := e.Engine.Counters()
		if counters.InvalidBlocksUsed != 0 || counters.ResumeMismatches != 0 {
			l.t.Errorf("%s: %d invalid blocks used, %d wrong resumptions", e.ID, counters.InvalidBlocksUsed, counters.ResumeMismatches)
		}
		for id, n := range counters.Runs {
			runs[id] += n
		}
	}
	for id := range l.notRun {
		if runs[id] != 0 {
			l.t.Errorf("request %s was refused as not run and ran", id)
		}
	}
	l.checkLodgings()
	share := float64(l.succeeded.Load()) / float64(max(l.sent.Load(), 1))
	l.t.Logf("%d nodes, %d requests, %d keys, %d replays, %d not-run refusals, version %d; one fault: %d of %d idempotent requests succeeded (%.3f)",
		len(l.gates), l.total.Load(), len(l.keys), l.replays, len(l.notRun), l.accepted, l.succeeded.Load(), l.sent.Load(), share)
	if l.sent.Load() > 0 && share < idempotentShare {
		l.t.Errorf("%.3f of the idempotent requests succeeded while one thing was broken, want %v", share, idempotentShare)
	}
}

func (l *longRun) checkLodgings() {
	runs := map[string]int{}
	for _, s := range l.site.Services {
		for digest, n := range s.Service.Runs() {
			runs[digest] += n
		}
	}
	for key, lodged := range l.keys {
		sum := sha256.Sum256([]byte(key))
		n := runs[hex.EncodeToString(sum[:])]
		if n > 1 || lodged.notRun == lodged.tries && n != 0 || lodged.response != "" && n != 1 {
			l.t.Errorf("key %s ran %d times: %+v", key, n, *lodged)
		}
	}
}

// inLongRun lets callers send requests while faults come and go, and checks
// the end.
func inLongRun(t *testing.T, pause time.Duration, faults func(l *longRun)) {
	synctest.Test(t, func(t *testing.T) {
		seed := envOr(longRunSeedVariable, longRunSeed)
		l := newLongRun(t, seed)
		l.pause = pause
		l.mustApply(0, "first")
		for _, name := range l.names() {
			l.begin(name)
		}
		l.watch(5 * time.Second)
		ctx, stop := context.WithCancel(l.ctx)
		var callers sync.WaitGroup
		for i := range callerCount {
			callers.Go(func() { l.call(ctx, l, i, rand.New(rand.NewPCG(seed, uint64(i)+2))) })
		}
		faults(l)
		stop()
		callers.Wait()
		l.watch(settleTime)
		l.checkEnd()
	})
}

// TestLongRun guards against faults, alone and in pairs, that break one of the
// invariants of the design page.
func TestLongRun(t *testing.T) {
	inLongRun(t, callerPause, func(l *longRun) {
		l.run(int(envOr(longRunRoundsVariable, longRunRounds)))
	})
}

// TestLongOutage guards against a fleet that does not outlast a long outage of
// the key-value service.
func TestLongOutage(t *testing.T) {
	inLongRun(t, longPause, func(l *longRun) {
		minutes := envOr(longRunOutageVariable, longRunOutage)
		l.round([]fault{faults["key-value service away"]}, time.Duration(minutes)*time.Minute)
	})
}

// traffic is what callers did and saw.
type traffic struct {
	ready  atomic.Pointer[[]string]
	single atomic.Bool
	// pause is the longest pause of a caller between two requests.
	pause time.Duration

	total, sent, succeeded atomic.Int64

	seen    sync.Mutex
	killed  map[string]time.Time
	keys    map[string]*lodging
	notRun  map[string]bool
	replays int
}

// lodging is one idempotency key.
type lodging struct {
	tries, notRun int
	response      string
}

func (x *traffic) noteKill(name string) {
	x.seen.Lock()
	defer x.seen.Unlock()
	x.killed[name] = time.Now()
}

func (x *traffic) killedSince(name string, began time.Time) bool {
	x.seen.Lock()
	defer x.seen.Unlock()
	return !x.killed[name].Before(began)
}

// call sends requests of one caller one after the other.
func (x *traffic) call(ctx context.Context, l *longRun, caller int, random *rand.Rand) {
	token := []string{"secret", "second secret"}[caller%2]
	for i := 0; ctx.Err() == nil; i++ {
		c := exchange{l: l, id: fmt.Sprintf("%d-%d", caller, i), token: token, random: random}
		switch random.IntN(4) {
		case 0:
			c.lookUp()
		case 1:
			c.lodge()
		case 2:
			c.complete(true)
		default:
			c.complete(false)
		}
		time.Sleep(time.Duration(random.Int64N(int64(x.pause))))
	}
}

// exchange is one request of a caller.
type exchange struct {
	l      *longRun
	id     string
	token  string
	random *rand.Rand
}

// send sends to a random ready node and returns the class of execution that a
// refusal names, or empty. A connection may break only at a killed node.
func (c *exchange) send(method, path, body string, header ...string) (result, request.ID, string) {
	nodes := *c.l.ready.Load()
	if len(nodes) == 0 {
		return result{}, "", "not-sent"
	}
	node := nodes[c.random.IntN(len(nodes))]
	began := time.Now()
	c.l.total.Add(1)
	got := c.l.send(method, node, path, body, append(header, "Authorization", "Bearer "+c.token, "Tanagerspread-Deadline-Ms", "20000")...)
	if got.status == 0 {
		if !strings.Contains(got.body, net.ErrClosed.Error()) && !c.l.killedSince(node, began) {
			c.l.t.Errorf("request %s: connection to %s broke: %s", c.id, node, got.body)
		}
		return got, "", "broken"
	}
	id, class := refusalOf(got.body)
	if class == "not-run" {
		c.l.seen.Lock()
		c.l.notRun[string(id)] = true
		c.l.seen.Unlock()
	}
	if class == "" && got.status != http.StatusOK {
		c.l.t.Errorf("request %s: %+v without a refusal", c.id, got)
	}
	return got, id, class
}

func (c *exchange) idempotent(single, ok bool) {
	if !single {
		return
	}
	c.l.sent.Add(1)
	if ok {
		c.l.succeeded.Add(1)
	}
}
