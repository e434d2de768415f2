package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBudgets guards against one organisation that uses up the retries of all,
// and against a negative budget.
func TestBudgets(t *testing.T) {
	b := NewBudgets()
	taken := 0
	for range 20 {
		if b.Take("a") {
			taken++
		}
	}
	if taken != organisationBudget || !b.Allows("b") {
		t.Errorf("organisation a took %d, b allowed %v", taken, b.Allows("b"))
	}
	for range 20 {
		b.Take("b")
		b.Take("c")
	}
	if b.Remaining() != 0 {
		t.Errorf("node budget left: %f", b.Remaining())
	}
	for range 1000 {
		b.Credit("a")
	}
	if _, used := b.used["a"]; used || b.Remaining() > maxBudget {
		t.Errorf("after successes: used %v, node %f", b.used, b.Remaining())
	}
}

// TestBackoff guards against requests that are retried together, and against
// delays above the limit.
func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	seen := map[time.Duration]bool{}
	for attempts := 1; attempts < 100; attempts++ {
		delay := Backoff(random, attempts)
		if delay <= 0 || delay > backoffLimit || attempts == 1 && delay > backoffBase {
			t.Errorf("attempt %d: delay %v", attempts, delay)
		}
		seen[delay] = true
	}
	if len(seen) < 90 {
		t.Errorf("%d different delays of 99", len(seen))
	}
	now := time.Unix(0, 0)
	if FitsDeadline(now, time.Second, now.Add(time.Second)) || !FitsDeadline(now, time.Second, time.Time{}) {
		t.Error("an attempt that starts at its deadline is allowed, or one without a deadline is refused")
	}
}
