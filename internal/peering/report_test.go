package peering_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/fakes"
)

// aliveCount returns the number of gateways that the node considers alive.
func (n *node) aliveCount() int { return len(n.table.Alive()) }

// Gateways of a fleet with several cells must learn about the gateways of all cells from
// reports, also when a part of the fleet fails at once, and must forget those that failed.
func TestCellsExchangeReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewNetwork()
		const count = 30
		nodes := map[int]*node{}
		for index := range count {
			nodes[index] = startNode(t, network, index, 1)
		}
		requireAlive := func(when string) {
			t.Helper()
			want, got := map[int]int{}, map[int]int{}
			for index, n := range nodes {
				want[index], got[index] = len(nodes)-1, n.aliveCount()
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s: number of gateways that each gateway considers alive (-want +got):\n%s", when, diff)
			}
		}
		time.Sleep(8 * time.Second)
		requireAlive("at the start")
		for index := 5; index < count; index += 3 {
			nodes[index].stop(network, index)
			delete(nodes, index)
		}
		time.Sleep(6 * time.Second)
		requireAlive("after a third of the fleet failed")
		for index := 5; index < count; index += 3 {
			nodes[index] = startNode(t, network, index, 2)
		}
		time.Sleep(8 * time.Second)
		requireAlive("after a restart")
		readers := 0
		for _, n := range nodes {
			if n.table.IsReader() {
				readers++
			}
		}
		if cells := len(nodes[0].table.Cells().Names()); readers < cells {
			t.Errorf("%d gateways read the object store, want at least one in each of %d cells", readers, cells)
		}
		for index, n := range nodes {
			n.stop(network, index)
		}
	})
}
