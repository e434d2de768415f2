package configcheck

import (
	"fmt"
	"maps"
	"slices"

	"tanagerspread/core/request"
)

// Fields has the text of each field of a document by its path. The keys of callers are
// only in Keys, by the path of their entry, so that no comparison prints them.
type Fields struct {
	Text map[string]string
	Keys map[string]map[request.Digest]bool
}

// Change is one difference between two documents.
type Change struct {
	Path   string
	Reason string
}

// Diff returns what differs between two documents, sorted by path; the keys come last.
func Diff(before, after Fields) []Change {
	var changes []Change
	for _, path := range union(before.Text, after.Text) {
		old, wasSet := before.Text[path]
		current, isSet := after.Text[path]
		switch {
		case !wasSet:
			changes = append(changes, Change{path, "added: " + current})
		case !isSet:
			changes = append(changes, Change{path, "removed: " + old})
		case old != current:
			changes = append(changes, Change{path, "changed from " + old + " to " + current})
		}
	}
	for _, path := range union(before.Keys, after.Keys) {
		old, current := before.Keys[path], after.Keys[path]
		added, removed := countMissing(old, current), countMissing(current, old)
		if added+removed > 0 {
			changes = append(changes, Change{path, fmt.Sprintf("keys: %d added, %d removed", added, removed)})
		}
	}
	return changes
}

// union returns the keys of both maps, sorted.
func union[V any](a, b map[string]V) []string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

// countMissing returns how many elements of b are not in a.
func countMissing(a, b map[request.Digest]bool) int {
	count := 0
	for key := range b {
		if !a[key] {
			count++
		}
	}
	return count
}
