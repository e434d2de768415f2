// Package runtime assembles one node: the control thread and the traffic
// goroutines around it.
package runtime

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/client/kv"
	"tanagerspread/client/wire"
	corecontrol "tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/invariant"
	"tanagerspread/core/order"
	"tanagerspread/node/blocks"
	"tanagerspread/node/caches"
	"tanagerspread/node/control"
	"tanagerspread/node/egress"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/forward"
	"tanagerspread/node/ingress"
	"tanagerspread/node/metrics"
	"tanagerspread/node/once"
	"tanagerspread/node/orders"
)

const (
	// headerTimeout bounds the wait for a caller's request headers.
	headerTimeout = 10 * time.Second
	// bodyTimeout bounds the wait for a caller's whole request.
	bodyTimeout = 60 * time.Second
	// maxHeaderBytes bounds the headers of a caller's request.
	maxHeaderBytes = 32 << 10
)

// Options configures a node.
type Options struct {
	Control  corecontrol.Options
	Listener net.Listener
	Dial     egress.Dialer
	// Recorder keeps the at-most-once records; nil means that they are kept in
	// KeyValue.
	Recorder ingress.Recorder
	KeyValue kv.Service
	Logger   logr.Logger
	// Metrics counts what the node does, or is nil.
	Metrics *metrics.Metrics
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int64
	// MaxPendingBytes bounds the bodies of all forwarded calls in progress; 0
	// means no bound.
	MaxPendingBytes int64
	// Fleet connects the node to the platform and to its peers. Without it
	// the node serves with the configuration that it is told.
	Fleet *Fleet
	// OrderService is the key-value service through which the node may become
	// the issuer of orders to engines; nil means that it never does.
	OrderService kv.Service
	// Engines makes the management calls of engines; nil means that of the
	// product's own engines.
	Engines orders.Engines
	// Caches connects to the stores of KV cache for forwarded calls, or is nil.
	Caches func(address string) caches.Client
	// Protocol is that of forwarded calls; with nil the node serves the
	// product's own interface.
	Protocol forward.Protocol
	// Readiness accepts the load balancer's checks when they have a listener of
	// their own, or is nil.
	Readiness net.Listener
}

// Node is one running node.
type Node struct {
	options  Options
	loop     *control.Loop
	front    *ingress.Frontend
	exporter *blocks.Exporter
	orders   *orders.Workers
	caches   *caches.Followers
	stopped  chan struct{}
	fleet    *fleetSide
	// endWrites ends the writes of at-most-once records in the background.
	endWrites context.CancelFunc
}

// New returns a node that does not run yet. It returns an error when a chart
// cannot be loaded.
func New(options Options) (*Node, error) {
	n := &Node{options: options, stopped: make(chan struct{}), endWrites: func() {}}
	options.Control.Agents = options.Fleet != nil
	options.Control.Checker = invariant.NewChecker(n.violated)
	options.Control.MayIssueOrders = options.OrderService != nil
	state, err := corecontrol.New(options.Control, time.Now())
	if err != nil {
		return nil, fmt.Errorf("new node: %w", err)
	}
	n.loop = control.NewLoop(state, n.command)
	n.exporter = blocks.NewExporter(n.loop, wire.Dialer(options.Dial))
	recorder := options.Recorder
	if recorder == nil {
		recorder = n.newRecorder()
	}
	n.front = ingress.NewFrontend(ingress.Options{
		Importer:     blocks.NewImporter(n.loop, wire.Dialer(options.Dial)),
		Control:      options.Metrics.Observe(n.loop),
		Egress:       egress.NewClient(options.Dial),
		Recorder:     recorder,
		Logger:       options.Logger,
		Observer:     options.Metrics,
		Checker:      options.Control.Checker,
		MaxBodyBytes: options.MaxBodyBytes,
		Protocol:     options.Protocol,

		MaxPendingBytes: options.MaxPendingBytes,
	})
	n.orders = newOrders(n.loop, options)
	if options.Fleet != nil {
		n.fleet = newFleetSide(n.loop, options)
	}
	n.followCaches()

	return n, nil
}

