package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// ownership distributes the endpoints of a service among the gateways, so that each
// endpoint has one owner, in its own availability zone if that zone has gateways. A
// gateway knows its own load at an endpoint exactly, but the load of other gateways only
// from their digests; gateways that prefer the endpoints they own rarely collide at the same
// one. Every gateway computes the same owners from the same endpoints and gateways; while
// these inputs differ, some endpoints briefly have two owners or none, which only adds
// latency.
type ownership struct {
	view      *clusterstate.View
	gateways  []peering.Member
	checkedAt time.Time
	// inCell holds the IDs of the usable endpoints of the cell.
	inCell map[string]bool
	// owners maps the ID of each endpoint to the name of its owner. It is nil if all gateways
	// share the endpoints.
	owners map[string]string
	// mode is what else the assignment depends on, assignedMode what it was when the endpoints
	// were assigned.
	mode, assignedMode ownershipMode
	// exclusive is true if there are fewer endpoints than gateways. Then only its owner sends
	// requests to an endpoint or grants it to others.
	exclusive bool
	// lending records which other gateways may use the endpoints of this one.
	lending lending
}

// cellCheckInterval is how often the endpoints of the cell are determined again if nothing
// else has changed. It is the interval between digests.
const cellCheckInterval = 100 * time.Millisecond

// update reassigns the endpoints if they, the gateways or the cells have changed.
func (o *ownership) update(view *clusterstate.View, service string, gateways []peering.Member, cellEndpoints func() func(id, region string) bool, now time.Time) {
	unchanged := o.view == view && o.assignedMode == o.mode && slices.Equal(o.gateways, gateways)
	if unchanged && now.Sub(o.checkedAt) < cellCheckInterval {
		return
	}
	o.checkedAt = now
	endpoints := usableEndpoints(view, service)
	if inCell := cellEndpoints(); inCell != nil {
		endpoints = slices.DeleteFunc(endpoints, func(endpoint clusterstate.Endpoint) bool { return !inCell(endpoint.ID, endpoint.Region) })
	}
	ids := make(map[string]bool, len(endpoints))
	for index := range endpoints {
		ids[endpoints[index].ID] = true
	}
	if unchanged && maps.Equal(o.inCell, ids) {
		return
	}
	o.view, o.gateways, o.inCell, o.assignedMode = view, gateways, ids, o.mode
	o.owners, o.exclusive = o.mode.assign(endpoints, gateways)
}

// readyGateways returns the gateways that take part in the ownership of endpoints, ordered
// by name.
func readyGateways(self peering.Member, peers []peering.Peer) []peering.Member {
	gateways := []peering.Member{self}
	for _, peer := range peers {
		if peer.Digest.Ready && !peer.Digest.Stopping {
			gateways = append(gateways, peer.Digest.Member)
		}
	}
	slices.SortFunc(gateways, func(a, b peering.Member) int { return cmp.Compare(a.Name, b.Name) })
	return gateways
}

// usableEndpoints returns the endpoints of a service that are neither draining nor in an
// evacuated availability zone.
func usableEndpoints(view *clusterstate.View, service string) []clusterstate.Endpoint {
	var endpoints []clusterstate.Endpoint
	for _, endpoint := range view.ServiceEndpoints(service) {
		if !endpoint.Draining && !view.Evacuated(endpoint.AvailabilityZone) {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// assignOwners returns the owner of each endpoint, or nil if there are fewer endpoints than
// gateways. Endpoints go to the gateways of their own availability zone, which share its
// clients. Gateways of a zone without endpoints, for example one that is out of service,
// take an even share from the gateways with the most endpoints.
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
	for index, owned := range assigned {
		for _, endpoint := range owned {
			owners[endpoint.ID] = gateways[index].Name
		}
	}
	return owners
}

// indexOfFewest returns the index of the eligible gateway with the fewest endpoints, -1 if
// none is eligible.
func indexOfFewest(assigned [][]clusterstate.Endpoint, eligible func(index int) bool) int {
	smallest := -1
	for index := range assigned {
		if eligible(index) && (smallest < 0 || len(assigned[index]) < len(assigned[smallest])) {
			smallest = index
		}
	}
	return smallest
}

// indexOfMost returns the index of the gateway with the most endpoints.
func indexOfMost(assigned [][]clusterstate.Endpoint) int {
	largest := 0
	for index := range assigned {
		if len(assigned[index]) > len(assigned[largest]) {
			largest = index
		}
	}
	return largest
}

// ownedBy returns the IDs of the endpoints that a gateway owns, sorted.
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
