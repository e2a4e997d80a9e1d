// Package rollout decides when an endpoint may swap its weights. It limits how
// many endpoints of a pool swap at the same time, and needs no leader. It does no
// I/O.
package rollout

import "github.com/mimosaward/mimosaward/internal/membership"

// Predecessors returns the members that must serve the new weight set before
// self may swap, the nearest first. The members of a pool form maxSwapping
// chains, at least one, and the members of a chain swap one after another. If a
// predecessor is gone, the one before it takes its place. An empty result means
// that self may swap at once.
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
