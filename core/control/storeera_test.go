package control

import (
	"testing"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/order"
	"tanagerspread/core/quarantine"
)

// stepsOf returns the session steps of the commands.
func stepsOf(commands []Command) []SessionStep {
	var steps []SessionStep
	for _, command := range commands {
		if c, ok := command.(SessionCommand); ok {
			steps = append(steps, c.Step)
		}
	}
	return steps
}

// heldSession returns the state of a node that has a session entry in era 1.
func heldSession(t *testing.T, seed uint64) *State {
	s := newState(t, seed, vms(3, 0, 0), rulesFor(1, ""))
	s.options.Agents = true
	s.Handle(testStart, StoreEra{Era: 1})
	s.fireSessionEvent("open", testStart)
	s.Handle(testStart, LeaseResult{Step: StepGrant, Lease: "1-7"})
	s.Handle(testStart, LeaseResult{Step: StepWrite})
	if !s.session.chart.Is(tagHeld) {
		t.Fatalf("the session is in state %s", s.session.chart.State)
	}
	return s
}

// TestSessionWrittenOnceAfterRevert guards against a node whose session entry stays lost
// until the next renewal, one that writes it twice for one return of the service, and
// nodes that all write at the same moment.
func TestSessionWrittenOnceAfterRevert(t *testing.T) {
	early := 0
	for seed := range uint64(100) {
		s := heldSession(t, seed)
		grants := 0
		for at := time.Duration(0); at < 2*sessionSpread; at += 50 * time.Millisecond {
			for _, message := range []Message{StoreEra{Era: 2}, StoreEra{Era: 1}, Tick{}} {
				for _, step := range stepsOf(s.Handle(testStart.Add(at), message).Commands) {
					if step != StepGrant {
						continue
					}
					grants++
					if at < sessionSpread/2 {
						early++
					}
					s.Handle(testStart.Add(at), LeaseResult{Step: StepGrant, Lease: "2-7"})
					s.Handle(testStart.Add(at), LeaseResult{Step: StepWrite})
				}
			}
		}
		if grants != 1 || !s.session.chart.Is(tagHeld) {
			t.Errorf("seed %d: %d grants, state %s", seed, grants, s.session.chart.State)
		}
	}
	if early < 30 || early > 70 {
		t.Errorf("%d of 100 nodes write in the first half of the time", early)
	}
}

// TestServerOfCopyStaysLeaving guards against calls to a server whose leaving the store
// accepted and lost, and against one that stays out although it returned.
func TestServerOfCopyStaysLeaving(t *testing.T) {
	s := newState(t, 1, nil, rulesFor(1, ""))
	vm := VM{ID: "e1", Address: "e1", Role: fleet.RoleEngine, Serves: "m"}
	show := func(after time.Duration, era, revision uint64, leaving, fromCopy bool) bool {
		vm.Revision, vm.Leaving, vm.FromCopy = era<<40+revision, leaving, fromCopy
		s.Handle(testStart.Add(after), VMList{VMs: []VM{vm}, StoreEra: era})
		return s.servers["e1"].Chart.Is(fleet.TagLeaving)
	}
	show(0, 1, 10, false, false)
	show(0, 1, 20, true, false)
	if !show(time.Second, 2, 10, false, true) {
		t.Error("an entry of the copy takes back that the server leaves")
	}
	if show(time.Second, 2, 30, false, false) {
		t.Error("a new entry does not take it back")
	}
	show(2*time.Second, 2, 40, true, false)
	show(3*time.Second, 3, 30, false, true)
	if show(3*time.Second+oldEntryTime, 3, 30, false, true) {
		t.Error("an entry that nobody wrote again never counts")
	}
}

// TestServerThatLeftStaysAway guards against calls to a server that left and whose entry the
// copy still has.
func TestServerThatLeftStaysAway(t *testing.T) {
	s := newState(t, 1, nil, rulesFor(1, ""))
	vm := VM{ID: "e1", Address: "e1", Role: fleet.RoleEngine, Serves: "m", Leaving: true}
	s.Handle(testStart, VMList{VMs: []VM{vm}, StoreEra: 1})
	s.Handle(testStart, VMList{StoreEra: 1})
	vm.Leaving, vm.FromCopy = false, true
	s.Handle(testStart, VMList{VMs: []VM{vm}, StoreEra: 2})
	if s.servers["e1"] != nil {
		t.Error("a server that left is listed again")
	}
	vm.FromCopy = false
	s.Handle(testStart, VMList{VMs: []VM{vm}, StoreEra: 2})
	if s.servers["e1"] == nil {
		t.Error("a server that wrote its entry again is not listed")
	}
}

