package control

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/request"
)

// peerReports returns the reply of a peer to a question of the given time that reports
// the age of a version. The zero time stands for an urgent digest.
func peerReports(version int, age time.Duration, askedAt time.Time) PeerDigest {
	return PeerDigest{AskedAt: askedAt, Digest: membership.Digest{
		Node: "n2", ConfirmationAge: membership.UnknownConfirmation,
		NamedWeights: []membership.NamedWeights{{Model: "m", Version: version, Age: age}},
	}}
}

// peeredState returns the state of a node that started at the given time and has a peer.
func peeredState(t *testing.T, servers int, start time.Time) *State {
	s := forwardStateSince(t, servers, start)
	s.Handle(testStart, VMList{VMs: append(forwardServers(servers, 1), VM{ID: "n2", Role: fleet.RoleEntryVM, PeerAddress: "n2"})})
	return s
}

// runningState returns the state of a node that has run for a minute and has a peer.
func runningState(t *testing.T, servers int) *State {
	return peeredState(t, servers, testStart.Add(-time.Minute))
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
	s := peeredState(t, 1, testStart)
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2, Listed: true})
	now := testStart.Add(time.Second)
	const age = 5 * time.Second
	s.Handle(now, peerReports(2, age, now))
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
	s := runningState(t, 1)
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 3})
	if !sends(s, testStart) {
		t.Fatal("no call is sent to weights that were just replaced")
	}
	s.Handle(testStart, peerReports(2, testWeightsLimit, time.Time{}))
	if sends(s, testStart) {
		t.Error("a call is sent to weights whose limit has passed")
	}
}

// TestRelayedAgeKeepsTime guards against a time that moves into the past, and a limit
// that therefore comes early, while two nodes report the age of a version to each other.
func TestRelayedAgeKeepsTime(t *testing.T) {
	nodes := []*State{runningState(t, 1), runningState(t, 1)}
	nodes[1].options.Node, nodes[0].options.Node = "n2", "n2"
	nodes[0].Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	now := testStart
	const transit = 5 * time.Millisecond
	for round := range 100 {
		sender, receiver := nodes[round%2], nodes[(round+1)%2]
		digest := sender.digestAnswer(now, membership.Digest{WantsNamedWeights: true})
		now = now.Add(transit)
		var askedAt time.Time
		if round%4 < 2 {
			askedAt = now.Add(-2 * transit)
		}
		receiver.Handle(now, PeerDigest{Digest: digest, AskedAt: askedAt})
	}
	for i, s := range nodes {
		newer, _ := s.namedWeights("m").FirstNewer(1)
		if difference := newer.At.Sub(testStart); difference.Abs() > transit {
			t.Errorf("node %d: version named %s after it was", i, difference)
		}
	}
}

// TestLateDigestIgnored guards against an age that waited with its digest for a node to
// return from a pause, and is therefore too low.
func TestLateDigestIgnored(t *testing.T) {
	s := runningState(t, 1)
	s.Handle(testStart, Tick{})
	now := testStart.Add(4 * time.Second)
	for _, message := range []Message{peerReports(2, 5*time.Second, time.Time{}), Tick{}, peerReports(2, 0, time.Time{}), peerReports(2, 0, testStart)} {
		s.Handle(now, message)
	}
	if sends(s, now) {
		t.Error("a call is sent to weights whose limit is not known")
	}
	if digest := s.digest(now, false); !digest.WantsNamedWeights {
		t.Error("the node does not ask its peers for the age")
	}
}

// TestNamedWeightsSampleBounded guards against replies that grow with the number of
// versions, and that leave out the versions from which limits count because of those that
// only a leaving engine lacks.
func TestNamedWeightsSampleBounded(t *testing.T) {
	question := membership.Digest{WantsNamedWeights: true}
	s := runningState(t, 8)
	if d := s.digestAnswer(testStart, question); len(d.NamedWeights) != 0 {
		t.Errorf("named weights %v although engines have the newest", d.NamedWeights)
	}
	for version := 2; version < 20; version++ {
		s.Handle(testStart, WeightsNamed{Model: "m", Weights: version})
	}
	for _, c := range []struct{ weights, want int }{{18, 1}, {2, membership.MaxNamedWeights}} {
		list := forwardServers(8, c.weights)
		for i := range list {
			if c.weights == 2 {
				list[i].Weights += i / 2
			}
		}
		list[1].Weights, list[1].Leaving = 1, true
		s.Handle(testStart, VMList{VMs: list})
		d := s.digestAnswer(testStart, question)
		if len(d.NamedWeights) != c.want || c.want == 1 && d.NamedWeights[0].Version != 19 {
			t.Errorf("engines from weights %d on: named weights %v, want %d", c.weights, d.NamedWeights, c.want)
		}
		if d := s.digestAnswer(testStart, membership.Digest{}); len(d.NamedWeights) != 0 {
			t.Errorf("named weights %v for a node that asked for none", d.NamedWeights)
		}
	}
}

// TestDigestOfNoMemberIgnored guards against a node that is no member and ends all calls
// to engines with one digest.
func TestDigestOfNoMemberIgnored(t *testing.T) {
	s := forwardState(t, 1)
	s.Handle(testStart, peerReports(1<<30, time.Hour, time.Time{}))
	if !sends(s, testStart) {
		t.Error("no call is sent after the digest")
	}
}

// TestVersionNamedAfterRestart guards against a fleet that sends nothing to old weights
// because all its nodes had started shortly before a version was named, although each of
// them received it as a change.
func TestVersionNamedAfterRestart(t *testing.T) {
	s := forwardStateSince(t, 1, testStart.Add(-catchUpTime))
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	if !sends(s, testStart) {
		t.Error("no call is sent to weights that were just replaced")
	}
}

// TestNamedVersionAnnounced guards against nodes whose watches stall and that learn of a
// version, and count its limit, seconds later than others: a version that is learned as
// it is named is sent to peers at once, and each of them relays it once.
func TestNamedVersionAnnounced(t *testing.T) {
	s := runningState(t, 1)
	s.options.Agents = true
	announced := func(m Message) int {
		count := 0
		for _, command := range s.Handle(testStart, m).Commands {
			if sent, ok := command.(SendDigest); ok {
				count += len(sent.Digest.NamedWeights)
			}
		}
		return count
	}
	for _, c := range []struct {
		message Message
		want    int
	}{
		{WeightsNamed{Model: "m", Weights: 2}, 1},
		{WeightsNamed{Model: "m", Weights: 2}, 0},
		{peerReports(3, time.Second, time.Time{}), 1},
		{peerReports(3, 2*time.Second, time.Time{}), 0},
		{WeightsNamed{Model: "m", Weights: 3}, 0},
		{peerReports(4, time.Second, testStart), 0},
	} {
		if got := announced(c.message); got != c.want {
			t.Errorf("%+v: announced %d times, want %d", c.message, got, c.want)
		}
	}
}
