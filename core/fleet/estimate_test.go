package fleet

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestSpeed guards against placement by an assumed speed of prompt work when
// the engines are slower or become faster.
func TestSpeed(t *testing.T) {
	s := &Speed{}
	for _, rate := range []int{10_000, 40_000} {
		for range 1000 {
			s.Note(rate, time.Second)
		}
		if got := s.Rate(); got < 0.95*float64(rate) || got > 1.05*float64(rate) {
			t.Errorf("speed %f, want about %d", got, rate)
		}
	}
	var none *Speed
	if none.Rate() != PrefillRate {
		t.Errorf("speed without observations: %f", none.Rate())
	}
}
