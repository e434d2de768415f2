package orders_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/chart"
	protocol "tanagerspread/client/engine"
	kvclient "tanagerspread/client/kv"
	"tanagerspread/client/weights"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/order"
	"tanagerspread/node/orders"
	"tanagerspread/standin/engine"
	"tanagerspread/standin/kv"
	"tanagerspread/standin/pipe"
	weightstore "tanagerspread/standin/weights"
)

const (
	nodeCount   = 3
	engineCount = 6
)

var models = []string{"entry-text", "entry-review"}

// history records the orders and loads of all engines. The mutex guards it.
type history struct {
	mu sync.Mutex
	// newestFencing is the highest fencing number of the orders that each engine
	// accepted.
	newestFencing map[string]uint64
	// arrivals is the time when each order last arrived, by engine and order.
	arrivals    map[string]map[string]time.Time
	violations  []string
	activeLoads map[string]int
	maxLoading  int
}

func (h *history) recordArrival(id, orderID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.arrivals[id] == nil {
		h.arrivals[id] = map[string]time.Time{}
	}
	h.arrivals[id][orderID] = time.Now()
}

// recordAccepted records a violation when an engine accepts an order of an
// earlier lease holder after one of a later holder.
func (h *history) recordAccepted(id string, order protocol.Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if order.Fencing < h.newestFencing[id] {
		h.violations = append(h.violations, fmt.Sprintf("engine %s accepted order %s with fencing number %d after one with %d", id, order.ID, order.Fencing, h.newestFencing[id]))
	}
	h.newestFencing[id] = max(h.newestFencing[id], order.Fencing)
}

// checkOneOrderPerEngine checks that a lost call did not cause a second order.
func (s *testSite) checkOneOrderPerEngine() {
	s.t.Helper()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for id, arrivals := range s.history.arrivals {
		if len(arrivals) != 1 {
			s.t.Errorf("engine %s got %d orders, want 1", id, len(arrivals))
		}
	}
}

// arrivalsSince returns the number of orders that arrived after a time.
func (h *history) arrivalsSince(since time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, times := range h.arrivals {
		for _, at := range times {
			if at.After(since) {
				count++
			}
		}
	}
	return count
}

// countingLoader loads weights for one engine and counts the engines that load
// concurrently.
type countingLoader struct {
	*history
	id    string
	store *weightstore.Store
}

func (l countingLoader) Load(ctx context.Context, name weights.Name) *code.Error {
	l.count(1)
	defer l.count(-1)
	return l.store.Load(ctx, name)
}

func (l countingLoader) count(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activeLoads[l.id] += change
	enginesLoading := 0
	for _, n := range l.activeLoads {
		if n > 0 {
			enginesLoading++
		}
	}
	l.maxLoading = max(l.maxLoading, enginesLoading)
}

// testEngine is an engine whose orders are recorded and whose calls can be
// dropped.
type testEngine struct {
	*engine.Engine
	id            string
	model         string
	dropRequests  atomic.Int64
	dropResponses atomic.Int64
}

// testNode is one node whose process can be paused.
type testNode struct {
	id     string
	inbox  chan control.Message
	state  *control.State
	cancel context.CancelFunc
	mu     sync.Mutex
	// resumed is nil while the process runs. While it is paused, resumed is a
	// channel that is closed when the process is resumed.
	resumed chan struct{}
	// pauseBeforeSend pauses the process once, between the decision to send an
	// order and the call.
	pauseBeforeSend atomic.Bool
}

// tickInterval is longer than the tick interval of a node's control thread, so
// that hours of virtual time take little real time.
const tickInterval = 200 * time.Millisecond

// dumpOrders asks a node for the dump of its orders.
type dumpOrders struct {
	control.Tick
	reply chan control.OrdersDump
}

// Tell queues a message for the control state.
func (n *testNode) Tell(message control.Message) bool {
	select {
	case n.inbox <- message:
		return true
	default:
		return false
	}
}

// run is the goroutine that owns the control state.
func (n *testNode) run(ctx context.Context, workers *orders.Workers) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var message control.Message = control.Tick{}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case message = <-n.inbox:
		}
		n.waitWhilePaused(ctx)
		n.handle(ctx, message, workers)
	}
}

func (n *testNode) handle(ctx context.Context, message control.Message, workers *orders.Workers) {
	dump, isDump := message.(dumpOrders)
	if isDump {
		message = control.DumpState{}
	}
	output := n.state.Handle(time.Now(), message)
	for _, command := range output.Commands {
		if _, isSend := command.(control.SendOrder); isSend && n.pauseBeforeSend.Swap(false) {
			n.pause()
		}
		n.waitWhilePaused(ctx)
		workers.Submit(command)
	}
	if isDump {
		dump.reply <- output.Replies[0].Decision.(control.Dump).Orders
	}
}

