package peering

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// maxSingleCell is the largest number of gateways that form one cell although they
	// are in different regions.
	maxSingleCell = 20
	// maxCellSize is the mean size of a region's cells above which the region gets one
	// more cell. The digests that a gateway handles are proportional to it.
	maxCellSize = 6
	// fleetCell is the name of the cell of a fleet that has only one.
	fleetCell = "fleet"
)

// Cells divides the gateways into cells. The gateways of a cell exchange their digests
// directly and share the endpoints of the cell; between cells, a few gateways exchange
// reports. So the traffic of a gateway does not grow with the number of gateways. A small
// fleet is one cell, a larger one has at least one cell for each region. Every gateway
// computes the same cells from the same members. Cells is immutable.
type Cells struct {
	byMember map[string]string
	members  map[string][]Member
	names    []string
}

// NewCells divides the members into cells.
func NewCells(members []Member) *Cells {
	c := &Cells{byMember: make(map[string]string, len(members)), members: map[string][]Member{}}
	cellOf := func(Member) string { return fleetCell }
	if len(members) > maxSingleCell {
		counts := map[string]int{}
		for _, member := range members {
			counts[member.Region]++
		}
		cellOf = func(member Member) string { return regionCell(member, counts[member.Region]) }
	}
	for _, member := range members {
		name := cellOf(member)
		c.byMember[member.Name] = name
		c.members[name] = append(c.members[name], member)
	}
	for _, list := range c.members {
		slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	}
	c.names = slices.Sorted(maps.Keys(c.members))
	return c
}

// regionCell returns the cell of a member whose region has the given number of gateways.
// Each cell of the region claims a member with a rendezvous hash, so that one cell more
// changes the cell of few members.
func regionCell(member Member, gateways int) string {
	cells := (gateways + maxCellSize - 1) / maxCellSize
	best, bestScore := "", uint64(0)
	for index := range cells {
		name := member.Region + "/" + strconv.Itoa(index)
		if score := membership.Score(name, member.Name); best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// Of returns the cell of a gateway, empty if the gateway is unknown.
func (c *Cells) Of(gateway string) string { return c.byMember[gateway] }

// Names returns the names of the cells, sorted.
func (c *Cells) Names() []string { return c.names }

// Members returns the gateways of a cell, ordered by name.
func (c *Cells) Members(cell string) []Member { return c.members[cell] }

// countIn returns the number of cells with gateways of a region, at least 1.
func (c *Cells) countIn(region string) int {
	count := 0
	for _, members := range c.members {
		if members[0].Region == region {
			count++
		}
	}
	return max(1, count)
}

// ForEndpoint returns the cell whose gateways send requests to an endpoint: one in the
// endpoint's region or, if none there is available, any other one. It returns an empty
// string if no cell is available.
func (c *Cells) ForEndpoint(id, region string, available func(cell string) bool) string {
	var best string
	var bestScore uint64
	bestLocal := false
	for _, name := range c.names {
		if !available(name) {
			continue
		}
		local := name == fleetCell || c.members[name][0].Region == region
		if bestLocal && !local {
			continue
		}
		if score := membership.Score(name, id); best == "" || (local && !bestLocal) || score > bestScore {
			best, bestScore, bestLocal = name, score, local
		}
	}
	return best
}

// ranksWithin reports whether a gateway is among the first count of a list in the
// rendezvous order of key.
func ranksWithin(key, gateway string, list []string, count int) bool {
	score := membership.Score(key, gateway)
	before := 0
	for _, other := range list {
		if otherScore := membership.Score(key, other); otherScore > score || (otherScore == score && other < gateway) {
			before++
		}
	}
	return before < count
}
