package limits

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newEntry(id, organisation string, tokens int) Entry {
	return Entry{ID: request.ID(id), Organisation: request.Organisation(organisation), Class: "c", MaxWaiting: 2000, Tokens: tokens}
}

func takeAll(q *Queue, at time.Time) []request.ID {
	var out []request.ID
	q.Offer(at, func(id request.ID) OfferResult {
		out = append(out, id)
		return Taken
	})
	return out
}

// TestFairness guards against an organisation with many waiting requests that
// delays one with few.
func TestFairness(t *testing.T) {
	q := NewQueue()
	for i := range 100 {
		q.Push(newEntry(fmt.Sprintf("large%d", i), "large", 1000), now)
	}
	for i := range 3 {
		q.Push(newEntry(fmt.Sprintf("small%d", i), "small", 1000), now)
	}
	// The first request of an organisation starts at virtual time 0, a further
	// one after the 1,000 tokens of each one before it. Only large0 and small0
	// therefore precede the first request of a third organisation.
	if ahead := q.Ahead(newEntry("x", "other", 1)); ahead != 2 {
		t.Errorf("ahead of another organisation: %d, want the first of each", ahead)
	}
	for i, id := range takeAll(q, now)[:6] {
		if want := []string{"large0", "small0", "large1", "small1", "large2", "small2"}[i]; string(id) != want {
			t.Errorf("position %d: %s, want %s", i, id, want)
		}
	}
}

// TestOrder guards against a class that overtakes a more urgent one, and
// against blocked servers that hold up requests for others.
func TestOrder(t *testing.T) {
	q := NewQueue()
	slow := newEntry("slow", "a", 1)
	slow.Priority = 1
	q.Push(slow, now)
	q.Push(newEntry("urgent", "a", 1), now)
	other := newEntry("other", "a", 1)
	other.Priority = 2
	other.Servers = fleet.GroupKey{Serves: "m2"}
	q.Push(other, now)
	var offered []request.ID
	q.Offer(now, func(id request.ID) OfferResult {
		offered = append(offered, id)
		if id == "other" {
			return Taken
		}
		return Blocked
	})
	if fmt.Sprint(offered) != "[urgent other]" || q.Len() != 2 {
		t.Errorf("offered %v, %d left", offered, q.Len())
	}
	if got := fmt.Sprint(takeAll(q, now)); got != "[urgent slow]" {
		t.Errorf("order %s", got)
	}
}

// TestLongQueue guards against a pass that offers each of 1,000 waiting
// requests although the servers are full, and against a class with more waiting
// requests than its limit.
func TestLongQueue(t *testing.T) {
	q := NewQueue()
	for i := range 1000 {
		entry := newEntry(fmt.Sprint(i), fmt.Sprint(i%7), 10)
		entry.MaxWaiting = 1000
		q.Push(entry, now)
	}
	full := newEntry("x", "a", 1)
	full.MaxWaiting = 1000
	if q.Push(full, now) {
		t.Error("a full class took a request")
	}
	offered := 0
	q.Offer(now, func(request.ID) OfferResult {
		offered++
		return Blocked
	})
	if offered != 1 {
		t.Errorf("%d requests offered", offered)
	}
	for i := range 1000 {
		if !q.Remove(request.ID(fmt.Sprint(i))) {
			t.Fatalf("request %d is not in the queue", i)
		}
	}
	if q.Len() != 0 || q.Count("c") != 0 || q.Remove("0") {
		t.Error("the queue is not empty")
	}
}

// TestBackoff guards against a retry before its backoff has ended.
func TestBackoff(t *testing.T) {
	q := NewQueue()
	late := newEntry("late", "a", 1)
	late.NotBefore = now.Add(time.Second)
	q.Push(late, now)
	q.Push(newEntry("early", "a", 1), now)
	if got := fmt.Sprint(takeAll(q, now)); got != "[early]" {
		t.Errorf("before the backoff has ended: %s", got)
	}
	if got := fmt.Sprint(takeAll(q, now.Add(time.Second))); got != "[late]" {
		t.Errorf("after the backoff has ended: %s", got)
	}
}

// TestTokenRate guards against an organisation that exceeds its token rate, and
// against a prompt that is never admitted because it is longer than the burst.
func TestTokenRate(t *testing.T) {
	r := NewRateLimiter()
	if !r.Allow("a", 5000, 1000, 1000, now) {
		t.Error("a long prompt was refused with a full bucket")
	}
	if r.Allow("a", 500, 1000, 1000, now.Add(400*time.Millisecond)) {
		t.Error("500 tokens were allowed after 0.4 s at 1,000 tokens/s")
	}
	if !r.Allow("a", 500, 1000, 1000, now.Add(600*time.Millisecond)) || !r.Allow("b", 500, 1000, 1000, now) {
		t.Error("tokens within the rate were refused")
	}
}

// TestLateRequestsYield guards against a queue that, once it is longer than the target
// allows, serves each request late instead of most of them on time.
func TestLateRequestsYield(t *testing.T) {
	q := NewQueue()
	push := func(id string, at time.Time) {
		entry := newEntry(id, "org", 10)
		entry.OnTimeUntil = at.Add(time.Second)
		q.Push(entry, at)
	}
	push("old1", now)
	push("old2", now.Add(time.Millisecond))
	later := now.Add(1500 * time.Millisecond)
	push("new", later)
	if got := fmt.Sprint(takeAll(q, later)); got != "[new old1 old2]" {
		t.Errorf("offered in the order %s", got)
	}
	if q.Len() != 0 || len(q.counts) != 0 {
		t.Errorf("%d requests are left", q.Len())
	}
}

// TestDrainPredictsWait guards against a prediction that counts the time in which no
// request waited, and against one that a stall of the servers keeps high.
func TestDrainPredictsWait(t *testing.T) {
	d := &Drain{}
	at := now
	for range 50 {
		at = at.Add(100 * time.Millisecond)
		d.Taken(at, true)
	}
	if got := d.Wait(at, 10); got < 900*time.Millisecond || got > 1100*time.Millisecond {
		t.Errorf("ten requests ahead at ten a second: %s", got)
	}
	if got := d.Wait(at.Add(time.Hour), 10); got != 10*maxDrainInterval {
		t.Errorf("during a stall: %s, want %s", got, 10*maxDrainInterval)
	}
	d.Taken(at, false)
	d.Taken(at.Add(time.Hour), true)
	if got := d.Wait(at.Add(time.Hour), 10); got > 1100*time.Millisecond {
		t.Errorf("after an hour in which none waited: %s", got)
	}
}
