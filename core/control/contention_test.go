package control

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
)

const (
	// contendLimit is the time within which a node that can issue orders must
	// contend for a free lease: it may be stopped again a second later.
	contendLimit = 700 * time.Millisecond
	contendTick  = 50 * time.Millisecond
)

// firstKeyRead returns the time until the node reads the key of the issuer, which is
// its first step of the claim, or the limit when it does not.
func firstKeyRead(s *State, start time.Time, limit time.Duration) time.Duration {
	for waited := time.Duration(0); waited < limit; waited += contendTick {
		for _, command := range s.Handle(start.Add(waited), Tick{}).Commands {
			if c, ok := command.(IssuerCommand); ok && c.Step == IssuerRead {
				return waited
			}
		}
	}
	return limit
}

// TestRestartedNodeContendsAtOnce guards against a node that, after a restart, waits
// for members that it knows only as seeds: in a rolling restart each node was
// stopped again before it contended, and no node issued orders for 12 s (issue 22).
func TestRestartedNodeContendsAtOnce(t *testing.T) {
	list := vms(9, 0, 0)
	for i := range 6 {
		id := fmt.Sprintf("seed 10.0.0.%d:1", i)
		list = append(list, VM{ID: id, Role: fleet.RoleEntryVM, PeerAddress: id})
	}
	s := newDeployedState(t, "n1", testStart, list)
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	if waited := firstKeyRead(s, testStart, time.Minute); waited > contendLimit {
		t.Errorf("contends after %s", waited)
	}
}

// TestNodeContendsWhenReady guards against a node that becomes ready after the
// weights were named and waits for the next timeout of the standby state.
func TestNodeContendsWhenReady(t *testing.T) {
	s := newDeployedState(t, "n1", testStart, vms(9, 0, 0))
	s.fireNodeEvent("fence", testStart)
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	fencedFor := 200 * time.Millisecond
	if waited := firstKeyRead(s, testStart, fencedFor); waited < fencedFor {
		t.Fatal("a fenced node contends")
	}
	ready := testStart.Add(fencedFor)
	s.fireNodeEvent("confirm", ready)
	if waited := firstKeyRead(s, ready, time.Minute); waited > contendLimit {
		t.Errorf("contends %s after it became ready", waited)
	}
}

// TestFailedContentionIsRepeated guards against a lease that stays free for 5 s
// because one call of the key-value service failed.
func TestFailedContentionIsRepeated(t *testing.T) {
	s := newDeployedState(t, "n1", testStart, vms(9, 0, 0))
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	first := firstKeyRead(s, testStart, time.Minute)
	failed := testStart.Add(first + 20*time.Millisecond)
	s.Handle(failed, IssuerResult{Step: IssuerRead, Attempt: s.orders.issuer.Attempt, AskedAt: failed, Err: code.New(code.KeyValueAway, "no response")})
	if waited := firstKeyRead(s, failed, time.Minute); waited > contendLimit || waited < contentionRetryDelay {
		t.Errorf("contends again after %s", waited)
	}
}
