// Package runtime assembles one node from the control thread and the
// goroutines that handle traffic.
package runtime

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/client/kv"
	"tanagerspread/client/wire"
	corecallerconn "tanagerspread/core/callerconn"
	corecontrol "tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/invariant"
	"tanagerspread/core/order"
	"tanagerspread/node/blocks"
	"tanagerspread/node/caches"
	"tanagerspread/node/callerconn"
	"tanagerspread/node/control"
	"tanagerspread/node/egress"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/forward"
	"tanagerspread/node/ingress"
	"tanagerspread/node/memory"
	"tanagerspread/node/metrics"
	"tanagerspread/node/once"
	"tanagerspread/node/orders"
)

const (
	// headerTimeout bounds the wait for a caller's request headers.
	headerTimeout = 10 * time.Second
	// bodyTimeout bounds the time to read a caller's request with its body.
	bodyTimeout = 60 * time.Second
	// maxHeaderBytes bounds the headers of a caller's request.
	maxHeaderBytes = 32 << 10
)

// Options configures a node.
type Options struct {
	Control  corecontrol.Options
	Listener net.Listener
	Dial     egress.Dialer
	// Recorder stores the at-most-once records; with nil they are stored in
	// KeyValue.
	Recorder ingress.Recorder
	KeyValue kv.Service
	Logger   logr.Logger
	// Metrics collects the metrics of the node; nil disables them.
	Metrics *metrics.Metrics
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int64
	// Budget is the memory that callers and the responses to forwarded calls may
	// use, Unread the bytes of their connections that are not read yet, and
	// MaxConnections the number of connections of callers. With nil they have no bound.
	Budget         *memory.Budget
	Unread         *memory.Budget
	MaxConnections int
	// Fleet connects the node to the platform and to its peers. With nil the
	// node serves with the configuration that control messages set.
	Fleet *Fleet
	// OrderService is the key-value service that elects the issuer of orders to
	// engines; with nil the node never becomes the issuer.
	OrderService kv.Service
	// Engines makes the management calls to engines; with nil the protocol of
	// the product's own engines is used.
	Engines orders.Engines
	// Caches returns the client of the cache store or engine at an address, for
	// forwarded calls; nil when the node forwards none.
	Caches func(address string) caches.Client
	// Protocol is the protocol of forwarded calls; with nil the node serves the
	// product's own interface.
	Protocol forward.Protocol
	// Readiness accepts the readiness checks of the load balancer when they
	// have a separate listener, or is nil.
	Readiness net.Listener
	// Suspended returns for how long the machine has been suspended since the process
	// started; nil means that it never is.
	Suspended func() time.Duration
}

// Node is one node. Run starts it.
type Node struct {
	options  Options
	loop     *control.Loop
	front    *ingress.Frontend
	exporter *blocks.Exporter
	orders   *orders.Workers
	caches   *caches.Followers
	stopped  chan struct{}
	// drainedAt is when Drain was called first, or nil.
	drainedAt atomic.Pointer[time.Time]
	// callers accepts the connections of callers within Options.Budget, or is nil.
	callers *callerconn.Listener
	fleet   *fleetComponents
	// stopRecorder cancels the background writes of at-most-once records.
	stopRecorder context.CancelFunc
}

