// Package topology selects the sources from which each instance fetches each chunk
// of a weight set. It does no I/O and needs no coordinator: every instance computes
// the same trees from the same instance list.
//
// The instances of a region are ranked by rendezvous hashing. The chunks are
// distributed over stripes. Each stripe has its own distribution tree, and every
// instance is an inner node in the tree of exactly one stripe and a leaf in all
// others, so that each instance uploads about as much as it downloads. The root of a
// stripe fetches its chunks from the origin or from one other region.
package topology

import (
	"slices"

	"github.com/mimosaward/mimosaward/internal/membership"
)

// maxFullyStriped is the largest number of instances in a region for which every
// instance is the root of its own stripe.
const maxFullyStriped = 16

// Layout is the set of distribution trees for one weight set, computed by one
// instance from its member list. It is immutable.
type Layout struct {
	self           membership.Instance
	homeRegionName string
	regions        []*region
	ownRegion      *region
	// homeRegion is nil if no member is in the home region.
	homeRegion *region
	// remoteRegions contains all regions except the home region.
	remoteRegions []*region
	// selfRank is the rank of self in ownRegion.
	selfRank int
}

// region holds the members of one region, ordered by rank.
type region struct {
	name      string
	instances []membership.Instance
	stripes   int
	// reservedSlots is how many fewer children a root has than the other inner nodes, to
	// leave it capacity for serving another region.
	reservedSlots int
}

// NewLayout computes the layout over members for the weight set identified by key.
// homeRegionName is the region that the origin is connected to. Self is added if members
// does not contain it.
func NewLayout(key string, self membership.Instance, members []membership.Instance, homeRegionName string, fanOut int) *Layout {
	layout := &Layout{self: self, homeRegionName: homeRegionName}
	byRegion := map[string][]membership.Instance{}
	hasSelf := false
	for _, member := range members {
		byRegion[member.Region] = append(byRegion[member.Region], member)
		hasSelf = hasSelf || member.Name == self.Name
	}
	if !hasSelf {
		byRegion[self.Region] = append(byRegion[self.Region], self)
	}
	for name, instances := range byRegion {
		regionLayout := newRegion(key, name, instances, fanOut)
		if len(byRegion) > 1 {
			regionLayout.reservedSlots = 1
		}
		layout.regions = append(layout.regions, regionLayout)
	}
	slices.SortFunc(layout.regions, compareRegions)
	for _, r := range layout.regions {
		if r.name == homeRegionName {
			layout.homeRegion = r
		} else {
			layout.remoteRegions = append(layout.remoteRegions, r)
		}
		if r.name == self.Region {
			layout.ownRegion = r
			layout.selfRank = slices.IndexFunc(r.instances, func(i membership.Instance) bool { return i.Name == self.Name })
		}
	}
	return layout
}

func compareRegions(a, b *region) int {
	switch {
	case a.name < b.name:
		return -1
	case a.name > b.name:
		return 1
	default:
		return 0
	}
}

func newRegion(key, name string, members []membership.Instance, fanOut int) *region {
	stripes := fanOut
	if len(members) <= maxFullyStriped {
		stripes = len(members)
	}
	return &region{name: name, instances: membership.Rank("burst/"+key, members), stripes: stripes}
}

// Members returns all members and the index of self among them. The home region
// comes first, and the members of each region are ordered by rank.
func (l *Layout) Members() (members []membership.Instance, selfIndex int) {
	ordered := slices.Clone(l.regions)
	slices.SortStableFunc(ordered, func(a, b *region) int {
		switch {
		case a.name == l.homeRegionName && b.name != l.homeRegionName:
			return -1
		case b.name == l.homeRegionName && a.name != l.homeRegionName:
			return 1
		default:
			return 0
		}
	})
	for _, r := range ordered {
		members = append(members, r.instances...)
	}
	selfIndex = slices.IndexFunc(members, func(i membership.Instance) bool { return i.Name == l.self.Name })
	return members, selfIndex
}

// Stripes returns the number of stripes in self's region.
func (l *Layout) Stripes() int { return l.ownRegion.stripes }

// Stripe returns the stripe of a chunk in self's region.
func (l *Layout) Stripe(chunk int) int { return l.ownRegion.stripe(chunk) }

// stripe returns the stripe of a chunk. The number of chunks in a stripe is
// proportional to its number of inner nodes.
func (r *region) stripe(chunk int) int { return chunk % len(r.instances) % r.stripes }

// innerCount returns the number of inner nodes in a stripe's tree.
func (r *region) innerCount(stripe int) int {
	return (len(r.instances) - stripe + r.stripes - 1) / r.stripes
}

// innerNode returns the inner node of a stripe at a position; position 0 is the root.
func (r *region) innerNode(stripe, position int) membership.Instance {
	return r.instances[position*r.stripes+stripe]
}

// parent returns the position of the parent of the instance with the given rank in
// the stripe's tree, and false for the root. If there are several regions, the root
// has one child fewer than the other inner nodes, since it also serves another region.
func (r *region) parent(stripe, rank int) (int, bool) {
	innerCount := r.innerCount(stripe)
	fanOut := max(1, (len(r.instances)-1+r.reservedSlots+innerCount-1)/innerCount)
	slot := r.childSlot(stripe, rank)
	if slot < 0 {
		return 0, false
	}
	if innerCount == 1 {
		return 0, true
	}
	return min((slot+r.reservedSlots)/fanOut, innerCount-1), true
}

// childSlot returns the index of an instance among the non-root nodes of a stripe's
// tree: first the inner nodes, then the leaves. It returns -1 for the root.
func (r *region) childSlot(stripe, rank int) int {
	if rank%r.stripes == stripe {
		return rank/r.stripes - 1
	}
	innerBefore := 0
	if rank > stripe {
		innerBefore = (rank - stripe + r.stripes - 1) / r.stripes
	}
	return r.innerCount(stripe) - 1 + rank - innerBefore
}
