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

// countRepeats makes as many repeats as the limiter allows.
func countRepeats(l *RepeatLimiter, now time.Time) int {
	count := 0
	for l.Allows("s", now) {
		l.RecordRepeat("s", now)
		count++
	}
	return count
}

// TestRestartedNodesShareNoBase guards against a limit that is exceeded when nodes are
// killed: the others must not take over the shares that these may have used, and the
// processes that replace them must not use theirs again.
func TestRestartedNodesShareNoBase(t *testing.T) {
	limit := RepeatLimit{Window: 10 * time.Second, BaseAllowance: 60}
	start := time.Unix(1_700_000_000, 0)
	now := start.Add(time.Minute)
	const nodes = 6
	total := 0
	survivor := NewRepeatLimiter(limit, start)
	for range nodes - 1 {
		killed := NewRepeatLimiter(limit, start)
		killed.RecordNodes(nodes, now)
		total += countRepeats(killed, now)
	}
	survivor.RecordNodes(nodes, now)
	later := now.Add(limit.Window / 2)
	survivor.RecordNodes(1, later)
	total += countRepeats(survivor, later)
	for range nodes - 1 {
		restarted := NewRepeatLimiter(limit, later)
		restarted.RecordNodes(nodes, later)
		total += countRepeats(restarted, later)
	}
	if float64(total) > limit.BaseAllowance {
		t.Errorf("%d repeats in a window, the limit is %v", total, limit.BaseAllowance)
	}
	afterwards := now.Add(3 * limit.Window)
	survivor.RecordNodes(1, afterwards)
	if got := countRepeats(survivor, afterwards); got < int(limit.BaseAllowance/2) {
		t.Errorf("the only node of a later window may make %d repeats", got)
	}
}

// TestRestartedNodeRepeatsLess guards against a limit that is exceeded when a node is
// killed whose repeats belong to calls that have left the window, and its next process
// makes as many repeats again.
func TestRestartedNodeRepeatsLess(t *testing.T) {
	const calls = 1000
	limit := RepeatLimit{Window: 10 * time.Second, Ratio: 0.2}
	killedAt := time.Unix(1_700_000_000, 0)
	repeatsOf := func(started, from, until time.Time) int {
		l := NewRepeatLimiter(limit, started)
		for i := range calls {
			l.RecordFirstAttempt("s", from.Add(until.Sub(from)*time.Duration(i)/calls))
		}
		return countRepeats(l, until)
	}
	// All repeats of the killed process lie just before its end, and the window that
	// begins there has only the calls of its next process.
	before := repeatsOf(killedAt.Add(-time.Minute), killedAt.Add(-9*time.Second), killedAt)
	after := repeatsOf(killedAt, killedAt, killedAt.Add(limit.Window/4))
	if before < calls/10 {
		t.Errorf("%d repeats of %d calls before", before, calls)
	}
	if after > before/3 {
		t.Errorf("%d repeats in a quarter of a window after a restart, %d in the window before", after, before)
	}
}
