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
	// Environment variables that override the seed, the number of rounds, and
	// the length of the long outage in minutes.
	longRunSeedVariable   = "LONGRUN_SEED"
	longRunRoundsVariable = "LONGRUN_ROUNDS"
	longRunOutageVariable = "LONGRUN_OUTAGE_MINUTES"
	longRunSeed           = 2
	longRunRounds         = 6
	longRunOutage         = 5

	checkInterval  = 250 * time.Millisecond
	recoveryTime   = 25 * time.Second
	leavingLimit   = 3 * time.Second
	callerCount    = 8
	maxCallerPause = 2 * time.Second
	// maxOutagePause is the pause bound of TestLongOutage; fewer requests keep
	// its real run time short.
	maxOutagePause = time.Minute
	// minIdempotentShare is the share of idempotent requests that must succeed
	// while a single fault is injected.
	minIdempotentShare = 0.9
)

// longRun is a fleet with a site of backend servers, callers, and faults that
// are injected in random order.
type longRun struct {
	*cluster
	site   *site.Site
	random *rand.Rand
	traffic
	// upcomingFaults holds the names of the faults that are injected next.
	upcomingFaults []string
	// running reports for each node whether its process runs.
	running map[string]bool
	// versions holds the version in force of each running process.
	versions map[string]config.Version
	// leaving is the engine that has been in the leaving state since
	// leavingSince, or nil; leavingRuns is the number of its runs at the last
	// check, or -1 before the first.
	leaving      *site.EngineVM
	leavingSince time.Time
	leavingRuns  int
	// listStale is true while the VM list lags or is unreachable.
	listStale bool

	// mu guards accepted, acceptedAt and applyIDs.
	mu         sync.Mutex
	accepted   config.Version
	acceptedAt time.Time
	applyIDs   map[config.Version]string
}

func envOr(name string, defaultValue uint64) uint64 {
	if value, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return value
	}
	return defaultValue
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
	for name, connection := range c.kvConnections {
		connection.Service = s.KV
		s.VMs.Set(vmlist.VM{ID: name, Address: name, PeerAddress: name + "-peer", Role: string(fleet.RoleEntryVM), State: vmlist.StateLive})
	}
	return &longRun{
		cluster: c, site: s, random: random, running: map[string]bool{}, versions: map[string]config.Version{},
		applyIDs: map[config.Version]string{}, leavingRuns: -1,
		traffic: traffic{killedAt: map[string]time.Time{}, keys: map[string]*keyedCall{}, notRun: map[string]bool{}},
	}
}

func (l *longRun) nodeNames() []string {
	return slices.Sorted(maps.Keys(l.kvConnections))
}

// advanceChecked advances the time and checks after each step the invariants
// that must hold at any time.
func (l *longRun) advanceChecked(d time.Duration) {
	for range d / checkInterval {
		advance(checkInterval)
		var ready []string
		for _, name := range l.nodeNames() {
			if l.running[name] && l.checkNode(name) {
				ready = append(ready, name)
			}
		}
		l.readyNodes.Store(&ready)
		l.checkLeaving()
	}
}

// checkNode checks the version of a node and reports whether the node is ready.
// A version is accepted only after the fence time of the nodes that do not have
// it, so no node may serve with an older version after that.
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
		l.t.Errorf("%s serves with version %d, %v after version %d was accepted", name, status.Version, time.Since(l.acceptedAt), l.accepted)
	}
	return status.State == "ready"
}

func (l *longRun) checkLeaving() {
	if l.leaving == nil || l.listStale || time.Since(l.leavingSince) < leavingLimit {
		return
	}
	runs := 0
	for _, n := range l.leaving.Engine.Counters().Runs {
		runs += n
	}
	if l.leavingRuns >= 0 && runs > l.leavingRuns {
		l.t.Errorf("%s: new work %v after it was set to leaving", l.leaving.ID, time.Since(l.leavingSince))
	}
	l.leavingRuns = runs
}

func (l *longRun) startNode(name string) {
	l.start(name)
	l.running[name] = true
	l.versions[name] = 0
}

// killNode stops a process without a planned stop.
func (l *longRun) killNode(name string) {
	l.running[name] = false
	l.recordKill(name)
	l.stops[name]()
	l.recordKill(name)
}

