package event

import (
	"cmp"
	"slices"
)

// Sorted returns every event in ascending order of its number.
func Sorted() []Event {
	events := All()
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Number, b.Number) })
	return events
}
