package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/chart"
	"tanagerspread/client/wire"
	corecallerconn "tanagerspread/core/callerconn"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/order"
	"tanagerspread/core/placement"
	"tanagerspread/core/retry"
	"tanagerspread/node/caches"
	"tanagerspread/node/callerconn"
	"tanagerspread/node/confkv"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/memory"
	"tanagerspread/node/metrics"
	"tanagerspread/node/registry"
	"tanagerspread/node/runtime"
	"tanagerspread/node/settings"
	"tanagerspread/node/sockopt"
	"tanagerspread/platform"
)

const (
	// logQueueLines is the capacity of the queue of log lines for standard
	// output; further lines are dropped.
	logQueueLines = 4096
	// partIndexShare is the share of the memory of the process that the index of
	// prompt parts may use.
	partIndexShare = 0.1
	// maxBodyBytes bounds the body of a forwarded call.
	maxBodyBytes = 4 << 20
	// drainDelay is how long a stopping node still accepts calls. The load
	// balancer checks every second and removes a node after two failed checks.
	drainDelay = 2500 * time.Millisecond
	// storeTimeout bounds one call to the metadata store.
	storeTimeout = 1500 * time.Millisecond
	// leaseMargin is how long before its lease expires a holder sends its last
	// order. After the lease key is deleted, the next holder waits for the lease
	// time less leaseMargin, plus takeoverMargin.
	leaseMargin    = time.Second
	takeoverMargin = 100 * time.Millisecond
	// weightsMargin is how long before the limit requests stop starting on older
	// weights, because the operator counts the limit from its own write.
	weightsMargin = time.Second
	// loadShare is the share of the live engines that may load weights at the
	// same time. The users' engines load more slowly when more than a sixth to
	// a fifth of them load at the same time.
	loadShare = 0.2
	// outstandingPerLoad allows orders to four fifths of the engines while these do
	// not respond to them. An engine that executes its order 2 to 12 s late loads for
	// one of about five seconds after it got the order, so that about loadShare of
	// the engines load at the same time. If all execute their orders at once, a
	// fifth keeps serving.
	outstandingPerLoad = 4
	// connectTimeout bounds the opening of a connection to a server, to the
	// store or to a peer.
	connectTimeout = time.Second
	// keepAliveIdle and keepAliveCount detect connections whose remote end is
	// unreachable.
	keepAliveIdle  = 3 * time.Second
	keepAliveCount = 3
)

// DeployedOptions configures a process on the users' machines.
type DeployedOptions struct {
	Settings *platform.Settings
	Tuning   settings.Tuning
	// Log receives one JSON object a line.
	Log      io.Writer
	LogLevel event.Level
	// Signals delivers signals. The first one starts the planned stop, a second
	// SIGINT ends the process at once.
	Signals <-chan os.Signal
	// Reloads delivers the signals that request a reload of the settings file.
	Reloads <-chan os.Signal
	// ReloadSettings reads the settings file again.
	ReloadSettings func() (*platform.Settings, []platform.Fault)
	// Listen and Dial replace those of TCP in tests; nil means TCP.
	Listen func(network, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// Suspended returns for how long the machine has been suspended since the process
	// started; nil means that it never is.
	Suspended func() time.Duration
}

// deployed holds the listeners and clients of the process.
type deployed struct {
	callers   net.Listener
	readiness net.Listener
	peers     net.Listener
	operators net.Listener
	store     *platform.Store
	// dial opens connections to the store and to peers, dialServer those of calls to
	// servers, which have small receive buffers.
	dial       func(ctx context.Context, network, address string) (net.Conn, error)
	dialServer func(ctx context.Context, network, address string) (net.Conn, error)
}

// RunDeployed serves until the planned stop is complete. It returns
// ErrInterrupted after a second SIGINT, and an error when a listener or the
// node cannot start.
func RunDeployed(ctx context.Context, options DeployedOptions) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	counters := metrics.New()
	defer func() { _ = counters.Close() }()
	queue := eventlog.NewQueue(options.Log, logQueueLines)
	defer logDropped(options.Log, queue)
	defer queue.Close()
	logger := eventlog.New(queue, options.LogLevel)
	d, err := openDeployed(options)
	if err != nil {
		return err
	}
	defer d.store.Close()
	node, err := runtime.New(d.nodeOptions(options, logger, counters))
	if err != nil {
		return err
	}
	server := adminServer(node, counters)
	defer func() { _ = server.Close() }()
	go serveAdmin(server, callerconn.Manage(ctx, server, d.operators), logger)
	go watchSignals(ctx, cancel, options.Signals, node)
	go watchReloads(ctx, options, logger)
	err = node.Run(ctx)
	if errors.Is(context.Cause(ctx), ErrInterrupted) {
		return ErrInterrupted
	}
	return err
}

