package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/placement"
	"tanagerspread/core/request"
)

// tenantRules returns rules with the organisations north, south and west, in which each
// key belongs to the organisation at its position and the given ones are isolated.
func tenantRules(keys []request.Organisation, isolated ...request.Organisation) *config.Rules {
	rules := forwardRules()
	rules.Routes.Find("h", "/review/").AuthExempt = false
	rules.Organisations = map[request.Organisation]config.Organisation{}
	rules.Tokens = map[request.Digest]config.Token{}
	for _, name := range []request.Organisation{"north", "south", "west"} {
		rules.Organisations[name] = config.Organisation{Isolated: slices.Contains(isolated, name)}
	}
	for i, owner := range keys {
		rules.Tokens[token(i)] = config.Token{Organisation: owner}
	}
	return rules
}

var testKeys = []request.Organisation{"north", "south", "west"}

// saltOf returns the salt of a call with the key at a position.
func saltOf(t *testing.T, s *State, now time.Time, key int) string {
	t.Helper()
	id := request.ID(fmt.Sprintf("%d-%d", now.UnixNano(), key))
	s.Handle(now, Admit{Request: request.Request{
		ID: id, Route: request.Route{Kind: request.Forward}, Deadline: now.Add(5 * time.Second), BodyDigest: string(id), TokenDigest: token(key),
		Call: &request.Call{Host: "h", Path: "/review/x", HasAPIKey: true, Parts: []request.Part{{ID: "p", Tokens: 1}, {ID: string(id), Tokens: 1}}},
	}})
	dispatch, ok := handleFirst(s, now, Place{Request: id, PromptTokens: 2}).(Dispatch)
	if !ok {
		t.Fatalf("call %s is not dispatched", id)
	}
	s.Handle(now, Abandon{Request: id})
	return dispatch.Forward.Salt
}

// TestPartsStayBehindWall guards against cached parts that one organisation made and
// another one finds although one of the two is isolated now or was when they were made:
// servers find parts by the salt alone.
func TestPartsStayBehindWall(t *testing.T) {
	s := forwardState(t, 1)
	type use struct {
		owner    request.Organisation
		isolated bool
		period   int
	}
	uses, period := map[string][]use{}, 0
	for i, c := range []struct {
		keys     []request.Organisation
		isolated []request.Organisation
		// same is true when no isolation changes.
		same bool
	}{
		{testKeys, nil, false},
		{testKeys, []request.Organisation{"north"}, false},
		{[]request.Organisation{"south", "south", "west"}, []request.Organisation{"north"}, true},
		{testKeys, []request.Organisation{"north"}, true},
		{testKeys, nil, false},
		{testKeys, []request.Organisation{"north"}, false},
		{testKeys, []request.Organisation{"south", "north"}, false},
		{testKeys, []request.Organisation{"south"}, false},
	} {
		now := testStart.Add(time.Duration(i) * time.Second)
		s.Handle(now, Configure{Version: config.Version(i + 2), Rules: tenantRules(c.keys, c.isolated...)})
		if !c.same {
			period++
		}
		for key, owner := range c.keys {
			salt := saltOf(t, s, now, key)
			if i == 0 && salt != placement.Salt("m", 1, "") {
				t.Errorf("no organisation was ever isolated, but the salt is %q", salt)
			}
			own := use{owner, slices.Contains(c.isolated, owner), period}
			for _, before := range uses[salt] {
				if before.owner != owner && (before.isolated || own.isolated || before.period < period) {
					t.Errorf("version %d: %s uses the salt %q that %s used in period %d", i+2, owner, salt, before.owner, before.period)
				}
			}
			uses[salt] = append(uses[salt], own)
		}
	}
}

// writes returns the record that a node writes within the given time from now.
func writes(s *State, now time.Time, within time.Duration) (written []WriteIsolation) {
	for after := time.Duration(0); after < within; after += 100 * time.Millisecond {
		for _, command := range s.Handle(now.Add(after), Tick{}).Commands {
			if write, ok := command.(WriteIsolation); ok {
				written = append(written, write)
			}
		}
	}
	return written
}

// TestNodesDeriveSameSalt guards against nodes with different salts for one configuration,
// because one of them started later, missed a version or wrote the record at the same time;
// against a record that is written again and again or before it was read; and against an
// earlier salt that comes back with an earlier record, which a restored store holds.
func TestNodesDeriveSameSalt(t *testing.T) {
	node := func() *State {
		s := forwardState(t, 1)
		s.options.Agents = true
		return s
	}
	configure := func(s *State, version config.Version, isolated ...request.Organisation) {
		s.Handle(testStart, Configure{Version: version, Rules: tenantRules(testKeys, isolated...)})
	}
	a, b, late := node(), node(), node()
	configure(a, 5, "north")
	if written := writes(a, testStart, 10*time.Second); written != nil {
		t.Errorf("a node that has not read the record writes %+v", written)
	}
	for _, s := range []*State{a, b} {
		s.Handle(testStart, IsolationSeen{})
	}
	configure(b, 6, "north")
	written := writes(a, testStart, 3*time.Second)
	if len(written) == 0 || written[0].Replaced != 0 || written[0].Record.Changed != 5 {
		t.Fatalf("the node writes %+v, want the change of version 5 as the first record", written)
	}
	if again := writes(a, testStart.Add(3*time.Second), 6*time.Second); len(again) == 0 {
		t.Error("a write whose result is not seen is not repeated")
	}
	first := IsolationSeen{Record: written[0].Record, Revision: 40}
	configure(late, 9, "north")
	salt := saltOf(t, a, testStart, 1)
	for i, s := range []*State{a, b, late} {
		s.Handle(testStart, first)
		if got := saltOf(t, s, testStart, 1); got != salt {
			t.Errorf("node %d has the salt %q, want %q", i, got, salt)
		}
		if written := writes(s, testStart, 10*time.Second); written != nil {
			t.Errorf("node %d writes %+v although the record agrees", i, written)
		}
	}
	configure(a, 10)
	second := IsolationSeen{Record: writes(a, testStart, 3*time.Second)[0].Record, Revision: 50}
	a.Handle(testStart, second)
	configure(a, 11, "north")
	a.Handle(testStart, first)
	if got := saltOf(t, a, testStart, 1); got == salt {
		t.Errorf("the salt %q is back in use after the store was restored", got)
	}
	if written := writes(a, testStart, 3*time.Second); len(written) == 0 || written[0].Replaced != 40 || written[0].Record.Changed != 11 {
		t.Errorf("the node writes %+v, want version 11 in place of the restored record", written)
	}
}

