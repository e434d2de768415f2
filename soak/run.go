package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"tanagerspread/standin/deployed"
)

const (
	// startTimeout is how long the nodes may take after a start to serve calls.
	startTimeout = 10 * time.Second
	// recoveryTimeout is how long the site may take to recover after the faults
	// end: a rollout of weights may have to wait for a lease to expire.
	recoveryTimeout = 25 * time.Second
	// applyDelay is how long nodes may take to apply a configuration.
	applyDelay = 2 * time.Second
	// stopTimeout is how long a graceful stop of a node may take.
	stopTimeout = 15 * time.Second
)

// Options configures a run.
type Options struct {
	// Binary is the path of the program, Dir the directory for the settings and
	// logs of the nodes.
	Binary string
	Dir    string
	Seed   uint64
	// Faults is the number of faults to inject.
	Faults int
	// Untrusted is the number of clients that do not keep to the protocol. With any, the
	// nodes have less memory, and their footprints are checked.
	Untrusted int
}

// Report is the result of a run.
type Report struct {
	Calls int
	// Answered is the number of calls with status 200 and a complete response.
	Answered int
	// Footprints has the largest footprint of each node.
	Footprints []string
	// Injected describes the injected faults in order.
	Injected []string
	// Violations describes the violated guarantees.
	Violations []string
	// Logs has the last lines of the log of each node, if a guarantee was violated
	// or the nodes did not start.
	Logs string
}

// Run runs one seed. It returns an error when the nodes do not start; violated
// guarantees are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	properties := soakOptions
	if options.Untrusted > 0 {
		properties.memoryMB = untrustedMemory
	}
	s, err := startSite(options.Binary, options.Dir, properties)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	var report Report
	if err := s.retryUntil(startTimeout, s.checkServing); err != nil {
		report.Logs = s.logTails()
		return report, fmt.Errorf("start: %w", err)
	}
	l := s.startLoad(ctx, options)
	faults := newInjector(s, options.Seed)
	for range options.Faults {
		report.Injected = append(report.Injected, faults.inject())
		sleep(ctx, time.Duration(faults.random.IntN(900))*time.Millisecond)
	}
	faults.clearFaults()
	if err := s.retryUntil(recoveryTimeout, s.checkRecovered); err != nil {
		report.Violations = append(report.Violations, "not in order after the last fault: "+err.Error())
	}
	report.Violations = append(report.Violations, s.checkRevokedKey()...)
	report.Violations = append(report.Violations, s.checkGracefulStop()...)
	exceeded, peaks := l.stop()
	report.Footprints = peaks
	report.Violations = append(report.Violations, exceeded...)
	report.Violations = append(report.Violations, findViolations(s, l.callers.outcomes)...)
	report.Calls = len(l.callers.outcomes)
	report.Answered = l.callers.answered()
	if len(report.Violations) > 0 {
		report.Logs = s.logTails()
	}
	return report, nil
}

// load is the callers and the untrusted clients of a run.
type load struct {
	callers *callers
	// stop ends all clients and returns the nodes that exceeded their memory or
	// descriptors, and the largest footprint of each.
	stop func() (exceeded, peaks []string)
}

// startLoad starts the clients of a run, and the watch of the footprints of the nodes.
func (s *site) startLoad(ctx context.Context, options Options) *load {
	ctx, cancel := context.WithCancel(ctx)
	c := &callers{site: s}
	var clients sync.WaitGroup
	clients.Go(func() { c.run(ctx, options.Seed) })
	for i := range options.Untrusted {
		clients.Go(func() { s.runUntrusted(ctx, options.Seed, i) })
	}
	stopWatch := s.watchFootprints()
	return &load{callers: c, stop: func() (exceeded, peaks []string) {
		cancel()
		clients.Wait()
		return stopWatch()
	}}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// retryUntil repeats a check until it passes or the time limit is reached. It
// returns the error of the last check.
func (s *site) retryUntil(limit time.Duration, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		sleep(context.Background(), 100*time.Millisecond)
	}
}

// checkServing returns an error unless each node answers each kind of call with
// a complete response.
func (s *site) checkServing() error {
	client := newClient()
	defer client.CloseIdleConnections()
	for _, n := range s.nodes {
		for _, path := range callPaths {
			id := fmt.Sprintf("check-%d", time.Now().UnixNano())
			if o := call(context.Background(), client, n, id, path, validKey); o.status != http.StatusOK || !o.complete {
				return fmt.Errorf("%s: %s got %s", n.name, path, o)
			}
		}
	}
	return nil
}

// checkRecovered returns an error unless all model servers have the specified
// weights and all nodes serve calls. It updates the entries of the model servers
// in the store, as the users' machines would.
func (s *site) checkRecovered() error {
	for _, server := range s.servers {
		version, _ := server.Weights()
		if server.Events == 0 {
			continue
		}
		s.writeServerEntry(server, "ready")
		if version != s.weightsVersion {
			return fmt.Errorf("%s has weights %d, named are %d", server.ID, version, s.weightsVersion)
		}
	}
	return s.checkServing()
}

// checkRevokedKey removes a key from the configuration and checks after
// applyDelay that each node rejects it.
func (s *site) checkRevokedKey() []string {
	const revoked = "key-revoked"
	s.writeConfiguration(validKey, revoked)
	sleep(context.Background(), applyDelay)
	s.writeConfiguration(validKey)
	sleep(context.Background(), applyDelay)
	client := newClient()
	defer client.CloseIdleConnections()
	var violations []string
	for _, n := range s.nodes {
		if o := call(context.Background(), client, n, "revoked-"+n.name, "/lookup/", revoked); o.status != http.StatusUnauthorized {
			violations = append(violations, fmt.Sprintf("%s: a revoked key got %s", n.name, o))
		}
	}
	return violations
}

// checkGracefulStop stops the nodes one after the other, each while a call is in
// progress. The call must succeed, and the node must exit within stopTimeout and
// serve calls again after a restart.
func (s *site) checkGracefulStop() []string {
	var violations []string
	for _, n := range s.nodes {
		client := newClient()
		s.plan.SetNext(deployed.Slow)
		result := make(chan outcome, 1)
		go func() { result <- call(context.Background(), client, n, "stop-"+n.name, "/charge/", validKey) }()
		sleep(context.Background(), 200*time.Millisecond)
		n.signal(syscall.SIGTERM)
		if o := <-result; o.status != http.StatusOK || !o.complete {
			violations = append(violations, fmt.Sprintf("%s: a call under way at the planned stop got %s", n.name, o))
		}
		client.CloseIdleConnections()
		stopped := make(chan struct{})
		go func() {
			n.wait()
			close(stopped)
		}()
		select {
		case <-stopped:
		case <-time.After(stopTimeout):
			violations = append(violations, n.name+": the planned stop did not end")
			n.signal(syscall.SIGKILL)
			<-stopped
		}
		if err := n.start(s.binary); err != nil {
			violations = append(violations, err.Error())
		}
		if err := s.retryUntil(startTimeout, s.checkServing); err != nil {
			violations = append(violations, "after the planned stop: "+err.Error())
		}
	}
	return violations
}
