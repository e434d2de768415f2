package pace

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tanagerspread/chart"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// sender is one node that sends to one server as often as its pace allows.
type sender struct {
	pacer *Pacer
	pace  Pace
}

func newSender(t *testing.T) *sender {
	t.Helper()
	pacer, err := NewPacer(chart.Embedded())
	if err != nil {
		t.Fatal(err)
	}
	return &sender{pacer: pacer, pace: pacer.Start(start)}
}

// tick sends a call when the pace allows it and reports whether it did.
func (s *sender) tick(now time.Time) bool {
	s.pacer.Expire(&s.pace, now)
	if !s.pace.Allows(now) {
		return false
	}
	s.pace.Open()
	s.pace.Send(now)
	return true
}

// busiestSecond returns the largest number of times in any second.
func busiestSecond(times []time.Time) int {
	most := 0
	for i := range times {
		count := 0
		for _, later := range times[i:] {
			if later.Sub(times[i]) > time.Second {
				break
			}
			count++
		}
		most = max(most, count)
	}
	return most
}

// TestColdBound guards against a cold server that gets more calls in a second than it
// bears, and against one that is left idle, when 30 nodes always have calls for it and
// two of them take themselves for owners wrongly.
func TestColdBound(t *testing.T) {
	for _, rule := range []Rule{{15, 1.5, 5}, {4, 1.5, 5}, {1, 1.2, 2}, {60, 1.5, 5}, {10, 1, 0}} {
		var senders []*sender
		for i := range 30 {
			s := newSender(t)
			owner := i < rule.owners()+spareOwners
			s.pacer.Chill(&s.pace, start.Add(10*time.Second), Conditions{Rule: rule, Owner: owner, Nodes: 30}, start)
			senders = append(senders, s)
		}
		var all, agreed []time.Time
		for now := start; now.Before(start.Add(9 * time.Second)); now = now.Add(5 * time.Millisecond) {
			for i, s := range senders {
				if !s.tick(now) {
					continue
				}
				all = append(all, now)
				if i < rule.owners() {
					agreed = append(agreed, now)
				}
			}
		}
		if most := busiestSecond(all); most > rule.bound() {
			t.Errorf("%+v: %d calls in a second, allowed are %d", rule, most, rule.bound())
		}
		rate := float64(len(agreed)) / 9
		if rate > rule.PerSecond*1.2 || rate < rule.PerSecond*0.5 {
			t.Errorf("%+v: %.1f calls a second from the owners", rule, rate)
		}
	}
}

// TestPaceFollowsResponses guards against a server that is flooded although it answers
// late, and against one that stays idle although it answers in time or gets no calls.
func TestPaceFollowsResponses(t *testing.T) {
	rule := Rule{PerSecond: 15, Overshoot: 1.5, Slack: 5}
	rates := map[string]float64{}
	for name, react := range map[string]func(*sender, time.Time){
		"good":   func(s *sender, now time.Time) { s.pacer.Succeed(&s.pace, now) },
		"bad":    func(s *sender, now time.Time) { s.pacer.Fail(&s.pace, now) },
		"silent": func(*sender, time.Time) {},
	} {
		s := newSender(t)
		s.pacer.Warm(&s.pace, Conditions{Rule: rule, Nodes: 30}, start)
		sent := 0
		for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(5 * time.Millisecond) {
			if s.tick(now) {
				sent++
				react(s, now)
			}
		}
		rates[name] = float64(sent) / 5
		if limited := s.pace.Limited(); limited != (name == "bad") {
			t.Errorf("%s: limited %v after five seconds", name, limited)
		}
	}
	if rates["bad"] > 1 || rates["good"] < 20 || rates["silent"] < 20 {
		t.Errorf("calls a second: %v", rates)
	}
}

// TestOneConnectionAtATime guards against calls that are sent together because their
// connections were opened together.
func TestOneConnectionAtATime(t *testing.T) {
	s := newSender(t)
	s.pacer.Chill(&s.pace, start.Add(time.Minute), Conditions{Rule: Rule{PerSecond: 15, Overshoot: 1.5, Slack: 5}, Owner: true, Nodes: 1}, start)
	s.pace.Open()
	if s.pace.Allows(start.Add(time.Second)) {
		t.Error("a second connection is opened")
	}
	s.pace.Close()
	if !s.pace.Allows(start.Add(time.Second)) {
		t.Error("nothing is sent after the connection failed")
	}
}

// TestOwnersAgree guards against owners outside the failure domain of the server, and
// against a change of all owners when one node leaves.
func TestOwnersAgree(t *testing.T) {
	rule := Rule{PerSecond: 15, Overshoot: 1.5, Slack: 5}
	var members []Member
	for i := range 79 {
		members = append(members, Member{Node: fmt.Sprintf("node-%d", i), Domain: fmt.Sprintf("zone-%d", i%3)})
	}
	owners := func(members []Member) []Member {
		var owners []Member
		for _, m := range members {
			if rule.Owns(m.Node, "s-1", "zone-1", members) {
				owners = append(owners, m)
			}
		}
		return owners
	}
	before := owners(members)
	if len(before) != maxOwners {
		t.Fatalf("owners %v", before)
	}
	remaining := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m == before[0] })
	after := owners(remaining)
	for _, m := range before[1:] {
		if !slices.Contains(after, m) {
			t.Errorf("owners %v, without the first of them %v", before, after)
		}
	}
	for _, m := range before {
		if m.Domain != "zone-1" {
			t.Errorf("owner %v is in another domain", m)
		}
	}
}

// BenchmarkOwners measures whether a node owns one server.
func BenchmarkOwners(b *testing.B) {
	rule := Rule{PerSecond: 15, Overshoot: 1.5, Slack: 5}
	for _, nodes := range []int{80, 300} {
		var members []Member
		for i := range nodes {
			members = append(members, Member{Node: fmt.Sprintf("node-%d", i), Domain: fmt.Sprintf("zone-%d", i%3)})
		}
		b.Run(fmt.Sprintf("%d nodes", nodes), func(b *testing.B) {
			for b.Loop() {
				rule.Owns("node-7", "s-1", "zone-1", members)
			}
		})
	}
}