// openDeployed opens the listeners and creates the client of the store. Clients
// open connections on demand, so that a node starts while the store is
// unreachable.
func openDeployed(options DeployedOptions) (*deployed, error) {
	s := options.Settings
	d := &deployed{dial: options.Dial, dialServer: options.Dial}
	if options.Dial == nil {
		d.dial = dialer(corecallerconn.LargeBuffer)
		d.dialServer = dialer(corecallerconn.SmallBuffer)
	}
	capacity := corecallerconn.CapacityOf(s.MemoryBytes, s.Descriptors)
	addresses := []struct {
		name    string
		address string
		// buffer is the size of the receive buffers, backlog the number of connections
		// that may wait to be accepted.
		buffer, backlog int
		listener        *net.Listener
	}{
		{"callers", s.CallerAddress, corecallerconn.SmallBuffer, capacity.Backlog, &d.callers},
		{"readiness checks", s.ReadinessAddress, corecallerconn.SmallBuffer, callerconn.ManagementConnections, &d.readiness},
		{"peers", s.PeerAddress, corecallerconn.LargeBuffer, capacity.PeerConnections, &d.peers},
		{"operators", net.JoinHostPort(s.IP, strconv.Itoa(s.LastPort)), corecallerconn.SmallBuffer, callerconn.ManagementConnections, &d.operators},
	}
	for _, a := range addresses {
		listen := options.Listen
		if listen == nil {
			listen = listenWithLimits(a.buffer, a.backlog)
		}
		listener, err := listen("tcp", a.address)
		if err != nil {
			return nil, fmt.Errorf("listen for %s: %w", a.name, err)
		}
		*a.listener = listener
	}
	d.store = platform.NewStore(wire.Options{Address: s.StoreAddress, Dial: d.dial, Timeout: storeTimeout}, s.ContactTime)
	return d, nil
}

// dialer returns a function that opens connections with a receive buffer of a number of
// bytes.
func dialer(buffer int) func(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveCount},
		Control:         sockopt.ReceiveBuffer(buffer),
	}).DialContext
}

// listenWithLimits returns a function that listens for connections with a receive buffer of
// a number of bytes, of which up to backlog wait to be accepted.
func listenWithLimits(buffer, backlog int) func(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: sockopt.ReceiveBuffer(buffer)}
	return func(network, address string) (net.Listener, error) {
		listener, err := config.Listen(context.Background(), network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := listener.(*net.TCPListener); ok {
			err = sockopt.LimitBacklog(tcp, backlog)
		}
		if err != nil {
			return nil, errors.Join(err, listener.Close())
		}
		return listener, nil
	}
}

