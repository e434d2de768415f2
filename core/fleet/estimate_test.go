package fleet

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestSpeed guards against placement that keeps using the assumed prefill speed
// when the engines are slower or become faster.
func TestSpeed(t *testing.T) {
	s := &Speed{}
	for _, rate := range []int{10_000, 40_000} {
		for range 1000 {
			s.Observe(rate, time.Second)
		}
		if got := s.Rate(); got < 0.95*float64(rate) || got > 1.05*float64(rate) {
			t.Errorf("learned speed %f tokens/s, want within 5%% of %d", got, rate)
		}
	}
	var none *Speed
	if none.Rate() != DefaultPrefillRate {
		t.Errorf("speed without observations: got %f tokens/s", none.Rate())
	}
}

// TestLinkRate guards against an underestimated link rate: transfers that share
// the link are measured together, and idle time does not count.
func TestLinkRate(t *testing.T) {
	const rate = 1000
	s := NewStore("s")
	now := start
	for range 50 {
		for range 4 {
			s.StartTransfer(now)
		}
		now = now.Add(4 * time.Second)
		for range 4 {
			s.FinishTransfer(now, rate)
		}
		now = now.Add(time.Minute)
	}
	if s.LinkRate < 0.95*rate || s.LinkRate > 1.05*rate {
		t.Errorf("link rate %f bytes/s, want within 5%% of %d", s.LinkRate, rate)
	}
}

// TestExcessDelay guards against calls that keep going to an engine with a queue
// of which this node has no report, and against an engine that is avoided forever.
func TestExcessDelay(t *testing.T) {
	s := &Server{}
	now := start
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		s.ObserveFirstToken(100*time.Millisecond, 1100*time.Millisecond, now)
	}
	if got := s.QueueTime(now); got < 800*time.Millisecond || got > time.Second {
		t.Errorf("queue time of an engine whose first tokens are 1 s late: got %s, want 800 ms to 1 s", got)
	}
	if got := s.QueueTime(now.Add(20 * time.Second)); got > 10*time.Millisecond {
		t.Errorf("queue time 20 s after the last observation: got %s, want at most 10 ms", got)
	}
}
