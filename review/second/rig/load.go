package rig

import (
	"net/http"
	"sync"
	"time"
)

// Load is sound requests that are sent at a steady rate until it is stopped.
type Load struct {
	stop  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	// sent and lost count the requests, and those without a complete success.
	sent, lost int
	// answered is told of each answer and when its request was sent, or nil.
	answered func(sentAt time.Time, a Answer)
}

// StartLoad sends a request each interval, to the nodes in turn.
func (s *Site) StartLoad(interval time.Duration, call func(i int) Call) *Load {
	return s.StartWatchedLoad(interval, call, nil)
}

// StartWatchedLoad is StartLoad, and calls answered with each answer and the time at which
// its request was sent.
func (s *Site) StartWatchedLoad(interval time.Duration, call func(i int) Call, answered func(sentAt time.Time, a Answer)) *Load {
	l := &Load{stop: make(chan struct{}), answered: answered}
	l.group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			l.group.Go(func() {
				sentAt := time.Now()
				a := s.Send(s.Nodes[i%len(s.Nodes)], call(i))
				if l.answered != nil {
					l.answered(sentAt, a)
				}
				l.count(a)
			})
		}
	})
	return l
}

func (l *Load) count(a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if a.Status != http.StatusOK || !a.Complete {
		l.lost++
	}
}

// Stop ends the load, waits for its answers and returns how many requests were sent and how
// many of them got no complete success.
func (l *Load) Stop() (sent, lost int) {
	close(l.stop)
	l.group.Wait()
	return l.sent, l.lost
}