// followCaches sets up the followers of stores and engines, whose boards peers
// may copy.
func (n *Node) followCaches() {
	options := caches.Options{Control: n.loop, Logger: n.options.Logger, Connect: n.options.Caches}
	if n.fleet != nil {
		options.Peers = n.fleet.client
	}
	n.caches = caches.New(options)
	if n.fleet != nil {
		n.fleet.server.Feeds = n.caches.Feeds()
	}
}

func newOrders(loop *control.Loop, options Options) *orders.Workers {
	terms := options.Control.OrderParameters
	if terms.LeaseTTL == 0 {
		terms = order.OwnParameters()
	}
	engines := options.Engines
	if engines == nil {
		engines = orders.OwnEngines{Dial: wire.Dialer(options.Dial)}
	}
	return orders.New(orders.Options{
		Control:   loop,
		Service:   options.OrderService,
		LeaseTime: terms.LeaseTTL,
		Engines:   engines,
		Logger:    options.Logger,
	})
}

// newRecorder returns a recorder over the key-value service. Its work in the
// background ends when the node has run.
func (n *Node) newRecorder() ingress.Recorder {
	life, cancel := context.WithCancel(context.Background())
	n.endWrites = cancel
	return once.New(life, once.Options{
		Control: n.loop,
		Service: n.options.KeyValue,
		Node:    n.options.Control.Node,
		Logger:  n.options.Logger,
	})
}

// Control returns the control thread for messages from agents.
func (n *Node) Control() *control.Loop {
	return n.loop
}

// Drain starts the planned stop of the node.
func (n *Node) Drain() {
	n.loop.Tell(corecontrol.Drain{})
}

// Run serves until the node has stopped or the context ends. A planned stop
// begins with Drain and cuts off no request in progress.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.endWrites()
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
	}
	served := make(chan error, 2)
	go func() { served <- server.Serve(n.options.Listener) }()
	if n.options.Readiness != nil {
		checks := &http.Server{Handler: n.front.Readiness(), ReadHeaderTimeout: headerTimeout}
		defer func() { _ = checks.Close() }()
		go func() { served <- checks.Serve(n.options.Readiness) }()
	}
	eventlog.Write(n.options.Logger, event.NodeStarted, nil,
		"node", n.options.Control.Node, "domain", string(n.options.Control.Domain), "listen", n.options.Listener.Addr().String())
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		return errors.Join(ctx.Err(), server.Close())
	case <-n.stopped:
		err := server.Shutdown(ctx)
		eventlog.Write(n.options.Logger, event.NodeStopped, err)
		return err
	}
}

// command carries out a command of the control thread without blocking it.
func (n *Node) command(command corecontrol.Command) {
	switch c := command.(type) {
	case corecontrol.NodeState:
		n.nodeState(c)
	case corecontrol.IssuerCommand, corecontrol.SendOrder, corecontrol.ReadEngine:
		n.orders.Submit(command)
	case corecontrol.ExportBlocks:
		if !n.exporter.Offer(c) {
			n.loop.Tell(corecontrol.ExportDone{ID: c.ID})
		}
	case corecontrol.LogEvent:
		eventlog.Write(n.options.Logger, c.Event, nil, c.Fields...)
	case corecontrol.FreeParts:
		n.caches.Free(c)
	case corecontrol.FollowCaches:
		n.caches.Follow(c)
	case corecontrol.WeightsWanted:
		eventlog.Write(n.options.Logger, event.WeightsWanted, nil, "model", c.Model, "weights", c.Weights)
	case corecontrol.ConfigInForce:
		eventlog.Write(n.options.Logger, event.ConfigInForce, nil, "version", uint64(c.Version), "author", c.Author)
	default:
		if n.fleet != nil {
			n.fleet.do(command)
		}
	}
}

func (n *Node) nodeState(c corecontrol.NodeState) {
	n.front.SetReady(c.Ready)
	eventlog.Write(n.options.Logger, event.NodeStateChanged, nil, "state", c.State)
	if c.Stopped {
		close(n.stopped)
	}
}

func (n *Node) violated(v *invariant.Violation) {
	n.options.Metrics.Violated()
	eventlog.Write(n.options.Logger, event.InvariantFailed, v, "invariant", string(v.Invariant), "detail", v.Detail)
}
