//go:build race

package peering_test

// plannedFleet returns a fleet of three regions and six cells: the race detector needs too
// much memory and time for the fleet of the planned size, which is tested without it.
func plannedFleet() []int { return []int{8, 8, 8} }