// applyConcurrently starts two concurrent applies of the next version.
func (l *longRun) applyConcurrently() {
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
	applied, err := l.apply(base, id)
	if err != nil {
		return
	}
	l.mu.Lock()
	if winner := l.applyIDs[applied.Version]; winner != "" && winner != id {
		l.t.Errorf("version %d was applied by %q and %q", applied.Version, winner, id)
	}
	l.applyIDs[applied.Version] = id
	l.mu.Unlock()
	acceptance, err := l.await(applied.Version, time.Minute)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && acceptance.Accepted && applied.Version > l.accepted {
		l.accepted, l.acceptedAt = applied.Version, time.Now()
	}
}

// run injects one or two faults in each round and heals them at its end.
func (l *longRun) run(rounds int) {
	for round := range rounds {
		chosen := []fault{l.nextFault()}
		if round%2 == 1 {
			chosen = append(chosen, l.nextFault())
		}
		l.runRound(chosen, time.Duration(5+l.random.IntN(25))*time.Second)
	}
}

// nextFault returns each fault once, in random order, before it repeats any.
func (l *longRun) nextFault() fault {
	if len(l.upcomingFaults) == 0 {
		l.upcomingFaults = slices.Sorted(maps.Keys(faults))
		l.random.Shuffle(len(l.upcomingFaults), func(i, j int) { l.upcomingFaults[i], l.upcomingFaults[j] = l.upcomingFaults[j], l.upcomingFaults[i] })
	}
	next := l.upcomingFaults[0]
	l.upcomingFaults = l.upcomingFaults[1:]
	return faults[next]
}

func (l *longRun) runRound(chosen []fault, length time.Duration) {
	var heals []func()
	if len(chosen) == 1 {
		l.singleFault.Store(true)
	}
	for _, f := range chosen {
		heals = append(heals, f(l))
	}
	if l.random.IntN(2) == 0 {
		l.applyConcurrently()
	}
	l.advanceChecked(length)
	l.singleFault.Store(false)
	for _, h := range heals {
		h()
	}
	l.advanceChecked(recoveryTime)
}

