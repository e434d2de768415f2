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
	platform "tanagerspread/client/kv"
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

// history is what all engines together saw. The mutex guards it.
type history struct {
	mu sync.Mutex
	// newest is the fencing number of the newest order that each engine took.
	newest map[string]uint64
	// orders holds when each order arrived, by engine and order.
	orders  map[string]map[string]time.Time
	faults  []string
	loading map[string]int
	most    int
}

func (h *history) noteArrival(id, orderID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orders[id] == nil {
		h.orders[id] = map[string]time.Time{}
	}
	h.orders[id][orderID] = time.Now()
}

// noteTaken checks that an engine takes no order of an older holder after one
// of a newer holder.
func (h *history) noteTaken(id string, order protocol.Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if order.Fencing < h.newest[id] {
		h.faults = append(h.faults, fmt.Sprintf("engine %s took order %s with %d after %d", id, order.ID, order.Fencing, h.newest[id]))
	}
	h.newest[id] = max(h.newest[id], order.Fencing)
}

// checkOneOrder checks that a lost call led to no second order.
func (s *testSite) checkOneOrder() {
	s.t.Helper()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for id, sent := range s.history.orders {
		if len(sent) != 1 {
			s.t.Errorf("engine %s got %d orders", id, len(sent))
		}
	}
}

// sentSince counts the orders that arrived after a time.
func (h *history) sentSince(since time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, times := range h.orders {
		for _, at := range times {
			if at.After(since) {
				count++
			}
		}
	}
	return count
}

// loader counts the engines that load at the same time.
type loader struct {
	*history
	id    string
	store *weightstore.Store
}

func (l loader) Load(ctx context.Context, name weights.Name) *code.Error {
	l.count(1)
	defer l.count(-1)
	return l.store.Load(ctx, name)
}

func (l loader) count(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loading[l.id] += change
	busy := 0
	for _, n := range l.loading {
		if n > 0 {
			busy++
		}
	}
	l.most = max(l.most, busy)
}

// backend is one engine with its recording front.
type backend struct {
	*engine.Engine
	id            string
	model         string
	loseRequests  atomic.Int64
	loseResponses atomic.Int64
}

// testNode is one node whose process can be paused.
type testNode struct {
	id     string
	inbox  chan control.Message
	state  *control.State
	cancel context.CancelFunc
	mu     sync.Mutex
	// paused is nil, or closed when the process goes on.
	paused chan struct{}
	// pauseOnSend pauses the process between the decision to send an order
	// and the sending.
	pauseOnSend atomic.Bool
}

// tickInterval is longer than that of the control thread of a node, which
// makes hours of virtual time affordable.
const tickInterval = 200 * time.Millisecond

// askDump is answered by the orders of the node.
type askDump struct {
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
		n.gate(ctx)
		n.handle(ctx, message, workers)
	}
}

func (n *testNode) handle(ctx context.Context, message control.Message, workers *orders.Workers) {
	ask, asked := message.(askDump)
	if asked {
		message = control.DumpState{}
	}
	output := n.state.Handle(time.Now(), message)
	for _, command := range output.Commands {
		if _, sends := command.(control.SendOrder); sends && n.pauseOnSend.Swap(false) {
			n.pause()
		}
		n.gate(ctx)
		workers.Do(command)
	}
	if asked {
		ask.reply <- output.Replies[0].Decision.(control.Dump).Orders
	}
}

func (n *testNode) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused == nil {
		n.paused = make(chan struct{})
	}
}

func (n *testNode) wake() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
	}
}

// gate holds a goroutine of the node while its process is paused.
func (n *testNode) gate(ctx context.Context) {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		}
	}
}

// failer is a test or one check of rapid.
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
	t        failer
	ctx      context.Context
	network  *pipe.Network
	kv       *kv.Store
	store    *weightstore.Store
	history  *history
	backends []*backend
	nodes    []*testNode
	version  config.Version
	adapter  string
	role     string
	copyOnce sync.Once
	granted  kv.Snapshot
	unlisted map[string]bool
	leaving  map[string]bool
}

// siteOptions chooses what differs between tests.
type siteOptions struct {
	engines       int
	models        int
	ignoreFencing bool
	// loadTime is the least time of one load; 0 means one second.
	loadTime time.Duration
}

func startSite(t failer, options siteOptions) *testSite {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &testSite{
		t: t, ctx: ctx, network: pipe.NewNetwork(), kv: kv.NewStore(kv.Options{}),
		store:    weightstore.New(weightstore.Options{LoadTime: cmp.Or(options.loadTime, time.Second), FullSpeedLoads: 2}),
		history:  &history{newest: map[string]uint64{}, orders: map[string]map[string]time.Time{}, loading: map[string]int{}},
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
			n.wake()
		}
	})
	s.want(1)
	s.list()
	return s
}

func (s *testSite) startEngine(id, model string, ignoreFencing bool) {
	b := &backend{id: id, model: model, Engine: engine.New(s.ctx, engine.Options{
		Initial:       protocol.Desired{Model: model, Weights: 1, Role: "mixed"},
		Loader:        loader{history: s.history, id: id, store: s.store},
		IgnoreFencing: ignoreFencing,
	})}
	s.backends = append(s.backends, b)
	server := &http.Server{Handler: s.record(b)}
	go func() { _ = server.Serve(s.network.Listen(id + ":80")) }()
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
}

