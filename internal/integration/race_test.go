//go:build race

package integration

// plannedFleets returns no fleets: the race detector makes the largest ones too slow.
func plannedFleets() map[string]limitedFleet { return nil }