func (n *testNode) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
	}
}

func (n *testNode) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

// waitWhilePaused blocks a goroutine of the node while its process is paused.
func (n *testNode) waitWhilePaused(ctx context.Context) {
	n.mu.Lock()
	resumed := n.resumed
	n.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-ctx.Done():
		}
	}
}

// failer is implemented by tests and rapid checks.
type failer interface {
	Helper()
	Error(args ...any)
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Context() context.Context
	Cleanup(f func())
}

type testSite struct {
	t               failer
	ctx             context.Context
	network         *pipe.Network
	kv              *kv.Store
	store           *weightstore.Store
	history         *history
	engines         []*testEngine
	nodes           []*testNode
	configVersion   config.Version
	adapter         string
	role            string
	copyOnce        sync.Once
	copyBeforeClaim kv.Snapshot
	unlisted        map[string]bool
	leaving         map[string]bool
}

// siteOptions are the options of a test site.
type siteOptions struct {
	engines       int
	models        int
	ignoreFencing bool
	// loadTime is the minimum duration of one load; 0 means one second.
	loadTime time.Duration
}

func startSite(t failer, options siteOptions) *testSite {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &testSite{
		t: t, ctx: ctx, network: pipe.NewNetwork(), kv: kv.NewStore(kv.Options{}),
		store:    weightstore.New(weightstore.Options{LoadTime: cmp.Or(options.loadTime, time.Second), FullSpeedLoads: 2}),
		history:  &history{newestFencing: map[string]uint64{}, arrivals: map[string]map[string]time.Time{}, activeLoads: map[string]int{}},
		unlisted: map[string]bool{}, leaving: map[string]bool{},
	}
	for i := range options.engines {
		s.startEngine(fmt.Sprintf("e%d", i), models[i%options.models], options.ignoreFencing)
	}
	for i := range nodeCount {
		s.startNode(fmt.Sprintf("n%d", i))
	}
	t.Cleanup(func() {
		cancel()
		for _, n := range s.nodes {
			n.resume()
		}
	})
	s.setWeightVersion(1)
	s.sendVMList()
	return s
}

func (s *testSite) startEngine(id, model string, ignoreFencing bool) {
	e := &testEngine{id: id, model: model, Engine: engine.New(s.ctx, engine.Options{
		Initial:       protocol.Desired{Model: model, Weights: 1, Role: "mixed"},
		Loader:        countingLoader{history: s.history, id: id, store: s.store},
		IgnoreFencing: ignoreFencing,
	})}
	s.engines = append(s.engines, e)
	server := &http.Server{Handler: s.recordOrders(e)}
	go func() { _ = server.Serve(s.network.Listen(id + ":80")) }()
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
}

// recordOrders returns a handler that records the orders of an engine and drops
// requests and responses as the test configures.
func (s *testSite) recordOrders(e *testEngine) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			e.Handler().ServeHTTP(w, r)
			return
		}
		data, _ := io.ReadAll(r.Body)
		var received protocol.Order
		_ = json.Unmarshal(data, &received)
		s.history.recordArrival(e.id, received.ID)
		if e.dropRequests.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		reply := httptest.NewRecorder()
		e.Handler().ServeHTTP(reply, r)
		if reply.Code == http.StatusOK {
			s.history.recordAccepted(e.id, received)
		}
		if e.dropResponses.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(reply.Code)
		_, _ = w.Write(reply.Body.Bytes())
	})
}

func (s *testSite) startNode(id string) {
	ctx, cancel := context.WithCancel(s.ctx)
	n := &testNode{id: id, cancel: cancel, inbox: make(chan control.Message, 100)}
	var err error
	n.state, err = control.New(control.Options{
		Node: id, Charts: chart.Embedded(), ServerSlots: 4, MayIssueOrders: true,
		Checker: invariant.NewChecker(func(v *invariant.Violation) { panic(v) }),
	}, time.Now())
	if err != nil {
		s.t.Fatal(err)
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		n.waitWhilePaused(ctx)
		return s.network.Dial(ctx, network, address)
	}
	workers := orders.New(orders.Options{
		Control: n, Service: &pausableService{Service: s.kv, node: n, site: s}, LeaseTime: order.OwnParameters().LeaseTTL, Engines: orders.OwnEngines{Dial: dial}, Logger: logr.Discard(),
	})
	go n.run(ctx, workers)
	go workers.Run(ctx)
	s.nodes = append(s.nodes, n)
}

// pausableService is the key-value service as seen by a node whose process can
// be paused.
type pausableService struct {
	kvclient.Service
	node *testNode
	site *testSite
}

