package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// gatewaysIn returns one gateway for each letter of zones, in the availability zone that
// the letter names.
func gatewaysIn(zones string) []peering.Member {
	var list []peering.Member
	for index, zone := range zones {
		list = append(list, peering.Member{Name: fmt.Sprint("gateway-", index), AvailabilityZone: string(zone)})
	}
	return list
}

func endpointsIn(zones string) []clusterstate.Endpoint {
	var list []clusterstate.Endpoint
	for index, zone := range zones {
		list = append(list, clusterstate.Endpoint{ID: fmt.Sprintf("endpoint-%02d", index), Service: "drafts", Address: fmt.Sprintf("10.0.0.%d:80", index), AvailabilityZone: string(zone)})
	}
	return list
}

// wholeFleet is the assignment of a fleet that is one cell.
func wholeFleet() func(id, region string) bool { return nil }

// countOwned returns how many endpoints each gateway owns, and how many of them are in its
// own availability zone.
func countOwned(endpoints []clusterstate.Endpoint, gateways []peering.Member) (owned, sameZone []int) {
	owners := assignOwners(endpoints, gateways)
	for _, gateway := range gateways {
		total, local := 0, 0
		for _, endpoint := range endpoints {
			if owners[endpoint.ID] != gateway.Name {
				continue
			}
			total++
			if endpoint.AvailabilityZone == gateway.AvailabilityZone {
				local++
			}
		}
		owned, sameZone = append(owned, total), append(sameZone, local)
	}
	return owned, sameZone
}

func TestAssignOwners(t *testing.T) {
	cases := map[string]struct {
		endpoints, gateways string
		owned, sameZone     []int
	}{
		"equal zones":                            {"aaaabbbbcccc", "abc", []int{4, 4, 4}, []int{4, 4, 4}},
		"a zone has two gateways":                {"aaaabbbbcccc", "aabc", []int{2, 2, 4, 4}, []int{2, 2, 4, 4}},
		"a zone has no endpoints":                {"bbbbbbcccccc", "abc", []int{4, 4, 4}, []int{0, 4, 4}},
		"a zone has no gateway":                  {"aaaabbbbcccc", "ab", []int{6, 6}, []int{4, 4}},
		"fewer endpoints than gateways":          {"ab", "abc", []int{0, 0, 0}, []int{0, 0, 0}},
		"as many endpoints as gateways":          {"aab", "aab", []int{1, 1, 1}, []int{1, 1, 1}},
		"one gateway":                            {"abc", "a", []int{3}, []int{1}},
		"no endpoints":                           {"", "ab", []int{0, 0}, []int{0, 0}},
		"only zone of gateways has no endpoints": {"bbbb", "aa", []int{2, 2}, []int{0, 0}},
	}
	for name, c := range cases {
		owned, sameZone := countOwned(endpointsIn(c.endpoints), gatewaysIn(c.gateways))
		if diff := cmp.Diff([][]int{c.owned, c.sameZone}, [][]int{owned, sameZone}); diff != "" {
			t.Errorf("%s: endpoints owned by each gateway, in total and in its own zone (-want +got):\n%s", name, diff)
		}
	}
}

// Gateways with the same endpoints and peers compute the same owners, independent of the
// order of the peers.
func TestGatewaysAgreeOnOwners(t *testing.T) {
	store := clusterstate.NewStore()
	store.SetEndpoints(endpointsIn("aaabbbccc"), informer.Position{Revision: 5})
	gateways := gatewaysIn("abcc")
	var ownersByGateway []map[string]string
	for index, self := range gateways {
		var peers []peering.Peer
		for offset := 1; offset < len(gateways); offset++ {
			peers = append(peers, peering.Peer{Digest: peering.Digest{Member: gateways[(index+offset)%len(gateways)], Ready: true}})
		}
		var o ownership
		o.update(store.View(), "drafts", readyGateways(self, peers), wholeFleet, time.Now())
		ownersByGateway = append(ownersByGateway, o.owners)
	}
	for _, owners := range ownersByGateway[1:] {
		if diff := cmp.Diff(ownersByGateway[0], owners); diff != "" {
			t.Errorf("owners differ between gateways:\n%s", diff)
		}
	}
}

// Evacuating an availability zone removes its endpoints from the assignment, and the
// endpoints of a stopping gateway are reassigned.
func TestOwnersFollowEvacuationAndShutdown(t *testing.T) {
	store := clusterstate.NewStore()
	store.SetEndpoints(endpointsIn("aabb"), informer.Position{Revision: 5})
	gateways := gatewaysIn("ab")
	peers := []peering.Peer{{Digest: peering.Digest{Member: gateways[1], Ready: true}}}
	var o ownership
	o.update(store.View(), "drafts", readyGateways(gateways[0], peers), wholeFleet, time.Now())
	before := o.ownedBy("gateway-0")
	store.SetEvacuatedZones(map[string]bool{"a": true})
	o.update(store.View(), "drafts", readyGateways(gateways[0], peers), wholeFleet, time.Now())
	evacuated := o.ownedBy("gateway-0")
	peers[0].Digest.Stopping = true
	o.update(store.View(), "drafts", readyGateways(gateways[0], peers), wholeFleet, time.Now())
	withoutPeer := o.ownedBy("gateway-0")
	want := [][]string{{"endpoint-00", "endpoint-01"}, {"endpoint-03"}, {"endpoint-02", "endpoint-03"}}
	if diff := cmp.Diff(want, [][]string{before, evacuated, withoutPeer}); diff != "" {
		t.Errorf("endpoints owned initially, after the evacuation, and after the peer stops (-want +got):\n%s", diff)
	}
}

// An endpoint is lent to one gateway at a time, round robin, and gateways with queued
// requests take precedence.
func TestLendingRoundRobin(t *testing.T) {
	now := time.Now()
	peers := []peering.Peer{
		{Digest: peering.Digest{Member: peering.Member{Name: "calm"}}},
		{Digest: peering.Digest{Member: peering.Member{Name: "busy"}, Demands: []peering.Demand{{Service: "drafts", Waiting: 2}}}},
		{Digest: peering.Digest{Member: peering.Member{Name: "hot"}, Demands: []peering.Demand{{Service: "drafts", Waiting: 1}}}},
	}
	var l lending
	var got []string
	for step := range 5 {
		// Half of the steps come before the lending expires.
		l.renew(now.Add(time.Duration(step)*lendDuration/2), []string{"endpoint"}, peers, "drafts")
		got = append(got, l.lentTo["endpoint"])
	}
	for index := range peers {
		peers[index].Digest.Demands = nil
	}
	for step := range 3 {
		l.renew(now.Add(time.Duration(4+step)*lendDuration), []string{"endpoint"}, peers, "drafts")
		got = append(got, l.lentTo["endpoint"])
	}
	want := []string{"busy", "busy", "hot", "hot", "busy", "calm", "busy", "hot"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("borrowers (-want +got):\n%s", diff)
	}
}
