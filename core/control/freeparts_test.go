package control

import (
	"testing"
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
)

// freesOldPart reports whether a node frees a part of weights 1 when its turn comes now.
// The last report of the store arrived just before.
func freesOldPart(s *State, now time.Time) bool {
	s.Handle(now, CacheEvents{Target: "kept", Epoch: 1, AskedAt: now, ReceivedAt: now, Events: []PartEvent{
		{Added: true, Salt: placement.Salt("m", 1, ""), ID: "old", Tokens: 10},
	}})
	s.output.Commands = nil
	s.freeParts(now)
	for _, command := range s.output.Commands {
		if _, ok := command.(FreeParts); ok {
			return true
		}
	}
	return false
}

// storeState returns the state of a node that started at the given time, with a managed
// store that may be saved to at testStart.
func storeState(t *testing.T, start time.Time) *State {
	s := forwardStateSince(t, 2, start)
	rules := forwardRules()
	rules.CacheStores = []config.CacheStore{{Name: "kept", Address: "kept", CapacityTokens: 1000, Managed: true}}
	s.Handle(testStart, Configure{Version: 2, Rules: rules})
	freesOldPart(s, testStart.Add(-fleet.SaveDelayAfterStart))
	return s
}

// TestNothingFreedBetweenTurns guards against freeing parts while fetches may be in
// flight: in a fleet whose nodes seldom have their turn to free parts, a rollout begins
// and ends between two turns of a node.
func TestNothingFreedBetweenTurns(t *testing.T) {
	s := storeState(t, testStart.Add(-time.Minute))
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	done := testStart.Add(time.Minute)
	s.Handle(done, VMList{VMs: forwardServers(2, 2)})
	if freesOldPart(s, done.Add(freeDelay-time.Millisecond)) {
		t.Error("a part was freed while fetches may be in flight")
	}
	if !freesOldPart(s, done.Add(freeDelay)) {
		t.Error("no part was freed")
	}
}

// TestRestartedNodeFreesNothing guards against freeing parts while fetches may be in
// flight: a node that has just started does not know since when the engines have the
// named weights.
func TestRestartedNodeFreesNothing(t *testing.T) {
	s := storeState(t, testStart)
	s.Handle(testStart, VMList{VMs: forwardServers(2, 2)})
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2, Listed: true})
	if freesOldPart(s, testStart.Add(freeDelay-time.Millisecond)) {
		t.Error("a part was freed while fetches may be in flight")
	}
	if !freesOldPart(s, testStart.Add(freeDelay)) {
		t.Error("no part was freed")
	}
}