// checkFinalState checks the nodes after all faults have been healed, and the
// invariants over all requests.
func (l *longRun) checkFinalState() {
	for _, name := range l.nodeNames() {
		if d := l.dump(name); d.State != "ready" || d.Version != l.versions[l.nodeNames()[0]] {
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
	l.checkKeyedCalls()
	share := float64(l.idempotentSucceeded.Load()) / float64(max(l.idempotentSent.Load(), 1))
	l.t.Logf("%d nodes, %d requests, %d keys, %d replays, %d not-run refusals, version %d; single fault: %d of %d idempotent requests succeeded (%.3f)",
		len(l.kvConnections), l.total.Load(), len(l.keys), l.replays, len(l.notRun), l.accepted, l.idempotentSucceeded.Load(), l.idempotentSent.Load(), share)
	if l.idempotentSent.Load() > 0 && share < minIdempotentShare {
		l.t.Errorf("%.3f of the idempotent requests succeeded while a single fault was injected, want %v", share, minIdempotentShare)
	}
}

func (l *longRun) checkKeyedCalls() {
	runs := map[string]int{}
	for _, s := range l.site.Services {
		for digest, n := range s.Service.Runs() {
			runs[digest] += n
		}
	}
	for key, call := range l.keys {
		sum := sha256.Sum256([]byte(key))
		n := runs[hex.EncodeToString(sum[:])]
		if n > 1 || call.notRun == call.calls && n != 0 || call.response != "" && n != 1 {
			l.t.Errorf("key %s ran %d times: %+v", key, n, *call)
		}
	}
}

// withLongRun runs callers while the given function injects faults, and checks
// the final state.
func withLongRun(t *testing.T, pause time.Duration, faults func(l *longRun)) {
	synctest.Test(t, func(t *testing.T) {
		seed := envOr(longRunSeedVariable, longRunSeed)
		l := newLongRun(t, seed)
		l.maxPause = pause
		l.mustApply(0, "first")
		for _, name := range l.nodeNames() {
			l.startNode(name)
		}
		l.advanceChecked(5 * time.Second)
		ctx, stop := context.WithCancel(l.ctx)
		var callers sync.WaitGroup
		for i := range callerCount {
			callers.Go(func() { l.runCaller(ctx, l, i, rand.New(rand.NewPCG(seed, uint64(i)+2))) })
		}
		faults(l)
		stop()
		callers.Wait()
		l.advanceChecked(recoveryTime)
		l.checkFinalState()
	})
}

// TestLongRun guards against single faults and pairs of faults that violate an
// invariant of the design page.
func TestLongRun(t *testing.T) {
	withLongRun(t, maxCallerPause, func(l *longRun) {
		l.run(int(envOr(longRunRoundsVariable, longRunRounds)))
	})
}

// TestLongOutage guards against a fleet that fails during a long outage of the
// key-value service.
func TestLongOutage(t *testing.T) {
	withLongRun(t, maxOutagePause, func(l *longRun) {
		minutes := envOr(longRunOutageVariable, longRunOutage)
		l.runRound([]fault{faults["key-value service away"]}, time.Duration(minutes)*time.Minute)
	})
}

// traffic holds the requests of the callers and their responses.
type traffic struct {
	readyNodes  atomic.Pointer[[]string]
	singleFault atomic.Bool
	// maxPause bounds the random pause of a caller between two requests.
	maxPause time.Duration

	// total counts all requests; the other two count the idempotent requests
	// that were sent while a single fault was injected.
	total, idempotentSent, idempotentSucceeded atomic.Int64

	trafficMu sync.Mutex
	killedAt  map[string]time.Time
	keys      map[string]*keyedCall
	notRun    map[string]bool
	replays   int
}

// keyedCall holds the calls with one idempotency key: all of them, those that
// were refused as not run, and the first response.
type keyedCall struct {
	calls, notRun int
	response      string
}

func (x *traffic) recordKill(name string) {
	x.trafficMu.Lock()
	defer x.trafficMu.Unlock()
	x.killedAt[name] = time.Now()
}

func (x *traffic) killedSince(name string, startedAt time.Time) bool {
	x.trafficMu.Lock()
	defer x.trafficMu.Unlock()
	return !x.killedAt[name].Before(startedAt)
}

// runCaller sends the requests of one caller sequentially until the context is
// cancelled.
func (x *traffic) runCaller(ctx context.Context, l *longRun, caller int, random *rand.Rand) {
	token := []string{"secret", "second secret"}[caller%2]
	for i := 0; ctx.Err() == nil; i++ {
		c := callerRequest{l: l, id: fmt.Sprintf("%d-%d", caller, i), token: token, random: random}
		switch random.IntN(4) {
		case 0:
			c.callLookup()
		case 1:
			c.callLodgement()
		case 2:
			c.complete(true)
		default:
			c.complete(false)
		}
		time.Sleep(time.Duration(random.Int64N(int64(x.maxPause))))
	}
}

// callerRequest is one request of a caller.
type callerRequest struct {
	l      *longRun
	id     string
	token  string
	random *rand.Rand
}

// send sends the request to a random ready node. It returns the execution class
// of a refusal, "not-sent" when no node is ready, "broken" when the connection
// broke, and an empty class for a response. A connection may break only when
// its node was killed.
func (c *callerRequest) send(method, path, body string, header ...string) (result, request.ID, string) {
	nodes := *c.l.readyNodes.Load()
	if len(nodes) == 0 {
		return result{}, "", "not-sent"
	}
	node := nodes[c.random.IntN(len(nodes))]
	startedAt := time.Now()
	c.l.total.Add(1)
	got := c.l.send(method, node, path, body, append(header, "Authorization", "Bearer "+c.token, "Tanagerspread-Deadline-Ms", "20000")...)
	if got.status == 0 {
		if !strings.Contains(got.body, net.ErrClosed.Error()) && !c.l.killedSince(node, startedAt) {
			c.l.t.Errorf("request %s: connection to %s broke: %s", c.id, node, got.body)
		}
		return got, "", "broken"
	}
	id, class := refusalOf(got.body)
	if class == "not-run" {
		c.l.trafficMu.Lock()
		c.l.notRun[string(id)] = true
		c.l.trafficMu.Unlock()
	}
	if class == "" && got.status != http.StatusOK {
		c.l.t.Errorf("request %s: %+v without a refusal", c.id, got)
	}
	return got, id, class
}

func (c *callerRequest) countIdempotent(singleFault, ok bool) {
	if !singleFault {
		return
	}
	c.l.idempotentSent.Add(1)
	if ok {
		c.l.idempotentSucceeded.Add(1)
	}
}
