package rules

import (
	"cmp"
	"slices"
	"strings"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/node/inifile"
)

// Kind is the kind of a change.
type Kind string

// The kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one rule that differs between two texts.
type Change struct {
	Kind    Kind   `json:"kind"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
	// OldAskedBy and NewAskedBy are the comments of the old and the new rule,
	// which say who asked for it.
	OldAskedBy string `json:"old_asked_by,omitempty"`
	NewAskedBy string `json:"new_asked_by,omitempty"`
}

// Diff returns the rules that differ between two texts, ordered by section and
// key. It omits lines that cannot be parsed; Parse reports them.
func Diff(before, after string) []Change {
	older := indexEntries(before)
	newer := indexEntries(after)
	var changes []Change
	for name, e := range older {
		if _, exists := newer[name]; !exists {
			changes = append(changes, Change{Kind: Removed, Section: e.Section, Key: e.Key, Old: e.Value, OldAskedBy: e.Comment})
		}
	}
	for name, e := range newer {
		old, existed := older[name]
		switch {
		case !existed:
			changes = append(changes, Change{Kind: Added, Section: e.Section, Key: e.Key, New: e.Value, NewAskedBy: e.Comment})
		case old.Value != e.Value || old.Comment != e.Comment:
			changes = append(changes, Change{Changed, e.Section, e.Key, old.Value, e.Value, old.Comment, e.Comment})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key))
	})
	return changes
}

// indexEntries returns the rules of a text by section and key, with runs of
// spaces in their values reduced to one space.
func indexEntries(text string) map[string]inifile.Entry {
	entries, _ := inifile.Parse(text, inifile.Codes{Malformed: code.RuleMalformed, Repeated: code.RuleConflict})
	indexed := make(map[string]inifile.Entry, len(entries))
	for _, e := range entries {
		e.Value = strings.Join(strings.Fields(e.Value), " ")
		indexed[config.RuleName(e.Section, e.Key)] = e
	}
	return indexed
}
