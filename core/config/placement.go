package config

// The placement policies that a rule may select.
const (
	PlacementRoundRobin = "round-robin"
	PlacementLeastLoad  = "least-load"
	PlacementSticky     = "sticky-prefix"
	PlacementFirstToken = "first-token"
)

// Placements returns the names of the placement policies.
func Placements() []string {
	return []string{PlacementRoundRobin, PlacementLeastLoad, PlacementSticky, PlacementFirstToken}
}
