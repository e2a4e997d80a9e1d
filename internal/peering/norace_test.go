//go:build !race

package peering_test

// plannedFleet returns the fleet of the planned size of a large deployment.
func plannedFleet() []int { return []int{10, 13, 13, 12, 11} }
