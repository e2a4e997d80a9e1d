//go:build race

package integration

// oneInstallationForOddEntries is set because the race detector makes one for each too slow.
const oneInstallationForOddEntries = true

// plannedFleets returns no fleets: the race detector makes the largest ones too slow.
func plannedFleets() map[string]limitedFleet { return nil }
