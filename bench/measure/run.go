package measure

import (
	"context"
	"sync"
	"time"

	"tanagerspread/bench/workload"
)

// drainTime is how long a run waits for responses after its last arrival.
const drainTime = 3 * time.Minute

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
	s, err := startStage(ctx, options)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	faultCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.inject(faultCtx)
	recording := &Recording{Options: options}
	s.send(ctx, recording)
	recording.FailedAttempts = s.failed.attempts.Load()
	recording.Violations = s.failed.violations.Load()
	return recording, nil
}

// send sends all arrivals without waiting for responses, then waits for them.
func (s *stage) send(ctx context.Context, recording *Recording) {
	ctx, cancel := context.WithTimeout(ctx, s.options.WarmUp+s.options.Duration+drainTime)
	defer cancel()
	results := make(chan Result, 1)
	var callers sync.WaitGroup
	go func() {
		s.arrive(ctx, recording, &callers, results)
		callers.Wait()
		close(results)
	}()
	for result := range results {
		if result.Arrival.At >= s.options.WarmUp {
			recording.Results = append(recording.Results, result)
		}
	}
}

func (s *stage) arrive(ctx context.Context, recording *Recording, callers *sync.WaitGroup, results chan<- Result) {
	generator := workload.NewGenerator(s.options.arrivals())
	began := time.Now()
	before := int64(-1)
	for turn := 0; ; turn++ {
		a := generator.Next()
		if a.At >= s.options.WarmUp+s.options.Duration {
			break
		}
		time.Sleep(a.At - time.Since(began))
		if before < 0 && a.At >= s.options.WarmUp {
			before = s.linkBytes()
		}
		address := s.balance(turn)
		callers.Go(func() { results <- s.call(ctx, a, address) })
	}
	recording.LinkBytes = s.linkBytes() - before
}

// balance stands for the platform's load balancer: it takes the nodes in turn
// and leaves out those that it has found dead.
func (s *stage) balance(turn int) string {
	for i := range s.nodes {
		n := s.nodes[(turn+i)%len(s.nodes)]
		if !n.isFoundDead() {
			return n.address
		}
	}
	return s.nodes[0].address
}
