package config_test

import (
	"testing"

	"tanagerspread/core/config"
	"tanagerspread/core/request"
)

// TestScopesNeverReturn guards against cached parts that an organisation made before its
// isolation changed and that are found again when the set of isolated organisations
// returns to an earlier value, and against parts that are read again without a change.
func TestScopesNeverReturn(t *testing.T) {
	type set = []request.Organisation
	used := map[string]int{"": 0}
	var state config.Isolation
	for i, isolated := range []set{{}, {}, {"a"}, {"a"}, {}, {"a"}, {"a", "b"}, {"b", "a"}, {"b"}, {}} {
		version := config.Version(i + 1)
		next := state.Next(isolated, version)
		unchanged := i == 1 || i == 3 || i == 7
		if scopes := []string{next.SharedScope(), next.Scope("a")}; unchanged && (scopes[0] != state.SharedScope() || scopes[1] != state.Scope("a")) {
			t.Errorf("version %d: the scopes changed to %q without a change of the set", version, scopes)
		}
		if since, found := used[next.SharedScope()]; found && i > 0 && !unchanged && since != i {
			t.Errorf("version %d: the scope %q of version %d is in use again", version, next.SharedScope(), since+1)
		}
		used[next.SharedScope()] = i
		for organisation := range next.Since {
			if since, found := used[next.Scope(organisation)]; found && state.Since[organisation] == 0 {
				t.Errorf("version %d: organisation %s gets the scope %q of version %d", version, organisation, next.Scope(organisation), since+1)
			}
			used[next.Scope(organisation)] = i
		}
		state = next
	}
}

// TestScopesDiffer guards against the same scope for two sets that two nodes take to have
// been isolated since the same version, and for names that resemble a shared scope.
func TestScopesDiffer(t *testing.T) {
	one, other := config.Isolation{}.Next([]request.Organisation{"a"}, 7), config.Isolation{}.Next([]request.Organisation{"a", ""}, 7)
	lookalike := config.Isolation{}.Next([]request.Organisation{request.Organisation(one.SharedScope())}, 7)
	scopes := map[string]bool{"": true}
	for _, scope := range []string{
		one.SharedScope(), other.SharedScope(), one.Scope("a"), other.Scope(""), lookalike.SharedScope(), lookalike.Scope(request.Organisation(one.SharedScope())),
	} {
		if scopes[scope] {
			t.Errorf("scope %q stands for two groups", scope)
		}
		scopes[scope] = true
	}
}

// TestScopeAfterIsolationEnded guards against the scope of an earlier period for calls that
// still wait when their organisation stops being isolated, whenever that happens.
func TestScopeAfterIsolationEnded(t *testing.T) {
	var state config.Isolation
	used := map[string]config.Version{}
	for version := config.Version(1); version <= 4; version++ {
		isolated := []request.Organisation{"a"}
		if version%2 == 0 {
			isolated = nil
		}
		state = state.Next(isolated, version)
		if earlier, found := used[state.Scope("a")]; found {
			t.Errorf("version %d: the scope %q of version %d is in use again", version, state.Scope("a"), earlier)
		}
		used[state.Scope("a")] = version
	}
}
