// Package topology decides from where each instance gets each chunk of a weight
// set. It does no I/O and needs no coordinator: every instance computes the
// same layout from the instance list.
//
// The instances of a region are ranked by rendezvous hashing. The chunks are
// dealt to stripes, and each stripe has its own tree in which every instance is
// an inner node of exactly one stripe and a leaf of all others. So each
// instance uploads about as much as it downloads. The root of a stripe gets its
// chunks from the origin, or from one other region.
package topology

import (
	"slices"

	"github.com/mimosaward/mimosaward/internal/membership"
)

// smallRegion is the number of instances up to which every instance has a
// stripe of its own.
const smallRegion = 16

// Layout is the arrangement of one burst as one instance sees it. It is
// immutable.
type Layout struct {
	self    membership.Instance
	home    string
	regions []*region
	own     *region
	// homeRegion is nil if no member is in the region of the origin's link.
	homeRegion *region
	// abroad are the regions but the home region.
	abroad []*region
	// index is the rank of self in its region.
	index int
}

// region is the ranked members of one region.
type region struct {
	name    string
	ranked  []membership.Instance
	stripes int
	// reserved is the number of children that a root has less than the other
	// inner nodes.
	reserved int
}

// NewLayout arranges members for the weight set named key. home is the region
// that the origin's link ends in. Self is added if members lack it.
func NewLayout(key string, self membership.Instance, members []membership.Instance, home string, fanOut int) *Layout {
	layout := &Layout{self: self, home: home}
	byRegion := map[string][]membership.Instance{}
	listed := false
	for _, member := range members {
		byRegion[member.Region] = append(byRegion[member.Region], member)
		listed = listed || member.Name == self.Name
	}
	if !listed {
		byRegion[self.Region] = append(byRegion[self.Region], self)
	}
	for name, inRegion := range byRegion {
		arranged := newRegion(key, name, inRegion, fanOut)
		if len(byRegion) > 1 {
			arranged.reserved = 1
		}
		layout.regions = append(layout.regions, arranged)
	}
	slices.SortFunc(layout.regions, compareRegions)
	for _, r := range layout.regions {
		if r.name == home {
			layout.homeRegion = r
		} else {
			layout.abroad = append(layout.abroad, r)
		}
		if r.name == self.Region {
			layout.own = r
			layout.index = slices.IndexFunc(r.ranked, func(i membership.Instance) bool { return i.Name == self.Name })
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
	if len(members) <= smallRegion {
		stripes = len(members)
	}
	return &region{name: name, ranked: membership.Rank("burst/"+key, members), stripes: stripes}
}

// Members returns every member, the home region's first and each region in the
// order of its ranks, and the place of self.
func (l *Layout) Members() (members []membership.Instance, self int) {
	ordered := slices.Clone(l.regions)
	slices.SortStableFunc(ordered, func(a, b *region) int {
		switch {
		case a.name == l.home && b.name != l.home:
			return -1
		case b.name == l.home && a.name != l.home:
			return 1
		default:
			return 0
		}
	})
	for _, r := range ordered {
		members = append(members, r.ranked...)
	}
	self = slices.IndexFunc(members, func(i membership.Instance) bool { return i.Name == l.self.Name })
	return members, self
}

// Stripes returns the number of stripes in the instance's region.
func (l *Layout) Stripes() int { return l.own.stripes }

// Stripe returns the stripe of a chunk in the instance's region.
func (l *Layout) Stripe(chunk int) int { return l.own.stripe(chunk) }

// stripe deals chunks so that a stripe's share is proportional to its inner
// nodes.
func (r *region) stripe(chunk int) int { return chunk % len(r.ranked) % r.stripes }

// inner returns the number of inner nodes of a stripe.
func (r *region) inner(stripe int) int {
	return (len(r.ranked) - stripe + r.stripes - 1) / r.stripes
}

// node returns the inner node of a stripe at a position; 0 is the root.
func (r *region) node(stripe, position int) membership.Instance {
	return r.ranked[position*r.stripes+stripe]
}

// parent returns the position of the inner node above the ranked instance in
// the stripe's tree, and false for the root. The root has one child less than
// the others, since it also serves another region.
func (r *region) parent(stripe, rank int) (int, bool) {
	inner := r.inner(stripe)
	fanOut := max(1, (len(r.ranked)-1+r.reserved+inner-1)/inner)
	slot := r.slot(stripe, rank)
	if slot < 0 {
		return 0, false
	}
	if inner == 1 {
		return 0, true
	}
	return min((slot+r.reserved)/fanOut, inner-1), true
}

// slot numbers the children of a stripe's tree: first the inner nodes after
// the root, then the leaves. The root has slot -1.
func (r *region) slot(stripe, rank int) int {
	if rank%r.stripes == stripe {
		return rank/r.stripes - 1
	}
	innerBefore := 0
	if rank > stripe {
		innerBefore = (rank - stripe + r.stripes - 1) / r.stripes
	}
	return r.inner(stripe) - 1 + rank - innerBefore
}
