package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"tanagerspread/standin/deployed"
)

const (
	// startTime is how long the nodes may take to serve.
	startTime = 10 * time.Second
	// healTime is how long after the last fault everything must be in order: a
	// rollout of weights may have to wait for a lease to lapse.
	healTime = 25 * time.Second
	// applyTime is how long a configuration may take to be in force everywhere.
	applyTime = 2 * time.Second
	// stopTime is the longest planned stop.
	stopTime = 15 * time.Second
)

// Options configures a run.
type Options struct {
	// Binary is the program, Dir a folder for settings and logs.
	Binary string
	Dir    string
	Seed   uint64
	// Faults is the number of faults.
	Faults int
}

// Report is the result of a run.
type Report struct {
	Calls    int
	Answered int
	// Injected lists the faults in order.
	Injected []string
	// Broken lists what must not happen.
	Broken []string
}

// Run runs one seed. It returns an error when the run itself failed.
func Run(ctx context.Context, options Options) (Report, error) {
	s, err := newSite(options.Binary, options.Dir)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	var report Report
	if err := s.await(startTime, s.serves); err != nil {
		return report, fmt.Errorf("start: %w", err)
	}
	c := &callers{site: s}
	callContext, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(callContext, options.Seed)
	}()
	faults := &injector{site: s, random: rand.New(rand.NewPCG(options.Seed, options.Seed))}
	for range options.Faults {
		report.Injected = append(report.Injected, faults.inject())
		pause(ctx, time.Duration(faults.random.IntN(900))*time.Millisecond)
	}
	faults.heal()
	if err := s.await(healTime, s.healed); err != nil {
		report.Broken = append(report.Broken, "not in order after the last fault: "+err.Error())
	}
	report.Broken = append(report.Broken, s.checkRevoked()...)
	report.Broken = append(report.Broken, s.checkStop()...)
	stop()
	<-done
	report.Broken = append(report.Broken, judge(s, c.seen)...)
	report.Calls = len(c.seen)
	for _, o := range c.seen {
		if o.status == http.StatusOK && o.whole {
			report.Answered++
		}
	}
	return report, nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// await repeats a check until it passes.
func (s *site) await(limit time.Duration, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		pause(context.Background(), 100*time.Millisecond)
	}
}

// serves checks that each node answers each kind of call.
func (s *site) serves() error {
	client := newClient()
	defer client.CloseIdleConnections()
	for _, n := range s.nodes {
		for _, path := range paths {
			id := fmt.Sprintf("check-%d", time.Now().UnixNano())
			if o := call(context.Background(), client, n, id, path, keyKept); o.status != http.StatusOK || !o.whole {
				return fmt.Errorf("%s: %s got %d", n.name, path, o.status)
			}
		}
	}
	return nil
}

// healed checks that all nodes serve and all servers have the named weights. It
// writes the entries of the servers as the users' machines would.
func (s *site) healed() error {
	for _, server := range s.servers {
		version, _ := server.Weights()
		if server.Events == 0 {
			continue
		}
		s.announce(server, "ready")
		if version != s.weights {
			return fmt.Errorf("%s has weights %d, named are %d", server.ID, version, s.weights)
		}
	}
	return s.serves()
}

// checkRevoked takes a key away and calls with it after the allowed time.
func (s *site) checkRevoked() []string {
	const revoked = "key-revoked"
	s.configure(keyKept, revoked)
	pause(context.Background(), applyTime)
	s.configure(keyKept)
	pause(context.Background(), applyTime)
	client := newClient()
	defer client.CloseIdleConnections()
	var broken []string
	for _, n := range s.nodes {
		if o := call(context.Background(), client, n, "revoked-"+n.name, "/lookup/", revoked); o.status != http.StatusUnauthorized {
			broken = append(broken, fmt.Sprintf("%s: a revoked key got %d", n.name, o.status))
		}
	}
	return broken
}

// checkStop stops each node while calls are under way, one after the other.
func (s *site) checkStop() []string {
	var broken []string
	for _, n := range s.nodes {
		client := newClient()
		s.plan.SetNext(deployed.Slow)
		ended := make(chan outcome, 1)
		go func() { ended <- call(context.Background(), client, n, "stop-"+n.name, "/charge/", keyKept) }()
		pause(context.Background(), 200*time.Millisecond)
		n.signal(syscall.SIGTERM)
		if o := <-ended; o.status != http.StatusOK || !o.whole {
			broken = append(broken, fmt.Sprintf("%s: a call under way at the planned stop got %d", n.name, o.status))
		}
		client.CloseIdleConnections()
		stopped := make(chan struct{})
		go func() {
			n.wait()
			close(stopped)
		}()
		select {
		case <-stopped:
		case <-time.After(stopTime):
			broken = append(broken, n.name+": the planned stop did not end")
			n.signal(syscall.SIGKILL)
			<-stopped
		}
		if err := n.start(s.binary); err != nil {
			broken = append(broken, err.Error())
		}
		if err := s.await(startTime, s.serves); err != nil {
			broken = append(broken, "after the planned stop: "+err.Error())
		}
	}
	return broken
}
