package peering_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/fakes"
)

// One gateway of each cell, and two of each region, read the object store. If all readers are
// cut off from it, others must take over within about a second, and the same ones must do so
// again after the cut.
func TestReadersOfEachRegion(t *testing.T) {
	for _, count := range []int{12, 30} {
		synctest.Test(t, func(t *testing.T) {
			network := fakes.NewNetwork()
			var nodes []*node
			for index := range count {
				nodes = append(nodes, startNode(t, network, index, 1))
			}
			// readers returns the gateways of each region that read the object store.
			readers := func() [][]int {
				regions := [][]int{nil, nil}
				for index, n := range nodes {
					if n.readsStore() {
						regions[index%2] = append(regions[index%2], index)
					}
				}
				return regions
			}
			time.Sleep(8 * time.Second)
			settled := readers()
			want := 2
			if cells := nodes[0].table.Cells().Names(); len(cells) > 1 {
				want = max(want, len(cells)/2)
			}
			if len(settled[0]) != want || len(settled[1]) != want {
				t.Errorf("%d gateways: %v read the object store, want %d of each region", count, settled, want)
			}
			for _, index := range slices.Concat(settled...) {
				nodes[index].cutOff.Store(true)
			}
			time.Sleep(2500 * time.Millisecond)
			if replaced := readers(); len(replaced[0]) == 0 || len(replaced[1]) == 0 {
				t.Errorf("%d gateways: %v read the object store after the readers were cut off", count, replaced)
			}
			for _, n := range nodes {
				n.cutOff.Store(false)
			}
			time.Sleep(3 * time.Second)
			if diff := cmp.Diff(settled, readers()); diff != "" {
				t.Errorf("%d gateways: readers after the cut (-want +got):\n%s", count, diff)
			}
			for index, n := range nodes {
				n.stop(network, index)
			}
		})
	}
}

// Guards against a cell without a gateway that verifies the watches of a kind, which would then
// be believed although the store never answers them, and against several that do so at the
// expense of the store.
func TestOneReaderOfEachCellVerifies(t *testing.T) {
	for _, count := range []int{12, 30} {
		synctest.Test(t, func(t *testing.T) {
			network := fakes.NewNetwork()
			var nodes []*node
			for index := range count {
				nodes = append(nodes, startNode(t, network, index, 1))
			}
			// verifiers returns the gateways of each cell that verify a kind.
			verifiers := func(kind string) map[string][]*node {
				byCell := map[string][]*node{}
				for _, n := range nodes {
					if n.readsStore() && n.table.Verifies(kind) {
						cell := nodes[0].table.Cells().Of(n.table.Self.Name)
						byCell[cell] = append(byCell[cell], n)
					}
				}
				return byCell
			}
			require := func(when string) {
				for _, kind := range []string{"configuration", "endpoints", "evacuations", "rollouts"} {
					for _, cell := range nodes[0].table.Cells().Names() {
						if found := verifiers(kind)[cell]; len(found) != 1 {
							t.Errorf("%d gateways, %s: %d of cell %s verify %s, want 1", count, when, len(found), cell, kind)
						}
					}
				}
			}
			time.Sleep(8 * time.Second)
			require("at first")
			for _, found := range verifiers("endpoints") {
				found[0].cutOff.Store(true)
			}
			time.Sleep(2500 * time.Millisecond)
			require("after those that verified endpoints were cut off")
			for index, n := range nodes {
				n.stop(network, index)
			}
		})
	}
}
