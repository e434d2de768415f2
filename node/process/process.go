// Package process runs one node as a process. It adds listeners, log, metrics,
// admin endpoints and signal handling to node/runtime.
package process

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/node/admin"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/metrics"
	"tanagerspread/node/runtime"
	"tanagerspread/node/settings"
)

const (
	// adminHeaderTimeout bounds the wait for an operator's request headers.
	adminHeaderTimeout = 5 * time.Second
	// adminTimeout bounds the reading of an operator's request, and the writing
	// of its response.
	adminTimeout = 30 * time.Second
	// adminMaxHeaderBytes bounds the headers of an operator's request.
	adminMaxHeaderBytes = 16 << 10
)

// ErrInterrupted is returned when a second SIGINT ends the process before its
// planned stop is complete.
var ErrInterrupted = errors.New("interrupted by a second SIGINT")

// Options configures a process.
type Options struct {
	Settings *settings.Settings
	// Log receives one JSON object a line.
	Log io.Writer
	// Signals delivers signals. The first one starts the planned stop, a second
	// SIGINT ends the process at once.
	Signals <-chan os.Signal
	// Listen opens a listener; tests replace it.
	Listen func(network, address string) (net.Listener, error)
}

// Run serves until the planned stop is complete. It returns ErrInterrupted
// after a second SIGINT, and an error when a listener or the node cannot
// start.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	counters := metrics.New()
	defer func() { _ = counters.Close() }()
	logger := eventlog.New(options.Log, event.Level(options.Settings.LogLevel))
	callers, err := listen(options, options.Settings.Listen, options.Settings.CallerTLS)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := listen(options, options.Settings.AdminListen, options.Settings.AdminTLS)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for operators: %w", err), callers.Close())
	}
	platform, err := newServices(options)
	if err != nil {
		return errors.Join(err, callers.Close(), operators.Close())
	}
	defer platform.close()
	node, err := runtime.New(nodeOptions(options.Settings, callers, platform, logger, counters))
	if err != nil {
		return errors.Join(err, callers.Close(), operators.Close())
	}
	server := adminServer(node, counters)
	defer func() { _ = server.Close() }()
	go serveAdmin(server, operators, logger)
	go watchSignals(ctx, cancel, options.Signals, node)
	err = node.Run(ctx)
	if errors.Is(context.Cause(ctx), ErrInterrupted) {
		return ErrInterrupted
	}
	return err
}

func listen(options Options, address string, files settings.TLS) (net.Listener, error) {
	config, err := files.Config()
	if err != nil {
		return nil, err
	}
	listener, err := options.Listen("tcp", address)
	if err != nil || config == nil {
		return listener, err
	}
	return tls.NewListener(listener, config), nil
}

func nodeOptions(s *settings.Settings, listener net.Listener, platform *services, logger logr.Logger, counters *metrics.Metrics) runtime.Options {
	return runtime.Options{
		Control: control.Options{
			Node:        s.Node,
			Domain:      fleet.Domain(s.Domain),
			Charts:      s.Charts(),
			Seed:        uint64(time.Now().UnixNano()),
			ServerSlots: s.ServerSlots,
			DrainDelay:  s.DrainDelay,
		},
		Listener:     listener,
		Dial:         (&net.Dialer{}).DialContext,
		KeyValue:     platform.kv,
		OrderService: platform.kv,
		Logger:       logger,
		Fleet:        platform.fleet,
		Metrics:      counters,
		MaxBodyBytes: s.MaxBodyBytes,
	}
}

func adminServer(node *runtime.Node, counters *metrics.Metrics) *http.Server {
	return &http.Server{
		Handler:           admin.Handler(admin.Options{Control: node.Control(), Metrics: counters}),
		ReadHeaderTimeout: adminHeaderTimeout,
		ReadTimeout:       adminTimeout,
		WriteTimeout:      adminTimeout,
		MaxHeaderBytes:    adminMaxHeaderBytes,
	}
}

func serveAdmin(server *http.Server, listener net.Listener, logger logr.Logger) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		eventlog.Write(logger, event.AdminStopped, err)
	}
}

// watchSignals starts the planned stop on the first signal and ends the process on the
// second SIGINT. The platform may send SIGTERM several times, and kills the process after
// its grace time anyway, so that SIGTERM never interrupts requests in progress.
func watchSignals(ctx context.Context, cancel context.CancelCauseFunc, signals <-chan os.Signal, node *runtime.Node) {
	interrupts := 0
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-signals:
			if received == os.Interrupt {
				interrupts++
			}
			if interrupts == 2 {
				cancel(ErrInterrupted)
				return
			}
			node.Drain()
		}
	}
}
