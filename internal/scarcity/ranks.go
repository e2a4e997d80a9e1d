// Package scarcity decides which jobs of a service with too few places are served, and when
// callers that are refused should return. It does no I/O.
package scarcity

import "slices"

// Ranks are the priorities of the routes to one service, in ascending order without
// duplicates. A service with a single priority is not ranked.
type Ranks []int

// Ranked reports whether there are jobs of different priorities.
func (r Ranks) Ranked() bool { return len(r) > 1 }

// Of returns the rank of a priority: the number of more urgent priorities.
func (r Ranks) Of(priority int) int {
	rank, _ := slices.BinarySearch(r, priority)
	return rank
}
