// Package relay spreads accepted tickets, the instance list and freshness from
// the platform to every process.
//
// In each availability zone a few processes, the readers, watch the object
// API. Every other process pulls from a parent. Ranks follow from the instance
// list by rendezvous hashing, so each process builds its place in the tree on
// its own; two processes that both believe to be readers cost one more watch.
package relay

import (
	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// ReadersPerZone is the number of readers in each availability zone.
	ReadersPerZone = 2
	// ReaderFanOut is the number of children of a reader, which also talks with
	// the object API and the readers of other zones.
	ReaderFanOut = 3
	// FanOut is the number of children of any other process.
	FanOut = 8
)

// place is where a process stands in its zone's tree.
type place struct {
	reader bool
	// relays is true if other processes pull from this one.
	relays bool
	// parents are the processes to pull from, the preferred one first. For a
	// reader these are the readers of every zone.
	parents []membership.Instance
}

// placed is the place of this process in the tree of one view.
type placed struct {
	view *membership.View
	at   place
}

// place returns where this process stands in the newest instance list.
func (r *Relay) place() place {
	view := r.Membership.View()
	if held := r.placed.Load(); held != nil && held.view == view {
		return held.at
	}
	at := placeOf(view, r.Self)
	r.placed.Store(&placed{view: view, at: at})
	return at
}

// placeOf computes the place of self. A process that is not in the list yet
// is a leaf that pulls from its zone's readers.
func placeOf(view *membership.View, self membership.Instance) place {
	ranked := rankZone(view, self.AvailabilityZone)
	index := indexOf(ranked, self.Name)
	if index >= 0 && index < ReadersPerZone {
		return place{reader: true, relays: true, parents: readersExcept(view, self)}
	}
	if index < 0 {
		return place{parents: readersExcept(view, self)}
	}
	preferred := parentOf(index)
	firstChild := firstBelowReaders + (index-ReadersPerZone)*FanOut
	found := place{relays: firstChild < len(ranked)}
	found.parents = append(found.parents, ranked[preferred])
	for _, reader := range ranked[:min(ReadersPerZone, index)] {
		if reader.Name != ranked[preferred].Name {
			found.parents = append(found.parents, reader)
		}
	}
	for _, reader := range readersExcept(view, self) {
		if reader.AvailabilityZone != self.AvailabilityZone {
			found.parents = append(found.parents, reader)
		}
	}
	return found
}

// firstBelowReaders is the first rank whose parent is not a reader.
const firstBelowReaders = ReadersPerZone + ReadersPerZone*ReaderFanOut

// parentOf returns the rank of the parent of a process that is not a reader.
func parentOf(rank int) int {
	if rank < firstBelowReaders {
		return (rank - ReadersPerZone) / ReaderFanOut
	}
	return ReadersPerZone + (rank-firstBelowReaders)/FanOut
}

// rankZone orders the live instances of a zone.
func rankZone(view *membership.View, zone string) []membership.Instance {
	return membership.Rank("relay/"+zone, view.Zone(zone))
}

// readersExcept returns the readers of every zone but self, one's own zone
// first.
func readersExcept(view *membership.View, self membership.Instance) []membership.Instance {
	var near, far []membership.Instance
	for _, zone := range view.Zones() {
		for _, reader := range membership.Top("relay/"+zone, view.Zone(zone), ReadersPerZone) {
			switch {
			case reader.Name == self.Name:
			case zone == self.AvailabilityZone:
				near = append(near, reader)
			default:
				far = append(far, reader)
			}
		}
	}
	return append(near, far...)
}

func indexOf(instances []membership.Instance, name string) int {
	for index, instance := range instances {
		if instance.Name == name {
			return index
		}
	}
	return -1
}