// New returns a node that has not been started. It returns an error when a
// chart cannot be loaded.
func New(options Options) (*Node, error) {
	n := &Node{options: options, stopped: make(chan struct{}), stopRecorder: func() {}}
	options.Control.Agents = options.Fleet != nil
	options.Control.Checker = invariant.NewChecker(n.reportViolation)
	options.Control.MayIssueOrders = options.OrderService != nil
	state, err := corecontrol.New(options.Control, time.Now())
	if err != nil {
		return nil, fmt.Errorf("new node: %w", err)
	}
	n.loop = control.NewLoop(state, n.execute, options.Suspended)
	n.exporter = blocks.NewExporter(n.loop, wire.Dialer(options.Dial))
	recorder := options.Recorder
	if recorder == nil {
		recorder = n.newRecorder()
	}
	client := egress.NewClient(options.Dial)
	n.front = ingress.NewFrontend(ingress.Options{
		Importer:     blocks.NewImporter(n.loop, wire.Dialer(options.Dial)),
		Control:      options.Metrics.Observe(n.loop),
		Egress:       client,
		Recorder:     recorder,
		Logger:       options.Logger,
		Observer:     options.Metrics,
		Checker:      options.Control.Checker,
		MaxBodyBytes: options.MaxBodyBytes,
		Protocol:     options.Protocol,
		Budget:       options.Budget,
		Unread:       options.Unread,
	})
	if options.Budget != nil {
		n.callers = callerconn.NewListener(options.Listener, callerconn.Options{Budget: options.Budget, Unread: options.Unread, MaxConnections: options.MaxConnections})
	}
	n.orders = newOrderWorkers(n.loop, options)
	if options.Fleet != nil {
		n.fleet = newFleetComponents(n.loop, options)
	}
	n.newCacheFollowers()

	return n, nil
}

// newCacheFollowers creates the followers of cache stores and engines. Peers may
// copy the event feeds that they follow.
func (n *Node) newCacheFollowers() {
	options := caches.Options{Control: n.loop, Logger: n.options.Logger, Connect: n.options.Caches}
	if n.fleet != nil {
		options.Peers = n.fleet.client
	}
	n.caches = caches.New(options)
	if n.fleet != nil {
		n.fleet.server.Feeds = n.caches.Feeds()
	}
}

func newOrderWorkers(loop *control.Loop, options Options) *orders.Workers {
	parameters := options.Control.OrderParameters
	if parameters.LeaseTTL == 0 {
		parameters = order.OwnParameters()
	}
	engines := options.Engines
	if engines == nil {
		engines = orders.OwnEngines{Dial: wire.Dialer(options.Dial)}
	}
	return orders.New(orders.Options{
		Control:   loop,
		Service:   options.OrderService,
		LeaseTime: parameters.LeaseTTL,
		Engines:   engines,
		Logger:    options.Logger,
	})
}

// newRecorder returns a recorder that stores records in the key-value service.
// Its background writes are cancelled when Run returns.
func (n *Node) newRecorder() ingress.Recorder {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopRecorder = cancel
	return once.New(ctx, once.Options{
		Control: n.loop,
		Service: n.options.KeyValue,
		Node:    n.options.Control.Node,
		Logger:  n.options.Logger,
	})
}

// Control returns the control thread of the node.
func (n *Node) Control() *control.Loop {
	return n.loop
}

// Drain starts the planned stop of the node and does not wait for it.
func (n *Node) Drain() {
	now := time.Now()
	n.drainedAt.CompareAndSwap(nil, &now)
	n.loop.Tell(corecontrol.Drain{})
}

// Run serves until the node has stopped or the context is cancelled. A planned
// stop, which Drain starts, interrupts no request in progress.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.stopRecorder()
	go n.loop.Run(ctx)
	go n.exporter.Run(ctx)
	if n.fleet != nil {
		fleetDone := n.fleet.start(ctx)
		defer func() {
			cancel()
			<-fleetDone
		}()
	}
	go n.orders.Run(ctx)
	go n.caches.Run(ctx)
	server := &http.Server{
		Handler:           n.front.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		MaxHeaderBytes:    maxHeaderBytes,

		// net/http would respond to "OPTIONS *" with a 200 that no server sealed.
		DisableGeneralOptionsHandler: true,
	}
	listener := n.callerListener(ctx, server)
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- server.Serve(listener) }()
	if n.options.Readiness != nil {
		readinessServer := &http.Server{Handler: n.front.Readiness(), ReadTimeout: bodyTimeout, WriteTimeout: bodyTimeout}
		defer func() { _ = readinessServer.Close() }()
		readiness := callerconn.Manage(ctx, readinessServer, n.options.Readiness)
		go func() { serveErrors <- readinessServer.Serve(readiness) }()
	}
	eventlog.Write(n.options.Logger, event.NodeStarted, nil,
		"node", n.options.Control.Node, "domain", string(n.options.Control.Domain), "listen", n.options.Listener.Addr().String())
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
		return errors.Join(ctx.Err(), server.Close())
	case <-n.stopped:
		err := n.shutdown(ctx, server)
		eventlog.Write(n.options.Logger, event.NodeStopped, err)
		return err
	}
}