// TestOlderConfigurationKeepsRecord guards against a node with an older configuration that
// replaces the record of a newer one, and that keeps its salt when it has caught up.
func TestOlderConfigurationKeepsRecord(t *testing.T) {
	s := forwardState(t, 1)
	s.options.Agents = true
	s.Handle(testStart, IsolationSeen{Record: config.Isolation{}.Next([]request.Organisation{"north"}, 8), Revision: 9})
	s.Handle(testStart, Configure{Version: 7, Rules: tenantRules(testKeys, "south")})
	if written := writes(s, testStart, 5*time.Second); written != nil {
		t.Errorf("the node writes %+v", written)
	}
	s.Handle(testStart, Configure{Version: 12, Rules: tenantRules(testKeys, "north")})
	if got, want := s.isolation.current.Changed, config.Version(8); got != want {
		t.Errorf("the isolation in force is of version %d, want %d", got, want)
	}
}

// TestEarlierScopeFreed guards against managed stores that stay full of parts which no
// call can find after a change of the isolated organisations, and against freeing them
// while calls that use them may be in progress.
func TestEarlierScopeFreed(t *testing.T) {
	s := storeState(t, testStart.Add(-time.Minute))
	s.Handle(testStart, IsolationSeen{})
	rules := tenantRules(testKeys, "north")
	rules.CacheStores = s.rules.CacheStores
	s.Handle(testStart, Configure{Version: 3, Rules: rules})
	if end := testStart.Add(scopeFreeDelay); freesOldPart(s, end) {
		t.Error("a part was freed before the change was recorded")
	}
	s.Handle(testStart, IsolationSeen{Record: s.isolation.current, Revision: 9})
	if freesOldPart(s, testStart.Add(scopeFreeDelay-time.Millisecond)) {
		t.Error("a part was freed while calls may use it")
	}
	if !freesOldPart(s, testStart.Add(scopeFreeDelay)) {
		t.Error("no part was freed")
	}
}

// TestPeerBringsRecord guards against a node that cannot read the record at its start, gets
// the configuration from a peer and uses a salt that was left before, or another than the
// peer.
func TestPeerBringsRecord(t *testing.T) {
	for _, isolated := range [][]request.Organisation{{"north"}, nil} {
		peer, s := forwardState(t, 1), forwardState(t, 1)
		rules := tenantRules(testKeys, isolated...)
		record := config.Isolation{}.Next([]request.Organisation{"north"}, 8).Next(isolated, 9)
		peer.Handle(testStart, IsolationSeen{Record: record, Revision: 9})
		peer.Handle(testStart, Configure{Version: 12, Rules: rules})
		answer := replyTo(t, peer.Handle(testStart, AskConfig{ID: "a"}), "a").(ConfigAnswer)
		s.Handle(testStart, ConfigSeen{Current: config.Configuration{Version: 12}, Rules: rules, Isolation: answer.Isolation})
		if got, want := saltOf(t, s, testStart, 1), saltOf(t, peer, testStart, 1); got != want || got == placement.Salt("m", 1, "") {
			t.Errorf("isolated %v: the salt is %q, that of the peer %q", isolated, got, want)
		}
	}
}

// TestNewerScopeNotFreed guards against freeing parts that nodes with a newer configuration
// use, and may be fetching, because this node learns of the configuration later.
func TestNewerScopeNotFreed(t *testing.T) {
	s := storeState(t, testStart.Add(-time.Minute))
	s.Handle(testStart, IsolationSeen{})
	rules := tenantRules(testKeys, "north")
	rules.CacheStores = s.rules.CacheStores
	s.Handle(testStart, Configure{Version: 3, Rules: rules})
	s.Handle(testStart, IsolationSeen{Record: s.isolation.current, Revision: 9})
	now := testStart.Add(scopeFreeDelay)
	newer := s.isolation.current.Next([]request.Organisation{"south"}, 4)
	for scope, want := range map[string]bool{newer.SharedScope(): false, newer.Scope("south"): false, "south/2": true, "/2-0123456789abcdef": true} {
		s.Handle(now, CacheEvents{Target: "kept", Epoch: 1, AskedAt: now, ReceivedAt: now, Events: []PartEvent{
			{Added: true, Salt: placement.Salt("m", 1, scope), ID: "part", Tokens: 10},
		}})
		s.output.Commands = nil
		s.freeParts(now)
		freed := slices.ContainsFunc(s.output.Commands, func(command Command) bool {
			free, ok := command.(FreeParts)
			return ok && slices.Contains(free.Parts, placement.PartKey{Salt: placement.Salt("m", 1, scope), ID: "part"})
		})
		if freed != want {
			t.Errorf("scope %q: freed %t, want %t", scope, freed, want)
		}
	}
}