// record notes the orders of an engine and loses calls on demand.
func (s *testSite) record(b *backend) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			b.Handler().ServeHTTP(w, r)
			return
		}
		data, _ := io.ReadAll(r.Body)
		var sent protocol.Order
		_ = json.Unmarshal(data, &sent)
		s.history.noteArrival(b.id, sent.ID)
		if b.loseRequests.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		reply := httptest.NewRecorder()
		b.Handler().ServeHTTP(reply, r)
		if reply.Code == http.StatusOK {
			s.history.noteTaken(b.id, sent)
		}
		if b.loseResponses.Add(-1) >= 0 {
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
		n.gate(ctx)
		return s.network.Dial(ctx, network, address)
	}
	workers := orders.New(orders.Options{
		Control: n, Service: &pausedService{Service: s.kv, node: n, site: s}, LeaseTime: order.OwnParameters().LeaseTTL, Engines: orders.OwnEngines{Dial: dial}, Logger: logr.Discard(),
	})
	go n.run(ctx, workers)
	go workers.Run(ctx)
	s.nodes = append(s.nodes, n)
}

// pausedService is the key-value service as a node sees it whose process can
// be paused.
type pausedService struct {
	platform.Service
	node *testNode
	site *testSite
}

// Put copies the service while the lease exists and the key does not.
func (p *pausedService) Put(ctx context.Context, write platform.Write) (platform.Revision, *code.Error) {
	p.site.copyOnce.Do(func() { p.site.granted = p.site.kv.Snapshot() })
	return p.Service.Put(ctx, write)
}

func (p *pausedService) Renew(ctx context.Context, lease platform.LeaseID) *code.Error {
	p.node.gate(ctx)
	err := p.Service.Renew(ctx, lease)
	p.node.gate(ctx)
	return err
}

// want puts a configuration with a weight version into force.
func (s *testSite) want(version int) {
	s.version++
	rules := &config.Rules{Models: map[string]config.Model{}}
	for _, b := range s.backends {
		rules.Models[b.model] = config.Model{Weights: version, Adapter: s.adapter, Role: s.role}
	}
	for _, n := range s.nodes {
		n.Tell(control.Configure{Version: s.version, Rules: rules})
	}
}

// list sends the VM list to all nodes.
func (s *testSite) list() {
	var vms []control.VM
	for _, b := range s.backends {
		if !s.unlisted[b.id] {
			vms = append(vms, control.VM{
				ID: b.id, Address: b.id + ":80", Role: fleet.RoleEngine, Serves: b.model, Weights: s.current(b), Leaving: s.leaving[b.id],
			})
		}
	}
	for _, n := range s.nodes {
		n.Tell(control.VMList{VMs: vms})
	}
}

// status reads an engine without any node. A dead engine has no status.
func (s *testSite) status(b *backend) (status protocol.Status) {
	defer func() { _ = recover() }()
	ctx, cancel := context.WithTimeout(s.ctx, time.Millisecond)
	defer cancel()
	reply := httptest.NewRecorder()
	b.Handler().ServeHTTP(reply, httptest.NewRequestWithContext(ctx, http.MethodGet, protocol.PathOrders, nil))
	_ = json.Unmarshal(reply.Body.Bytes(), &status)
	return status
}

func (s *testSite) current(b *backend) int {
	return s.status(b).Current.Weights
}

// run lets time pass, with the VM list every two seconds.
func (s *testSite) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(2 * time.Second)
		s.list()
	}
}

// until lets time pass until a condition holds.
func (s *testSite) until(what string, limit time.Duration, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !condition(); {
		if time.Now().After(end) {
			s.t.Fatalf("not within %s: %s; %s", limit, what, s.describe())
		}
		time.Sleep(100 * time.Millisecond)
		if time.Now().UnixMilli()%2000 < 100 {
			s.list()
		}
	}
}

func (s *testSite) describe() string {
	text := ""
	for _, n := range s.nodes {
		text += fmt.Sprintf("%s %+v\n", n.id, s.dump(n))
	}
	return text
}

// dump returns the orders of a node that is not paused.
func (s *testSite) dump(n *testNode) control.OrdersDump {
	ask := askDump{reply: make(chan control.OrdersDump, 1)}
	n.Tell(ask)
	synctest.Wait()
	select {
	case dump := <-ask.reply:
		return dump
	default:
		return control.OrdersDump{}
	}
}

// issuer returns the node that issues orders, or nil.
func (s *testSite) issuer() *testNode {
	for _, n := range s.nodes {
		if d := s.dump(n); d.State == "issuing" || d.State == "renewing" {
			return n
		}
	}
	return nil
}

// loadingEngine returns an engine that loads weights, or nil.
func (s *testSite) loadingEngine() *backend {
	for _, b := range s.backends {
		if s.status(b).OrderState == protocol.OrderLoading {
			return b
		}
	}
	return nil
}

func (s *testSite) allAt(version int) bool {
	for _, b := range s.backends {
		if s.current(b) != version && !s.unlisted[b.id] && !s.leaving[b.id] {
			return false
		}
	}
	return true
}

// finish waits for the wanted version and checks the history.
func (s *testSite) finish(version int) {
	s.t.Helper()
	s.until(fmt.Sprintf("all engines at version %d", version), 20*time.Minute, func() bool { return s.allAt(version) })
	s.check()
}

func (s *testSite) check() {
	s.t.Helper()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for _, fault := range s.history.faults {
		s.t.Error(fault)
	}
	if s.history.most > order.OwnParameters().MaxLoads {
		s.t.Errorf("%d engines loaded at once", s.history.most)
	}
}

var _ weights.Loader = loader{}