// TestMarkOfCopyIgnored guards against calls to old weights because the lease of a mark
// began again when the service came back.
func TestMarkOfCopyIgnored(t *testing.T) {
	s := forwardStateSince(t, 1, testStart)
	s.Handle(testStart, StoreEra{Era: 1})
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2, Listed: true})
	s.Handle(testStart, RecentlyNamed{Model: "m", Weights: 2, Marked: true})
	if !sends(s, testStart) {
		t.Fatal("no call is sent although the version is marked")
	}
	s.Handle(testStart, StoreEra{Era: 2})
	s.Handle(testStart, RecentlyNamed{Model: "m", Weights: 2, Marked: true, FromCopy: true})
	if sends(s, testStart) {
		t.Error("a call is sent because of the mark of the copy")
	}
}

// TestQuarantineWrittenAgainByOne guards against a quarantined fingerprint that the store
// lost for good, and against one that all nodes write.
func TestQuarantineWrittenAgainByOne(t *testing.T) {
	writers := 0
	for _, node := range []string{"f1", "f2", "f3", "f4", "f5"} {
		s := newDeployedState(t, node, testStart, entryVMs("f1", "f2", "f3", "f4", "f5"))
		s.Handle(testStart, StoreEra{Era: 1})
		s.Handle(testStart, QuarantineSeen{Entries: []quarantine.Entry{{Kind: quarantine.Quarantined, ExpiresAt: testStart.Add(time.Hour)}}})
		for _, command := range s.Handle(testStart, StoreEra{Era: 2}).Commands {
			if c, ok := command.(PublishQuarantine); ok && len(c.Entries) == 1 {
				writers++
			}
		}
	}
	if writers != 1 {
		t.Errorf("%d nodes write the entry", writers)
	}
}

func entryVMs(names ...string) []VM {
	var list []VM
	for _, name := range names {
		list = append(list, VM{ID: name, Role: fleet.RoleEntryVM, PeerAddress: name})
	}
	return list
}

// runIssuer handles ticks and answers all calls of the issuer at once, as a service
// without another holder and engines with weights 1 do. It returns when the first order was
// sent, or the zero time when none was within the limit.
func runIssuer(s *State, start time.Time, limit time.Duration) time.Time {
	for now := start; now.Before(start.Add(limit)); now = now.Add(50 * time.Millisecond) {
		pending := s.Handle(now, Tick{}).Commands
		for len(pending) > 0 {
			var answer Message
			switch c := pending[0].(type) {
			case SendOrder:
				return now
			case IssuerCommand:
				answer = IssuerResult{Step: c.Step, Attempt: c.Attempt, AskedAt: now, Lease: "lease", Revision: 7}
			case ReadEngine:
				answer = EngineStatus{Engine: c.Engine, Call: c.Call, Status: order.Status{Current: order.Desired{Model: "m", Weights: 1}, ReportsCountOnly: true}}
			}
			pending = pending[1:]
			if answer != nil {
				pending = append(pending, s.Handle(now, answer).Commands...)
			}
		}
	}
	return time.Time{}
}

// TestIssuerAfterRevert guards against orders of a new holder while one of the earlier era,
// whose lease the service forgot, may still act, and against a holder that goes on although
// a peer has seen the return.
func TestIssuerAfterRevert(t *testing.T) {
	list := vms(2, 0, 0)
	for i := range list {
		list[i].Model, list[i].Weights = "m", 1
	}
	s := newDeployedState(t, "n1", testStart, list)
	s.Handle(testStart, StoreEra{Era: 1})
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	first := runIssuer(s, testStart.Add(time.Minute), time.Minute)
	if first.IsZero() || !s.mayIssue(first) {
		t.Fatal("the node sends no order")
	}
	reverted := first.Add(100 * time.Millisecond)
	s.Handle(reverted, PeerDigest{Digest: membership.Digest{Node: "n2", StoreEra: 2}})
	if s.mayIssue(reverted) {
		t.Error("the holder may send orders after the return")
	}
	again := runIssuer(s, reverted, time.Minute)
	if wait := again.Sub(reverted); again.IsZero() || wait < s.orderParameters().TakeoverWait {
		t.Errorf("the next order is sent %s after the return", wait)
	}
}
