package control

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/request"
)

// TestLongWaitRefusedAtOnce guards against calls that are held until their callers
// give up although the queue is known to be too long, and against advised delays that
// bring all callers back at the same time. The load is a burst of three times what the
// engines can run.
func TestLongWaitRefusedAtOnce(t *testing.T) {
	x := newOverload(t, 1)
	x.runTimesVary = true
	capacity := overloadDomains * overloadPerDomain * overloadCapacity / overloadTokens
	interval := overloadRunTime / time.Duration(3*capacity)
	x.play(20*time.Second, interval.Round(overloadStep))
	if len(x.refusals) < 100 {
		t.Fatalf("%d refusals", len(x.refusals))
	}
	var delays []time.Duration
	for _, refused := range x.refusals {
		if refused.decision.Err.Code != code.QueueFull {
			t.Fatalf("refused with %v", refused.decision.Err)
		}
		if refused.waited >= time.Second {
			t.Errorf("refused after %s, the target", refused.waited)
		}
		delays = append(delays, refused.decision.RetryAfter)
	}
	distinct := map[time.Duration]bool{}
	for _, delay := range delays {
		if delay < minRetryAfter || delay > maxAdvisedDelay {
			t.Errorf("advised delay %s", delay)
		}
		distinct[delay.Round(50*time.Millisecond)] = true
	}
	if len(distinct) < 5 {
		t.Errorf("the advised delays have only %d values", len(distinct))
	}
}

// TestNoRefusalWithRoom guards against refusals while engines have room.
func TestNoRefusalWithRoom(t *testing.T) {
	x := newOverload(t, 6)
	capacity := overloadDomains * overloadPerDomain * overloadCapacity / overloadTokens
	x.play(20*time.Second, (overloadRunTime * 6 * 2 / time.Duration(capacity)).Round(overloadStep))
	if len(x.refusals) > 0 {
		t.Errorf("%d calls were refused at half of the load", len(x.refusals))
	}
}

// TestWaitEndsBeforeCallerLeaves guards against a call that waits until its deadline
// although its caller abandons the stream much earlier.
func TestWaitEndsBeforeCallerLeaves(t *testing.T) {
	s := forwardState(t, 1)
	now := testStart
	part := request.Part{ID: "own", Tokens: 30_000}
	for i := range 3 {
		placeCall(s, now, request.ID(fmt.Sprintf("call-%d", i)), "review", part)
	}
	// The first call takes half of the memory, so the last one waits.
	for now.Before(testStart.Add(5 * time.Second)) {
		now = now.Add(50 * time.Millisecond)
		for _, reply := range s.Handle(now, Tick{}).Replies {
			refusal, ok := reply.Decision.(Refusal)
			if !ok {
				continue
			}
			if waited := now.Sub(testStart); refusal.Err.Code != code.QueueFull || waited < 3*time.Second || waited >= 4*time.Second {
				t.Errorf("%s: refused with %v after %s", reply.To, refusal.Err, waited)
			}
			return
		}
	}
	t.Error("no call was refused")
}
