package peering_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/peering"
)

// fleet returns gateways that are evenly spread over regions.
func fleet(count, regions int) []peering.Member {
	var members []peering.Member
	for index := range count {
		members = append(members, peering.Member{Name: fmt.Sprintf("gateway-%03d", index), Region: fmt.Sprint("region-", index%regions), Control: "c"})
	}
	return members
}

func TestSmallFleetIsOneCell(t *testing.T) {
	cells := peering.NewCells(fleet(20, 3))
	if diff := cmp.Diff(1, len(cells.Names())); diff != "" {
		t.Errorf("number of cells (-want +got):\n%s", diff)
	}
}

// The cells of a large fleet lie within regions and have a bounded size, so that the
// traffic of a gateway does not grow with the fleet.
func TestCellsOfLargeFleetAreBounded(t *testing.T) {
	for _, size := range [][2]int{{21, 3}, {59, 5}, {740, 4}} {
		cells := peering.NewCells(fleet(size[0], size[1]))
		members := 0
		for _, name := range cells.Names() {
			list := cells.Members(name)
			members += len(list)
			if len(list) > 18 {
				t.Errorf("%v: cell %s has %d members, want at most three times the mean", size, name, len(list))
			}
			for _, member := range list {
				if member.Region != list[0].Region || cells.Of(member.Name) != name {
					t.Errorf("%v: cell %s contains %s of %s", size, name, member.Name, member.Region)
				}
			}
		}
		if members != size[0] {
			t.Errorf("%v: the cells have %d members", size, members)
		}
	}
}

// A gateway more must move few of the others to another cell, because each move interrupts
// the exchange of digests.
func TestJoinMovesFewGateways(t *testing.T) {
	members := fleet(120, 4)
	before, after := peering.NewCells(members[:119]), peering.NewCells(members)
	moved := 0
	for _, member := range members[:119] {
		if before.Of(member.Name) != after.Of(member.Name) {
			moved++
		}
	}
	if moved > 10 {
		t.Errorf("%d of 119 gateways moved to another cell, want at most 10", moved)
	}
}

// Each endpoint belongs to exactly one cell, in its own region if a cell there is available.
func TestEndpointsBelongToOneCell(t *testing.T) {
	cells := peering.NewCells(fleet(59, 5))
	regionOf := func(cell string) string { return cells.Members(cell)[0].Region }
	for index := range 200 {
		id, region := fmt.Sprint("endpoint-", index), fmt.Sprint("region-", index%5)
		everywhere := cells.ForEndpoint(id, region, func(string) bool { return true })
		if regionOf(everywhere) != region {
			t.Errorf("%s of %s belongs to %s", id, region, everywhere)
		}
		elsewhere := cells.ForEndpoint(id, region, func(cell string) bool { return regionOf(cell) != region })
		if elsewhere == "" || regionOf(elsewhere) == region {
			t.Errorf("%s belongs to %q while the cells of its region are unavailable", id, elsewhere)
		}
	}
	if got := cells.ForEndpoint("endpoint", "region-0", func(string) bool { return false }); got != "" {
		t.Errorf("without an available cell, an endpoint belongs to %q", got)
	}
}
