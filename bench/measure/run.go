package measure

import (
	"context"
	"sync"
	"time"

	"tanagerspread/bench/workload"
)

// drainTimeout is how long a run waits for responses after its last arrival.
const drainTimeout = 3 * time.Minute

// Recording is what one run measured.
type Recording struct {
	Options Options
	// Results are those of the measured part.
	Results []Result
	// LinkBytes crossed the links of the stores in the measured part.
	LinkBytes int64
	// FailedAttempts and Violations count log events of the whole run.
	FailedAttempts int64
	Violations     int64
}

// Run sends the arrivals of one run to its nodes. In the virtual time of
// testing/synctest it takes no longer than its processor time. It returns an
// error when the stage cannot be started.
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

// runArrivals sends all arrivals without waiting for responses, then waits for them.
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

// nextAddress stands for the platform's load balancer: it takes the nodes in turn
// and leaves out those that it has found dead.
func (s *system) nextAddress(sequence int) string {
	for i := range s.nodes {
		n := s.nodes[(sequence+i)%len(s.nodes)]
		if !n.isOutOfRotation() {
			return n.address
		}
	}
	return s.nodes[0].address
}
