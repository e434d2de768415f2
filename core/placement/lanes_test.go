package placement

import "testing"

// TestSmallEnginesReserveMore guards against short calls that wait for each other on few
// engines which run few requests at once.
func TestSmallEnginesReserveMore(t *testing.T) {
	for concurrency, want := range map[int]int{64: 7, 17: 7, 16: 10, 12: 10, 0: 7} {
		s := newAffinityFixture(t, 30, 0)
		for _, engine := range s.engine {
			engine.MaxConcurrency = concurrency
		}
		if got := len(NewReservation(s.engine).reserved); got != want {
			t.Errorf("engines that run %d requests: %d of 30 reserved, want %d", concurrency, got, want)
		}
	}
}