// Put copies the service before the first write, when the lease exists and the
// key does not.
func (p *pausableService) Put(ctx context.Context, write kvclient.Write) (kvclient.Revision, *code.Error) {
	p.site.copyOnce.Do(func() { p.site.copyBeforeClaim = p.site.kv.Snapshot() })
	return p.Service.Put(ctx, write)
}

func (p *pausableService) Renew(ctx context.Context, lease kvclient.LeaseID) *code.Error {
	p.node.waitWhilePaused(ctx)
	err := p.Service.Renew(ctx, lease)
	p.node.waitWhilePaused(ctx)
	return err
}

// setWeightVersion sends all nodes a configuration that wants a weight version
// for each model.
func (s *testSite) setWeightVersion(version int) {
	s.configVersion++
	rules := &config.Rules{Models: map[string]config.Model{}}
	for _, e := range s.engines {
		rules.Models[e.model] = config.Model{Weights: version, Adapter: s.adapter, Role: s.role}
	}
	for _, n := range s.nodes {
		n.Tell(control.Configure{Version: s.configVersion, Rules: rules})
	}
}

// sendVMList sends the VM list to all nodes.
func (s *testSite) sendVMList() {
	var vms []control.VM
	for _, e := range s.engines {
		if !s.unlisted[e.id] {
			vms = append(vms, control.VM{
				ID: e.id, Address: e.id + ":80", Role: fleet.RoleEngine, Serves: e.model, Weights: s.currentWeights(e), Leaving: s.leaving[e.id],
			})
		}
	}
	for _, n := range s.nodes {
		n.Tell(control.VMList{VMs: vms})
	}
}

// status returns the state of an engine, read directly. It is the zero status
// when the engine has crashed.
func (s *testSite) status(e *testEngine) (status protocol.Status) {
	defer func() { _ = recover() }()
	ctx, cancel := context.WithTimeout(s.ctx, time.Millisecond)
	defer cancel()
	reply := httptest.NewRecorder()
	e.Handler().ServeHTTP(reply, httptest.NewRequestWithContext(ctx, http.MethodGet, protocol.PathOrders, nil))
	_ = json.Unmarshal(reply.Body.Bytes(), &status)
	return status
}

func (s *testSite) currentWeights(e *testEngine) int {
	return s.status(e).Current.Weights
}

// advance lets time pass and sends the VM list every two seconds.
func (s *testSite) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(2 * time.Second)
		s.sendVMList()
	}
}

// waitFor lets time pass until the condition is true, and fails the test after
// the limit.
func (s *testSite) waitFor(what string, limit time.Duration, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !condition(); {
		if time.Now().After(end) {
			s.t.Fatalf("did not reach within %s: %s; %s", limit, what, s.describeOrders())
		}
		time.Sleep(100 * time.Millisecond)
		if time.Now().UnixMilli()%2000 < 100 {
			s.sendVMList()
		}
	}
}

func (s *testSite) describeOrders() string {
	text := ""
	for _, n := range s.nodes {
		text += fmt.Sprintf("%s %+v\n", n.id, s.ordersOf(n))
	}
	return text
}

// ordersOf returns the dump of a node's orders, or the zero dump while the node
// is paused.
func (s *testSite) ordersOf(n *testNode) control.OrdersDump {
	dump := dumpOrders{reply: make(chan control.OrdersDump, 1)}
	n.Tell(dump)
	synctest.Wait()
	select {
	case dump := <-dump.reply:
		return dump
	default:
		return control.OrdersDump{}
	}
}

// issuer returns the first node in an issuing state, or nil.
func (s *testSite) issuer() *testNode {
	for _, n := range s.nodes {
		if d := s.ordersOf(n); d.State == "issuing" || d.State == "renewing" {
			return n
		}
	}
	return nil
}

// loadingEngine returns the first engine that is loading weights, or nil.
func (s *testSite) loadingEngine() *testEngine {
	for _, e := range s.engines {
		if s.status(e).OrderState == protocol.OrderLoading {
			return e
		}
	}
	return nil
}

func (s *testSite) allEnginesAt(version int) bool {
	for _, e := range s.engines {
		if s.currentWeights(e) != version && !s.unlisted[e.id] && !s.leaving[e.id] {
			return false
		}
	}
	return true
}

// checkRolloutFinishes waits until all engines have the wanted version and
// checks the history.
func (s *testSite) checkRolloutFinishes(version int) {
	s.t.Helper()
	s.waitFor(fmt.Sprintf("all engines at version %d", version), 20*time.Minute, func() bool { return s.allEnginesAt(version) })
	s.checkHistory()
}

func (s *testSite) checkHistory() {
	s.t.Helper()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for _, fault := range s.history.violations {
		s.t.Error(fault)
	}
	if s.history.maxLoading > order.OwnParameters().MaxLoads {
		s.t.Errorf("%d engines loaded at once", s.history.maxLoading)
	}
}

var _ weights.Loader = countingLoader{}
