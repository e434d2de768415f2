package measure

import (
	"context"
	"sync"
	"time"

	"tanagerspread/bench/workload"
)

// drainTimeout is how long a run may wait for responses after its last arrival.
const drainTimeout = 3 * time.Minute

// Recording contains the measurements of one run.
type Recording struct {
	Options Options
	// Results are the results of requests that arrived in the measured part.
	Results []Result
	// LinkBytes is the number of bytes that the stores transferred over their
	// links in the measured part.
	LinkBytes int64
	// FailedAttempts is the number of failed attempts, Violations the number of
	// violated invariants. Both count log events of the entire run, including
	// the warm-up.
	FailedAttempts int64
	Violations     int64
}

// Run performs one run and returns its measurements. In the virtual time of
// testing/synctest it takes no longer than its processor time. It returns an
// error when the stand-ins or nodes cannot be started.
func Run(ctx context.Context, options Options) (*Recording, error) {
	s, err := startSystem(ctx, options)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	faultCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.injectFault(faultCtx)
	recording := &Recording{Options: options}
	s.runArrivals(ctx, recording)
	recording.FailedAttempts = s.failures.attempts.Load()
	recording.Violations = s.failures.violations.Load()
	return recording, nil
}

// runArrivals sends each arrival at its time without waiting for earlier
// responses, then waits for the remaining responses up to drainTimeout.
func (s *system) runArrivals(ctx context.Context, recording *Recording) {
	ctx, cancel := context.WithTimeout(ctx, s.options.WarmUp+s.options.Duration+drainTimeout)
	defer cancel()
	results := make(chan Result, 1)
	var callers sync.WaitGroup
	go func() {
		s.sendArrivals(ctx, recording, &callers, results)
		callers.Wait()
		close(results)
	}()
	for result := range results {
		if result.Arrival.At >= s.options.WarmUp {
			recording.Results = append(recording.Results, result)
		}
	}
}

func (s *system) sendArrivals(ctx context.Context, recording *Recording, callers *sync.WaitGroup, results chan<- Result) {
	generator := workload.NewGenerator(s.options.workloadOptions())
	startedAt := time.Now()
	linkBytesBefore := int64(-1)
	for sequence := 0; ; sequence++ {
		a := generator.Next()
		if a.At >= s.options.WarmUp+s.options.Duration {
			break
		}
		time.Sleep(a.At - time.Since(startedAt))
		if linkBytesBefore < 0 && a.At >= s.options.WarmUp {
			linkBytesBefore = s.linkBytes()
		}
		address := s.nextAddress(sequence)
		callers.Go(func() { results <- s.call(ctx, a, address) })
	}
	recording.LinkBytes = s.linkBytes() - linkBytesBefore
}

// nextAddress acts as the platform's load balancer: it returns the addresses of
// the nodes in round-robin order and skips nodes that are out of rotation.
func (s *system) nextAddress(sequence int) string {
	for i := range s.nodes {
		n := s.nodes[(sequence+i)%len(s.nodes)]
		if !n.isOutOfRotation() {
			return n.address
		}
	}
	return s.nodes[0].address
}