func (d *deployed) nodeOptions(options DeployedOptions, logger logr.Logger, counters *metrics.Metrics) runtime.Options {
	s := options.Settings
	capacity := corecallerconn.CapacityOf(s.MemoryBytes, s.Descriptors)
	return runtime.Options{
		Control:        controlOptions(options),
		Listener:       d.callers,
		Readiness:      d.readiness,
		Dial:           d.dialServer,
		KeyValue:       d.store,
		OrderService:   d.store,
		Engines:        platform.EngineClient{Dial: d.dial, Holder: s.Node},
		Logger:         logger,
		Metrics:        counters,
		MaxBodyBytes:   maxBodyBytes,
		Suspended:      options.Suspended,
		Budget:         memory.NewBudget(capacity.CallerBytes),
		Unread:         memory.NewBudget(capacity.UnreadBytes),
		MaxConnections: capacity.Connections,
		Protocol:       platform.Protocol{},
		Caches: func(address string) caches.Client {
			return platform.NewCacheClient(address, d.dial)
		},
		Fleet: &runtime.Fleet{
			Service:      d.store,
			Parse:        platform.ParseRules,
			Source:       confkv.Source{Key: platform.KeyConfig, Decode: platform.DecodeConfig},
			PeerListener: d.peers,

			PeerConnections: capacity.PeerConnections,

			PeerDial:    d.dial,
			PeerAddress: s.PeerAddress,
			Registry: &registry.Options{
				ServerPrefix:  platform.PrefixServers,
				WeightsPrefix: platform.PrefixWeights,
				DecodeServer:  platform.DecodeServer,
				DecodeWeights: platform.DecodeWeights,

				EvacuationPrefix: platform.PrefixEvacuations,
				DecodeEvacuation: platform.DecodeEvacuation,
				Seeds:            s.Seeds,
			},
		},
	}
}

// controlOptions returns the options of the control thread.
func controlOptions(options DeployedOptions) control.Options {
	s := options.Settings
	return control.Options{
		Node:        s.Node,
		Domain:      fleet.Domain(s.Domain),
		Charts:      chart.Deployed(),
		Seed:        uint64(time.Now().UnixNano()),
		Incarnation: uint64(time.Now().UnixMilli()),
		DrainDelay:  drainDelay,
		StopGrace:   s.StopGrace,
		Unfenced:    true,
		Forwarding:  true,
		RepeatLimit: retry.RepeatLimit{Window: s.RetryWindow, Ratio: s.RetryRatio, BaseAllowance: s.RetrySlack},
		Prices:      options.Tuning.Prices,

		MaxIndexedParts: int(float64(s.MemoryBytes) * partIndexShare / placement.IndexedPartBytes),

		ColdOvershoot: s.ColdOvershoot,
		ColdSlack:     s.ColdSlack,

		OutdatedWeightsLimit: max(s.OutdatedWeightsLimit-weightsMargin, 0),
		MayIssueOrders:       true,
		OrderParameters:      orderParameters(s),
	}
}

// orderParameters returns the parameters of orders for servers that load weights
// in about one second, or more slowly while more than a sixth of them load.
func orderParameters(s *platform.Settings) order.Parameters {
	parameters := order.Parameters{
		LeaseTTL:           s.LeaseTTL,
		LeaseMargin:        leaseMargin,
		TakeoverWait:       s.LeaseTTL - leaseMargin + takeoverMargin,
		MaxOrderTime:       4 * time.Second,
		ResendTime:         15 * time.Second,
		GracePeriod:        500 * time.Millisecond,
		MaxLoads:           2,
		MaxLoadFraction:    loadShare,
		OutstandingPerLoad: outstandingPerLoad,
		RetryDelay:         500 * time.Millisecond,
		CallTimeout:        1500 * time.Millisecond,
		OnDemand:           true,
	}
	if !s.ServersEnforceFencing {
		// The last order of an earlier holder may still arrive. One that arrived may be
		// executed at any time; its number of accepted orders prevents that after a
		// newer order.
		parameters.TakeoverWait += parameters.CallTimeout
	}
	return parameters
}

// watchReloads reads the settings file after each reload signal and logs its
// faults. The addresses of a running process do not change, so the file is only
// checked.
func watchReloads(ctx context.Context, options DeployedOptions, logger logr.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-options.Reloads:
			_, faults := options.ReloadSettings()
			for _, fault := range faults {
				eventlog.Write(logger, event.SettingsRejected, fault, "field", fault.Field, "code", int(fault.Reason.Code))
			}
			eventlog.Write(logger, event.SettingsReloaded, nil, "faults", len(faults))
		}
	}
}

// logDropped logs the number of log lines that were dropped because standard
// output was slow.
func logDropped(out io.Writer, queue *eventlog.Queue) {
	if dropped := queue.Dropped(); dropped > 0 {
		eventlog.Write(eventlog.New(out, event.LevelInfo), event.LogLinesDropped, nil, "lines", dropped)
	}
}
