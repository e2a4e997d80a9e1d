package peering_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/quarantine"
)

// rejecting returns the gateways that reject a prompt part.
func rejecting(nodes map[int]*node, part string) []int {
	var indexes []int
	for index, n := range nodes {
		if rejected, _, _ := n.quarantine.Rejected([]string{part}, time.Now()); rejected != "" {
			indexes = append(indexes, index)
		}
	}
	slices.Sort(indexes)
	return indexes
}

// Guards against a prompt part that crashes engines and that only some gateways reject: each
// crash was seen by one gateway of a large fleet, while a gateway of each cell failed.
func TestCrashesReachEveryGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewNetwork()
		const count = 59
		nodes := map[int]*node{}
		for index := range count {
			nodes[index] = startNode(t, network, index, 1)
		}
		time.Sleep(8 * time.Second)
		cells := nodes[0].table.Cells()
		if len(cells.Names()) < 5 {
			t.Fatalf("%d cells, want several", len(cells.Names()))
		}
		for crash, reporter := range []int{0, 13, 26, 39, 52} {
			nodes[reporter].quarantine.RecordCrash(quarantine.Crash{Endpoint: fmt.Sprint("engine-", crash), Incarnation: 1, Parts: []string{"first", "bad", fmt.Sprint("session-", crash)}}, time.Now())
			if crash == 1 {
				for _, name := range cells.Names() {
					stopLast(t, network, nodes, cells.Members(name)[len(cells.Members(name))-1].Name)
				}
			}
			time.Sleep(200 * time.Millisecond)
			nodes[1].quarantine.RecordAnswered([]string{"first", "other"}, time.Now())
		}
		time.Sleep(1800 * time.Millisecond)
		var all []int
		for index := range count {
			if nodes[index] != nil {
				all = append(all, index)
			}
		}
		if diff := cmp.Diff(all, rejecting(nodes, "bad")); diff != "" {
			t.Errorf("gateways that reject the part 2 s after the fifth crash (-want +got):\n%s", diff)
		}
		if got := append(rejecting(nodes, "first"), rejecting(nodes, "session-0")...); len(got) > 0 {
			t.Errorf("gateways %v reject sound parts", got)
		}
		nodes[count] = startNode(t, network, count, 1)
		time.Sleep(2 * time.Second)
		if rejected, _, _ := nodes[count].quarantine.Rejected([]string{"bad"}, time.Now()); rejected == "" {
			t.Error("a gateway that started later does not reject the part")
		}
		nodes[5].quarantine.RecordAnswered([]string{"bad"}, time.Now())
		time.Sleep(2 * time.Second)
		if got := rejecting(nodes, "bad"); len(got) > 0 {
			t.Errorf("gateways %v reject the part 2 s after a request with it was answered", got)
		}
		for index, n := range nodes {
			n.stop(network, index)
		}
	})
}

// stopLast stops the gateway with a name, unless the test still needs it.
func stopLast(t *testing.T, network *fakes.Network, nodes map[int]*node, name string) {
	t.Helper()
	for index, n := range nodes {
		if newMember(index, 1).Name == name && index%13 != 0 && index != 1 && index != 5 {
			n.stop(network, index)
			delete(nodes, index)
		}
	}
}
