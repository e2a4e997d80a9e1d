package dispatch

import (
	"cmp"
	"slices"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// ownership deals the endpoints of a service out to the gateways, so that each endpoint
// has one owner, in its own availability zone if that has gateways. What the owner
// has there it knows exactly, what others have only from their digests; gateways that
// prefer their own endpoints seldom meet at the same one. Every gateway computes the same
// owners from the same endpoints and gateways; while these differ, some endpoints have
// two owners or none for a moment, which costs only time.
type ownership struct {
	view     *clusterstate.View
	gateways []peering.Member
	// owners holds the gateway that owns each endpoint; it is empty if there are fewer
	// endpoints than gateways.
	owners map[string]string
	// lending says who else may use the own endpoints.
	lending lending
}

// update deals the endpoints out anew if they or the gateways changed.
func (o *ownership) update(view *clusterstate.View, service string, self peering.Member, peers []peering.Peer) {
	gateways := []peering.Member{self}
	for _, peer := range peers {
		if peer.Digest.Ready && !peer.Digest.Stopping {
			gateways = append(gateways, peer.Digest.Member)
		}
	}
	slices.SortFunc(gateways, func(a, b peering.Member) int { return cmp.Compare(a.Name, b.Name) })
	if o.view == view && slices.Equal(o.gateways, gateways) {
		return
	}
	o.view, o.gateways = view, gateways
	o.owners = assignOwners(usableEndpoints(view, service), gateways)
}

// usableEndpoints returns the endpoints that may get requests.
func usableEndpoints(view *clusterstate.View, service string) []clusterstate.Endpoint {
	var endpoints []clusterstate.Endpoint
	for _, endpoint := range view.ServiceEndpoints(service) {
		if !endpoint.Draining && !view.Evacuated(endpoint.AvailabilityZone) {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// assignOwners returns the owner of each endpoint. Endpoints go to the gateways of their own zone,
// which share its callers. Gateways of a zone without endpoints, as when it is out of
// service, get an even share from those that have most.
func assignOwners(endpoints []clusterstate.Endpoint, gateways []peering.Member) map[string]string {
	if len(endpoints) < len(gateways) {
		return nil
	}
	assigned := make([][]clusterstate.Endpoint, len(gateways))
	for _, endpoint := range endpoints {
		target := indexOfFewest(assigned, func(index int) bool { return gateways[index].AvailabilityZone == endpoint.AvailabilityZone })
		if target < 0 {
			target = indexOfFewest(assigned, func(int) bool { return true })
		}
		assigned[target] = append(assigned[target], endpoint)
	}
	evenShare := len(endpoints) / len(gateways)
	for index := range assigned {
		if len(assigned[index]) > 0 {
			continue
		}
		for len(assigned[index]) < evenShare {
			largest := indexOfMost(assigned)
			last := len(assigned[largest]) - 1
			assigned[index], assigned[largest] = append(assigned[index], assigned[largest][last]), assigned[largest][:last]
		}
	}
	owners := make(map[string]string, len(endpoints))
	for index, list := range assigned {
		for _, endpoint := range list {
			owners[endpoint.ID] = gateways[index].Name
		}
	}
	return owners
}

// indexOfFewest returns the index of the eligible hand with the indexOfFewest endpoints, -1 if none is
// eligible.
func indexOfFewest(assigned [][]clusterstate.Endpoint, eligible func(index int) bool) int {
	smallest := -1
	for index := range assigned {
		if eligible(index) && (smallest < 0 || len(assigned[index]) < len(assigned[smallest])) {
			smallest = index
		}
	}
	return smallest
}

// indexOfMost returns the index of the hand with the indexOfMost endpoints.
func indexOfMost(assigned [][]clusterstate.Endpoint) int {
	largest := 0
	for index := range assigned {
		if len(assigned[index]) > len(assigned[largest]) {
			largest = index
		}
	}
	return largest
}

// ownedBy returns the endpoints that a gateway owns, in the order of their IDs.
func (o *ownership) ownedBy(gateway string) []string {
	var owned []string
	for endpoint, owner := range o.owners {
		if owner == gateway {
			owned = append(owned, endpoint)
		}
	}
	slices.Sort(owned)
	return owned
}