// shutdownMargin is the time between the end of a planned stop and that of the grace of the
// process, after which it is killed.
const shutdownMargin = 250 * time.Millisecond

// shutdown waits until the responses have been read by their callers. Connections without
// progress are closed, and all others before the grace of the process ends.
func (n *Node) shutdown(ctx context.Context, server *http.Server) error {
	if n.callers != nil {
		n.callers.Drain()
	}
	drainedAt, grace := n.drainedAt.Load(), n.options.Control.StopGrace
	if drainedAt == nil || grace <= 0 {
		return server.Shutdown(ctx)
	}
	graceContext, cancel := context.WithDeadline(ctx, drainedAt.Add(grace-shutdownMargin))
	defer cancel()
	err := server.Shutdown(graceContext)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return server.Close()
	}
	return err
}

// callerListener returns the listener of callers. With a budget, it enforces the limits of
// the server until the context ends.
func (n *Node) callerListener(ctx context.Context, server *http.Server) net.Listener {
	if n.callers == nil {
		return n.options.Listener
	}
	callerconn.Attach(server)
	go n.callers.Run(ctx)
	return n.callers
}

// execute runs a command of the control thread without blocking that thread.
func (n *Node) execute(command corecontrol.Command) {
	switch c := command.(type) {
	case corecontrol.NodeState:
		n.applyNodeState(c)
	case corecontrol.StopAttempt:
		n.front.StopAttempt(c)
	case corecontrol.IssuerCommand, corecontrol.SendOrder, corecontrol.ReadEngine, corecontrol.MarkNamed:
		n.orders.Submit(command)
	case corecontrol.ExportBlocks:
		if !n.exporter.Offer(c) {
			n.loop.Tell(corecontrol.ExportDone{ID: c.ID})
		}
	case corecontrol.LogEvent:
		eventlog.Write(n.options.Logger, c.Event, nil, c.Fields...)
	case corecontrol.FreeParts:
		n.caches.Free(c)
	case corecontrol.HoldCacheCalls:
		n.caches.Hold(c)
	case corecontrol.FollowCaches:
		n.caches.Follow(c)
	case corecontrol.WeightsWanted:
		eventlog.Write(n.options.Logger, event.WeightsWanted, nil, "model", c.Model, "weights", c.Weights, "age_known", c.AgeKnown)
	case corecontrol.ConfigInForce:
		n.applyLimits(c.CallerLimits)
		eventlog.Write(n.options.Logger, event.ConfigInForce, nil, "version", uint64(c.Version), "author", c.Author, "known_ms", c.Known.Milliseconds())
	default:
		if n.fleet != nil {
			n.fleet.execute(command)
		}
	}
}

// applyLimits applies the configured limits on requests.
func (n *Node) applyLimits(limits corecallerconn.Limits) {
	if n.callers == nil {
		return
	}
	n.callers.SetLimits(limits)
	n.front.SetMaxBodyBytes(corecallerconn.InForce(limits).MaxBodyBytes)
}

func (n *Node) applyNodeState(c corecontrol.NodeState) {
	n.front.SetReady(c.Ready)
	eventlog.Write(n.options.Logger, event.NodeStateChanged, nil, "state", c.State)
	if c.Stopped {
		close(n.stopped)
	}
}

func (n *Node) reportViolation(v *invariant.Violation) {
	n.options.Metrics.CountViolation()
	eventlog.Write(n.options.Logger, event.InvariantFailed, v, "invariant", string(v.Invariant), "detail", v.Detail)
}
