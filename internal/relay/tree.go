// Package relay distributes accepted tickets, the instance list and freshness from
// the platform to every process.
//
// In each availability zone a few processes, the readers, watch the object API.
// Every other process pulls from a parent. The processes of a zone are ranked by
// rendezvous hashing over the instance list, so each process computes its position
// in the tree independently. If a zone temporarily has an extra process that
// considers itself a reader, the only cost is one more watch.
package relay

import (
	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// ReadersPerZone is the number of readers in each availability zone.
	ReadersPerZone = 2
	// ReaderFanOut is the maximum number of children of a reader. It is lower than
	// FanOut because a reader also communicates with the object API and with the
	// readers of other zones.
	ReaderFanOut = 3
	// FanOut is the maximum number of children of any other process.
	FanOut = 8
)

// treePosition is the position of a process in the tree of its zone.
type treePosition struct {
	reader bool
	// hasChildren reports whether other processes pull from this one.
	hasChildren bool
	// parents are the processes to pull from, the preferred one first. For a
	// reader these are the other readers of every zone.
	parents []membership.Instance
}

// cachedPosition is the position of this process that was computed from a view.
type cachedPosition struct {
	view     *membership.View
	position treePosition
}

// position returns the position of this process according to the current instance
// list. It is cached until the list changes.
func (r *Relay) position() treePosition {
	view := r.Membership.View()
	if cached := r.cached.Load(); cached != nil && cached.view == view {
		return cached.position
	}
	position := computePosition(view, r.Self)
	r.cached.Store(&cachedPosition{view: view, position: position})
	return position
}

// computePosition computes the position of self. A process that is not in the list
// yet is a leaf that pulls from the readers, those of its own zone first.
func computePosition(view *membership.View, self membership.Instance) treePosition {
	ranked := rankZone(view, self.AvailabilityZone)
	index := indexOf(ranked, self.Name)
	if index >= 0 && index < ReadersPerZone {
		return treePosition{reader: true, hasChildren: true, parents: otherReaders(view, self)}
	}
	if index < 0 {
		return treePosition{parents: otherReaders(view, self)}
	}
	parentRank := parentOf(index)
	firstChild := firstRankBelowReaders + (index-ReadersPerZone)*FanOut
	result := treePosition{hasChildren: firstChild < len(ranked)}
	result.parents = append(result.parents, ranked[parentRank])
	for _, reader := range ranked[:min(ReadersPerZone, index)] {
		if reader.Name != ranked[parentRank].Name {
			result.parents = append(result.parents, reader)
		}
	}
	for _, reader := range otherReaders(view, self) {
		if reader.AvailabilityZone != self.AvailabilityZone {
			result.parents = append(result.parents, reader)
		}
	}
	return result
}

// firstRankBelowReaders is the first rank whose parent is not a reader.
const firstRankBelowReaders = ReadersPerZone + ReadersPerZone*ReaderFanOut

// parentOf returns the rank of the parent of a process that is not a reader.
func parentOf(rank int) int {
	if rank < firstRankBelowReaders {
		return (rank - ReadersPerZone) / ReaderFanOut
	}
	return ReadersPerZone + (rank-firstRankBelowReaders)/FanOut
}

// rankZone returns the live instances of a zone in the order of their ranks.
func rankZone(view *membership.View, zone string) []membership.Instance {
	return membership.Rank("relay/"+zone, view.Zone(zone))
}

// otherReaders returns the readers of every zone except self, those of its own zone
// first.
func otherReaders(view *membership.View, self membership.Instance) []membership.Instance {
	var sameZone, otherZones []membership.Instance
	for _, zone := range view.Zones() {
		for _, reader := range membership.TopRanked("relay/"+zone, view.Zone(zone), ReadersPerZone) {
			switch {
			case reader.Name == self.Name:
			case zone == self.AvailabilityZone:
				sameZone = append(sameZone, reader)
			default:
				otherZones = append(otherZones, reader)
			}
		}
	}
	return append(sameZone, otherZones...)
}

// indexOf returns the index of the instance with the given name, or -1.
func indexOf(instances []membership.Instance, name string) int {
	for index, instance := range instances {
		if instance.Name == name {
			return index
		}
	}
	return -1
}
