package control_test

import (
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/membership"
)

var testStart = time.Unix(1_000_000, 0)

// newNodeState returns the state of node n1, whose peers are n2 and n3, with one
// backend server e1. A violated invariant fails the test.
func newNodeState(t *testing.T) *control.State {
	t.Helper()
	s, err := control.New(control.Options{
		Node: "n1", Charts: chart.Embedded(), Agents: true, Incarnation: 1, ServerSlots: 1,
		Checker: invariant.NewChecker(func(v *invariant.Violation) { t.Fatal(v) }),
	}, testStart)
	if err != nil {
		t.Fatal(err)
	}
	s.Handle(testStart, vmList("a:1", false))
	return s
}

func vmList(address string, leaving bool) control.VMList {
	list := control.VMList{VMs: []control.VM{{ID: "e1", Address: address, Role: fleet.RoleEngine, Leaving: leaving}}}
	for _, id := range []string{"n1", "n2", "n3"} {
		list.VMs = append(list.VMs, control.VM{ID: id, Role: fleet.RoleEntryVM, PeerAddress: id})
	}
	return list
}

func configSeen(version config.Version, id string, at time.Time, service bool) control.ConfigSeen {
	return control.ConfigSeen{Current: config.Configuration{Version: version, ApplyID: id}, Rules: &config.Rules{}, FromService: service, AskedAt: at}
}

func dumpOf(s *control.State, now time.Time) control.Dump {
	return s.Handle(now, control.DumpState{ID: "dump"}).Replies[0].Decision.(control.Dump)
}

// TestOlderVersionOffered guards against a node that goes back to an older
// version, whichever message offers it, and against a key-value service that
// keeps the older version from which it was restored or keeps another
// configuration under the version in force.
func TestOlderVersionOffered(t *testing.T) {
	s := newNodeState(t)
	s.Handle(testStart, configSeen(5, "five", testStart, true))
	offers := map[string]control.Message{
		"service":                      configSeen(4, "four", testStart, true),
		"peer":                         configSeen(4, "four", testStart, false),
		"direct message":               control.Configure{Version: 4, Rules: &config.Rules{}},
		"peer digest":                  control.PeerDigest{Digest: membership.Digest{Node: "n2", Version: 4, NewestVersion: 4}, AskedAt: start},
		"same version, other apply id": configSeen(5, "other", testStart, true),
	}
	for name, offer := range offers {
		commands := s.Handle(testStart.Add(time.Second), offer).Commands
		if d := dumpOf(s, testStart); d.Version != 5 || d.State != "ready" {
			t.Errorf("%s: version %d, state %s", name, d.Version, d.State)
		}
		var repair control.WriteConfig
		for _, command := range commands {
			if write, ok := command.(control.WriteConfig); ok {
				repair = write
			}
		}
		want := map[string]config.Version{"service": 5, "same version, other apply id": 6}[name]
		if repair.Current.Version != want {
			t.Errorf("%s: repair writes version %d, want %d", name, repair.Current.Version, want)
		}
	}
}

// TestNewerVersionUnreachable guards against a node that continues to serve
// although it cannot fetch a newer version that it has learned of.
func TestNewerVersionUnreachable(t *testing.T) {
	s := newNodeState(t)
	s.Handle(testStart, configSeen(1, "one", testStart, true))
	for second := range 12 {
		now := testStart.Add(time.Duration(second) * time.Second)
		for _, peer := range []string{"n2", "n3"} {
			s.Handle(now, control.PeerDigest{Digest: membership.Digest{Node: peer, Version: 1, NewestVersion: 2}, AskedAt: now})
		}
		s.Handle(now, control.Tick{})
	}
	if d := dumpOf(s, testStart.Add(12*time.Second)); d.State != "fenced" {
		t.Errorf("state %s, want fenced", d.State)
	}
}

// TestLeavingServer guards against a leaving report that does not stop new work
// to the server, whichever source it comes from, and against a server that
// becomes available again too early or never.
func TestLeavingServer(t *testing.T) {
	at := testStart.Add(time.Second)
	leavingReport := func(age time.Duration) control.Message {
		return control.PeerDigest{AskedAt: at, Digest: membership.Digest{
			Node: "n2", LeavingReports: []membership.LeavingReport{{Server: "e1", Address: "a:1", Age: age}},
		}}
	}
	// listedReport is the report of a peer that read late that revision's entry.
	listedReport := func(revision uint64, startedAtMS int64) control.Message {
		return control.PeerDigest{AskedAt: at.Add(time.Second), Digest: membership.Digest{
			Node: "n2", LeavingReports: []membership.LeavingReport{{Server: "e1", Address: "a:1", Revision: revision, StartedAtMS: startedAtMS}},
		}}
	}
	entry := func(revision uint64, startedAtMS int64, leaving bool) control.Message {
		list := vmList("a:1", leaving)
		list.VMs[0].Revision = revision
		list.VMs[0].StartedAtMS = startedAtMS
		return list
	}
	rule := &config.Rules{Servers: map[string]config.ServerRule{"e1": {Leaving: true}}}
	live := vmList("a:1", false)
	cases := []struct {
		name     string
		messages []control.Message
		after    time.Duration
		want     string
	}{
		{"list", []control.Message{vmList("a:1", true)}, time.Hour, "leaving"},
		{"rule", []control.Message{control.Configure{Version: 1, Rules: rule}, live}, time.Hour, "leaving"},
		{"peer", []control.Message{leavingReport(0), live}, 50 * time.Second, "leaving"},
		{"peer, expired", []control.Message{leavingReport(0)}, 61 * time.Second, "probing"},
		{"peer, aged", []control.Message{leavingReport(30 * time.Second)}, 31 * time.Second, "probing"},
		{"listed live again", []control.Message{vmList("a:1", true), live}, 0, "available"},
		{"report from before the return", []control.Message{vmList("a:1", true), live, leavingReport(time.Second)}, 0, "available"},
		{"another address", []control.Message{leavingReport(0), vmList("a:2", false)}, 0, "available"},
		{"return not seen, report of the older entry", []control.Message{entry(7, 1, false), listedReport(5, 1)}, 0, "available"},
		{"report of the newer entry", []control.Message{entry(5, 1, false), listedReport(7, 1)}, 0, "leaving"},
		{"report of the newer entry, then the return", []control.Message{entry(5, 1, false), listedReport(7, 1), entry(9, 1, false)}, 0, "available"},
		{"older list after the report", []control.Message{entry(5, 1, false), listedReport(7, 1), entry(6, 1, false)}, 0, "leaving"},
		{"report of an earlier process", []control.Message{entry(0, 2, false), listedReport(0, 1)}, 0, "available"},
	}
	for _, c := range cases {
		s := newNodeState(t)
		for _, message := range c.messages {
			s.Handle(at, message)
		}
		now := at.Add(c.after)
		s.Handle(now, control.Tick{})
		if got := dumpOf(s, now).Servers[0].State; got != c.want {
			t.Errorf("%s: server is %s, want %s", c.name, got, c.want)
		}
	}
}
