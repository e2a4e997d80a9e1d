package peering_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// claims returns the number of cells whose ready gateways send requests to an endpoint, and
// reports whether all ready gateways of each cell agree on it.
func (f *runningFleet) claims(id, region string) (cells int, agree bool) {
	claimed := map[string]bool{}
	ready := map[string]int{}
	claiming := map[string]int{}
	for _, g := range f.gateways {
		if g.notReady.Load() {
			continue
		}
		cell := g.table.Cells().Of(g.member.Name)
		ready[cell]++
		if belongs := g.table.CellEndpoints(); belongs == nil || belongs(id, region) {
			claimed[cell] = true
			claiming[cell]++
		}
	}
	agree = true
	for cell := range claimed {
		agree = agree && claiming[cell] == ready[cell]
	}
	return len(claimed), agree
}

// Every endpoint must belong to exactly one cell with ready gateways, also while a whole cell
// or a whole region is not ready: two cells would overload it, and without one it is unused.
func TestEndpointBelongsToOneReadyCell(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *runningFleet) {
		f.startAll()
		settled := func() bool {
			for index := range 25 {
				region := fmt.Sprint("region-", index%3)
				if cells, agree := f.claims(fmt.Sprint("endpoint-", index), region); cells != 1 || !agree {
					return false
				}
			}
			return true
		}
		cellOfFirst := func(g *fleetGateway) bool {
			cells := f.gateways[0].table.Cells()
			return cells.Of(g.member.Name) == cells.Of(f.gateways[0].member.Name) && g.member.Region == "region-0"
		}
		regionOfFirst := func(g *fleetGateway) bool { return g.member.Region == "region-0" }
		var taken, returned worst
		for _, leaves := range []func(*fleetGateway) bool{cellOfFirst, regionOfFirst} {
			leaving := slices.DeleteFunc(slices.Clone(f.gateways), func(g *fleetGateway) bool { return !leaves(g) })
			setReady := func(ready bool) time.Duration {
				start := time.Now()
				for _, g := range leaving {
					g.notReady.Store(!ready)
				}
				for time.Sleep(measureResolution); !settled() && time.Since(start) < measureLimit; {
					time.Sleep(measureResolution)
				}
				return time.Since(start)
			}
			taken.add(setReady(false))
			time.Sleep(3 * time.Second)
			returned.add(setReady(true))
			time.Sleep(3 * time.Second)
		}
		taken.require(t, "endpoints of a cell that is not ready", contactTime)
		returned.require(t, "endpoints of a cell that is ready again", contactTime)
	})
}
