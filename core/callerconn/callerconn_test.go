package callerconn

import (
	"testing"
	"time"
)

var testLimits = Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// TestOverdue guards against clients that hold memory without progress, and against
// closed connections of clients within the limits.
func TestOverdue(t *testing.T) {
	start := time.Unix(0, 0)
	for name, test := range map[string]struct {
		phase Phase
		// rate is the number of bytes in each second.
		rate int64
		// want and calm are the seconds in which the connection is overdue while
		// memory is scarce and while it is not; 0 means never.
		want, calm int
	}{
		"head":            {phase: Head, want: 4, calm: 11},
		"idle":            {phase: Idle, want: 16, calm: 61},
		"waiting":         {phase: Waiting},
		"stalled body":    {phase: Body, want: 4},
		"trickling body":  {phase: Body, rate: 100, want: 4},
		"slow body":       {phase: Body, rate: MinProgress},
		"stalled writing": {phase: Writing, want: 4},
		"slow writing":    {phase: Writing, rate: MinProgress},
	} {
		for scarce, want := range map[bool]int{true: test.want, false: test.calm} {
			if got := overdueSecond(start, test.phase, test.rate, scarce); got != want {
				t.Errorf("%s, scarce %t: overdue in second %d, want %d", name, scarce, got, want)
			}
		}
	}
}

// overdueSecond returns the first second in which a connection is overdue that transfers
// rate bytes in each second, or 0.
func overdueSecond(start time.Time, phase Phase, rate int64, scarce bool) int {
	var mark Mark
	for second := range 70 {
		var overdue bool
		view := View{Phase: phase, Since: start, Transferred: 4<<20 + int64(second)*rate}
		mark, overdue = Overdue(start.Add(time.Duration(second)*time.Second), mark, view, testLimits, scarce)
		if overdue {
			return second
		}
	}
	return 0
}

// TestEviction guards against a new connection that takes the place of a call in progress, or
// of a connection that its client may still reuse while there is another.
func TestEviction(t *testing.T) {
	now := time.Unix(100, 0)
	for _, test := range []struct {
		phase    Phase
		age      time.Duration
		admitted bool
		want     Eviction
	}{
		{Head, 0, true, First}, {Body, 0, true, First}, {Waiting, time.Hour, false, Never}, {Writing, time.Hour, false, Never},
		{Idle, 12 * time.Second, true, Last}, {Idle, 16 * time.Second, true, First}, {Idle, 0, false, First}, {Closing, time.Hour, false, Never},
	} {
		if got := EvictionOf(now, View{Phase: test.phase, Since: now.Add(-test.age), Admitted: test.admitted}, testLimits); got != test.want {
			t.Errorf("%+v: got %v", test, got)
		}
	}
}

// TestLimitsHonoured guards against configured limits below the built-in ones that
// shorten what clients may do, and larger ones that are ignored.
func TestLimitsHonoured(t *testing.T) {
	got := Limits{MaxHeaderBytes: 1, MaxBodyBytes: 9, HeaderTimeout: 1, IdleTimeout: 9}.AtLeast(Limits{5, 5, 5, 5})
	if want := (Limits{5, 9, 5, 9}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
