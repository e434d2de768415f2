package weights_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/client/weights"
	standin "tanagerspread/standin/weights"
)

// TestSharedRate guards against a weight store on which concurrent loads do not
// slow each other down: it would hide rollouts that load on too many engines at
// once.
func TestSharedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Options{LoadTime: time.Second, FullSpeedLoads: 3})
		duration := func(loads int) time.Duration {
			started := time.Now()
			var wg sync.WaitGroup
			for range loads {
				wg.Go(func() {
					if err := s.Load(context.Background(), weights.Name{Model: "m", Version: 2}); err != nil {
						t.Error(err)
					}
				})
			}
			wg.Wait()
			return time.Since(started)
		}
		if took := duration(1); took != time.Second {
			t.Errorf("one load took %v, want 1s", took)
		}
		if took := duration(6); took < 1900*time.Millisecond {
			t.Errorf("six concurrent loads took %v, want at least 1.9s", took)
		}
		if started, maxConcurrent := s.Loads(); started != 7 || maxConcurrent != 6 {
			t.Errorf("loads: %d started, at most %d concurrent; want 7 and 6", started, maxConcurrent)
		}
	})
}
