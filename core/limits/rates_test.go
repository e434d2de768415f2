package limits

import (
	"testing"
	"time"
)

// TestRateWithoutBurst guards against a limit that admits every request when
// the rule has no burst.
func TestRateWithoutBurst(t *testing.T) {
	r := NewRateLimiter()
	now := time.Unix(0, 0)
	admitted := 0
	for range 10 {
		if r.Allow("a", 1, 2.5, 0, now) {
			admitted++
		}
	}
	if admitted != 3 {
		t.Errorf("admitted %d of 10 at once, want 3", admitted)
	}
}
