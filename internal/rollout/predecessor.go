// Package rollout decides when an endpoint may swap its weights, so that at
// most a given number of endpoints of a pool swap at a time, without a leader.
// It does no I/O.
package rollout

import "github.com/mimosaward/mimosaward/internal/membership"

// Predecessors returns the members that must serve the new set before self may
// swap, the nearest first. The members of a pool form as many chains as may
// swap at a time; in each chain one member swaps after the other. If a
// predecessor is gone, the one before it counts. None means that self may swap
// at once.
func Predecessors(key, self string, members []membership.Instance, maxSwapping int) []membership.Instance {
	ranked := membership.Rank("swap/"+key, members)
	selfIndex := -1
	for index, member := range ranked {
		if member.Name == self {
			selfIndex = index
		}
	}
	var predecessors []membership.Instance
	for index := selfIndex - max(1, maxSwapping); index >= 0; index -= max(1, maxSwapping) {
		predecessors = append(predecessors, ranked[index])
	}
	return predecessors
}
