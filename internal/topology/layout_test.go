package topology_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/topology"
)

func members(count, regions int) []membership.Instance {
	var list []membership.Instance
	for index := range count {
		list = append(list, membership.Instance{Name: fmt.Sprintf("node-%03d", index), Region: fmt.Sprintf("region-%d", index%regions)})
	}
	return list
}

// routeSampling is the interval between the chunks whose routes are followed to the
// origin.
const routeSampling = 37

// Guards against routing loops and uneven load: following preferred sources from any
// instance ends at the origin, each chunk crosses a link between two regions at most
// once, and no instance uploads much more than one copy of the set.
func TestPreferredSourcesReachTheOrigin(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {2, 1}, {9, 3}, {15, 1}, {17, 1}, {48, 3}, {110, 1}, {440, 4}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			list := members(size[0], size[1])
			layouts := map[string]*topology.Layout{}
			for _, self := range list {
				layouts[self.Name] = topology.NewLayout("set", self, list, "region-0", 8)
			}
			const chunks = 220
			uploads := map[string]int{}
			for chunk := range chunks {
				fromOrigin, crossings := 0, map[[2]string]int{}
				for _, self := range list {
					source := layouts[self.Name].Sources(chunk)[0]
					switch source.Kind {
					case topology.Origin:
						fromOrigin++
					case topology.RemotePeer:
						crossings[[2]string{source.Peer.Region, self.Region}]++
						uploads[source.Peer.Name]++
					default:
						uploads[source.Peer.Name]++
					}
					if chunk%routeSampling == 0 {
						requireRouteToOrigin(t, layouts, self.Name, chunk)
					}
				}
				if fromOrigin != 1 {
					t.Fatalf("chunk %d is fetched from the origin %d times, want once", chunk, fromOrigin)
				}
				for link, count := range crossings {
					if count != 1 {
						t.Fatalf("chunk %d crosses %v %d times, want once", chunk, link, count)
					}
				}
			}
			for name, count := range uploads {
				if copies := float64(count) / chunks; copies > 1.2 {
					t.Errorf("%s uploads %.2f copies, want about 1", name, copies)
				}
			}
		})
	}
}

// requireRouteToOrigin fails the test unless following preferred sources ends at the
// origin.
func requireRouteToOrigin(t *testing.T, layouts map[string]*topology.Layout, name string, chunk int) {
	t.Helper()
	for range len(layouts) + 1 {
		source := layouts[name].Sources(chunk)[0]
		if source.Kind == topology.Origin {
			return
		}
		name = source.Peer.Name
	}
	t.Fatalf("route of chunk %d does not reach the origin, last instance %s", chunk, name)
}

// Layouts that are computed from the same members in any order must give the same preferred
// sources.
func TestSameMembersGiveSameSources(t *testing.T) {
	list := members(440, 4)
	self := list[5]
	layout := topology.NewLayout("set", self, list, "region-0", 8)
	for range 5 {
		shuffled := slices.Clone(list)
		rand.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
		recomputed := topology.NewLayout("set", self, shuffled, "region-0", 8)
		for chunk := range 100 {
			if layout.Sources(chunk)[0].Name() != recomputed.Sources(chunk)[0].Name() {
				t.Fatalf("the same members in another order give other sources of chunk %d", chunk)
			}
		}
	}
}
