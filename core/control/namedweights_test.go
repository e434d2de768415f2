package control

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/core/membership"
	"tanagerspread/core/request"
)

// peerReports returns the digest of a peer that reports the age of a version.
func peerReports(version int, age time.Duration) PeerDigest {
	return PeerDigest{Digest: membership.Digest{
		Node: "n2", ConfirmationAge: membership.UnknownConfirmation,
		NamedWeights: []membership.NamedWeights{{Model: "m", Version: version, Age: age}},
	}}
}

// sends reports whether a call that is placed now is sent to an engine.
func sends(s *State, now time.Time) bool {
	id := request.ID(fmt.Sprint("sends ", now, s.placementTurn))
	_, sent := placeCall(s, now, id, "review").(Dispatch)
	s.Handle(now, Abandon{Request: id})
	return sent
}

// TestRestartedNodeAvoidsOldWeights guards against a node that starts after weights
// were named, does not know when, and sends calls to older ones for the whole limit
// again, also while no engine has the new ones yet.
func TestRestartedNodeAvoidsOldWeights(t *testing.T) {
	for _, c := range []struct {
		name       string
		newEngines int
		learned    time.Duration
		listed     bool
		sent       bool
	}{
		{name: "rollout under way", newEngines: 1, learned: time.Second},
		{name: "rollout stalled", learned: time.Second},
		{name: "list read late", learned: time.Minute, listed: true},
		{name: "named while the node runs", learned: time.Minute, sent: true},
	} {
		s := forwardStateSince(t, 4, testStart)
		s.Handle(testStart.Add(c.learned), WeightsNamed{Model: "m", Weights: 2, Listed: c.listed})
		list := forwardServers(4, 1)
		for i := range list {
			if list[i].ID == "m0" {
				list[i].Weights += c.newEngines
				list[i].Leaving = true
			}
		}
		now := testStart.Add(c.learned + time.Second)
		s.Handle(now, VMList{VMs: list})
		if got := sends(s, now); got != c.sent {
			t.Errorf("%s: call sent to old weights: %v, want %v", c.name, got, c.sent)
		}
	}
}

// TestRestartedNodeLearnsAgeFromPeer guards against a restarted node that refuses calls
// although a peer knows that older weights may still be used, and against one that
// counts the limit from its own start.
func TestRestartedNodeLearnsAgeFromPeer(t *testing.T) {
	s := forwardStateSince(t, 1, testStart)
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2, Listed: true})
	now := testStart.Add(time.Second)
	const age = 5 * time.Second
	s.Handle(now, peerReports(2, age))
	end := now.Add(testWeightsLimit - maxStartWait - age)
	if !sends(s, end.Add(-time.Millisecond)) {
		t.Error("no call is sent before the limit")
	}
	if sends(s, end) {
		t.Error("a call is sent after the limit")
	}
}

// TestMissedVersionKeepsLimit guards against a limit that counts from a later version
// because this node missed the one before it.
func TestMissedVersionKeepsLimit(t *testing.T) {
	s := forwardState(t, 1)
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 3})
	if !sends(s, testStart) {
		t.Fatal("no call is sent to weights that were just replaced")
	}
	s.Handle(testStart, peerReports(2, testWeightsLimit))
	if sends(s, testStart) {
		t.Error("a call is sent to weights whose limit has passed")
	}
}

// TestRelayedAgeKeepsTime guards against a time that moves into the past, and a limit
// that therefore comes early, while two nodes report the age of a version to each other.
func TestRelayedAgeKeepsTime(t *testing.T) {
	nodes := []*State{forwardState(t, 1), forwardState(t, 1)}
	nodes[0].Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	now := testStart
	for round := range 100 {
		sender, receiver := nodes[round%2], nodes[(round+1)%2]
		digest := sender.digest(now, true)
		now = now.Add(5 * time.Millisecond)
		receiver.Handle(now, PeerDigest{Digest: digest, AskedAt: now.Add(-10 * time.Millisecond)})
	}
	for i, s := range nodes {
		newer, _ := s.namedWeights("m").FirstNewer(1)
		if newer.At.Before(testStart) || newer.At.After(testStart.Add(5*time.Millisecond)) {
			t.Errorf("node %d: version named %s after it was", i, newer.At.Sub(testStart))
		}
	}
}

// TestNamedWeightsSampleBounded guards against digests that grow with the number of
// models and versions, and that leave out the version from which a limit counts.
func TestNamedWeightsSampleBounded(t *testing.T) {
	s := forwardState(t, 1)
	if sample := s.sampleNamedWeights(testStart); len(sample) != 0 {
		t.Errorf("sample %v without newer weights", sample)
	}
	for version := 2; version < 20; version++ {
		s.Handle(testStart, WeightsNamed{Model: "m", Weights: version})
	}
	sample := s.sampleNamedWeights(testStart)
	if len(sample) != membership.MaxNamedWeights || sample[0].Version != 2 {
		t.Errorf("sample %v, want %d versions from 2 on", sample, membership.MaxNamedWeights)
	}
}
