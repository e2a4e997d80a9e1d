package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/configuration"
)

// endpointSnapshot is an endpoint that may get requests, as it is at one time.
type endpointSnapshot struct {
	endpoint *clusterstate.Endpoint
	state    *endpointState
	// running and unread are those of all gateways, age that of the oldest digest that
	// counted.
	running        int
	pendingPrefill int
	digestAge      time.Duration
	pace           float64
	// owner is the gateway that owns the endpoint, empty if all share it.
	owner       string
	ownedBySelf bool
	degraded    bool
	distance    int
	// slotAvailable is true if the endpoint has a place for one more request of this gateway.
	slotAvailable bool
}

const (
	// overcommittedSlots is the number of requests that an engine gets beyond its places, so that
	// a place that becomes free is taken at once.
	overcommittedSlots = 2
	// ownerReservedSlots is the number of places that only the owner may use, since it may
	// have taken one since its last digest.
	ownerReservedSlots = 1
	// nonOwnerPenalty is what speaks against an endpoint of another gateway: about what a
	// request that the digests do not tell of yet delays others there.
	nonOwnerPenalty = 50 * time.Millisecond
)

// snapshotEndpoints returns the endpoints of a service that may get requests now. The result is
// valid until the next snapshotEndpoints.
func (d *Dispatcher) snapshotEndpoints(config *configuration.Service, now time.Time) []endpointSnapshot {
	view := d.View()
	d.snapshots = d.snapshots[:0]
	endpoints := view.ServiceEndpoints(config.Name)
	for index := range endpoints {
		if snapshot, usable := d.newSnapshot(view, config, &endpoints[index], now); usable {
			d.snapshots = append(d.snapshots, snapshot)
		}
	}
	return d.snapshots
}

// snapshotEndpoint returns one endpoint of a service, if it may get requests now.
func (d *Dispatcher) snapshotEndpoint(config *configuration.Service, id string, now time.Time) []endpointSnapshot {
	view := d.View()
	d.snapshots = d.snapshots[:0]
	endpoints := view.ServiceEndpoints(config.Name)
	for index := range endpoints {
		if endpoints[index].ID != id {
			continue
		}
		if snapshot, usable := d.newSnapshot(view, config, &endpoints[index], now); usable {
			d.snapshots = append(d.snapshots, snapshot)
		}
	}
	return d.snapshots
}

// newSnapshot returns what is known about an endpoint, and false if it may get no requests.
func (d *Dispatcher) newSnapshot(view *clusterstate.View, config *configuration.Service, endpoint *clusterstate.Endpoint, now time.Time) (endpointSnapshot, bool) {
	if endpoint.Draining || view.Evacuated(endpoint.AvailabilityZone) {
		return endpointSnapshot{}, false
	}
	state := d.state(endpoint.ID)
	state.recordEntry(endpoint, now)
	if state.replaced(endpoint, now) || state.health.inBackoff(now) {
		return endpointSnapshot{}, false
	}
	snapshot := endpointSnapshot{endpoint: endpoint, state: state, degraded: state.health.degraded(now), distance: d.distance(endpoint), pace: state.pace(endpoint, now)}
	if config.Engine != nil {
		snapshot.owner = d.ownershipOf(view, config.Name).owners[endpoint.ID]
		snapshot.ownedBySelf = snapshot.owner == d.Self.Name
	}
	snapshot.running, snapshot.pendingPrefill, snapshot.digestAge = state.totalLoad(now, d.demandRatios)
	snapshot.slotAvailable = d.hasFreeSlot(&snapshot, config, now)
	return snapshot, true
}

// hasFreeSlot reports whether the endpoint has a place for one more request of this gateway.
func (d *Dispatcher) hasFreeSlot(snapshot *endpointSnapshot, config *configuration.Service, now time.Time) bool {
	slots := snapshot.endpoint.Slots + overcommittedSlots
	if snapshot.owner != "" && !snapshot.ownedBySelf {
		if !snapshot.state.isLentBy(snapshot.owner, d.Self.Name, now) {
			return false
		}
		slots = snapshot.endpoint.Slots - ownerReservedSlots
	}
	return snapshot.running < slots && d.underColdRate(config, snapshot.state, now)
}

// underColdRate reports whether an endpoint in cold start bears one more request of this
// gateway now. Gateways share the bound alike.
func (d *Dispatcher) underColdRate(config *configuration.Service, state *endpointState, now time.Time) bool {
	if config.ColdRate <= 0 || !now.Before(state.coldUntil) {
		return true
	}
	requests, _ := state.sentSince(now.Add(-sendRetention))
	return float64(requests) < config.ColdRate/float64(1+len(d.demandRatios))
}

// distance ranks how near an endpoint is to the gateway.
func (d *Dispatcher) distance(endpoint *clusterstate.Endpoint) int {
	switch {
	case endpoint.AvailabilityZone == d.Self.AvailabilityZone:
		return 0
	case endpoint.Region == d.Self.Region:
		return 1
	default:
		return 2
	}
}

// ownershipPenalty is what speaks against the endpoint for belonging to another gateway.
func (s *endpointSnapshot) ownershipPenalty() time.Duration {
	if s.owner == "" || s.ownedBySelf {
		return 0
	}
	return nonOwnerPenalty
}
