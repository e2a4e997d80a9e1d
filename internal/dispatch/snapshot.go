package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/endpointload"
)

// endpointSnapshot is the state of an endpoint that may receive requests, at one time.
type endpointSnapshot struct {
	endpoint *clusterstate.Endpoint
	state    *endpointState
	// running and pendingPrefill are totals over all gateways. digestAge is the age of
	// the oldest digest that they include.
	running        int
	pendingPrefill int
	digestAge      time.Duration
	pace           float64
	// slowness is the factor by which the endpoint reports to be slower than usual, 0 if the
	// endpoints of its service do not report that. unknownRequests is the number of requests
	// that it reports beyond running, and calls the mean duration of calls to the service.
	slowness        float64
	unknownRequests float64
	calls           *endpointload.CallDuration
	// memoryTokens is the number of tokens that the memory of an engine holds, 0 if that is not
	// known. othersTokens is the number of those that the requests of other gateways take.
	memoryTokens int
	othersTokens int
	// owner is the gateway that owns the endpoint, empty if all gateways share it.
	owner       string
	ownedBySelf bool
	// exclusive is true if only the owner sends requests to the endpoint or grants it.
	exclusive bool
	degraded  bool
	distance  int
	// limited is true if the endpoint limits its requests. limitHolder is the gateway that
	// holds the limit, and limitWait the time until that may send one if it is this gateway.
	limited     bool
	limitHolder string
	limitWait   time.Duration
	// turnedAway is how much longer the endpoint wants no requests from this gateway.
	turnedAway time.Duration
	// slotAvailable is true if the endpoint can take one more request from this gateway.
	slotAvailable bool
}

const (
	// overcommittedSlots is the number of requests that an engine receives beyond its
	// slots, so that a released slot is taken immediately.
	overcommittedSlots = 2
	// ownerReservedSlots is the number of slots that only the owner may use, because it
	// may have taken one since its last digest.
	ownerReservedSlots = 1
	// nonOwnerPenalty is added to the cost of an endpoint that another gateway owns. It
	// is about the delay that a request not yet reported in a digest causes there.
	nonOwnerPenalty = 50 * time.Millisecond
)

// snapshotEndpoints returns snapshots of the endpoints of a service that may receive
// requests now. The result is valid until the next snapshot is taken, because all
// snapshots share one buffer.
func (d *Dispatcher) snapshotEndpoints(config *configuration.Service, now time.Time) []endpointSnapshot {
	view := d.View()
	owners := d.engineOwnership(view, config, now)
	d.snapshots = d.snapshots[:0]
	endpoints := view.ServiceEndpoints(config.Name)
	for index := range endpoints {
		if snapshot, usable := d.newSnapshot(view, config, owners, &endpoints[index], now); usable {
			d.snapshots = append(d.snapshots, snapshot)
		}
	}
	return d.snapshots
}

// snapshotEndpoint returns a snapshot of one endpoint of a service, or none if the
// endpoint may not receive requests now. It uses the buffer of snapshotEndpoints.
func (d *Dispatcher) snapshotEndpoint(config *configuration.Service, id string, now time.Time) []endpointSnapshot {
	view := d.View()
	owners := d.engineOwnership(view, config, now)
	d.snapshots = d.snapshots[:0]
	endpoints := view.ServiceEndpoints(config.Name)
	for index := range endpoints {
		if endpoints[index].ID != id {
			continue
		}
		if snapshot, usable := d.newSnapshot(view, config, owners, &endpoints[index], now); usable {
			d.snapshots = append(d.snapshots, snapshot)
		}
	}
	return d.snapshots
}

// engineOwnership returns the ownership of the endpoints of a service, nil if the service
// has no engines.
func (d *Dispatcher) engineOwnership(view *clusterstate.View, config *configuration.Service, now time.Time) *ownership {
	if config.Engine == nil {
		return nil
	}
	return d.ownershipOf(view, config.Name, now)
}

// newSnapshot returns a snapshot of an endpoint, and false if the endpoint may not receive
// requests. owners is nil if the service has no engines.
func (d *Dispatcher) newSnapshot(view *clusterstate.View, config *configuration.Service, owners *ownership, endpoint *clusterstate.Endpoint, now time.Time) (endpointSnapshot, bool) {
	if endpoint.Draining || view.Evacuated(endpoint.AvailabilityZone) || (owners != nil && !owners.inCell[endpoint.ID]) {
		return endpointSnapshot{}, false
	}
	state := d.state(endpoint.ID)
	state.recordEntry(endpoint, now)
	if state.replaced(endpoint, now) || state.health.inBackoff(now) || state.announced.leaving(endpoint) {
		return endpointSnapshot{}, false
	}
	snapshot := endpointSnapshot{endpoint: endpoint, state: state, degraded: state.health.degraded(now), distance: d.distance(endpoint), pace: state.pace(endpoint, now)}
	if owners != nil {
		snapshot.owner = owners.owners[endpoint.ID]
		snapshot.ownedBySelf = snapshot.owner == d.Self.Name
		snapshot.exclusive = owners.exclusive
	}
	state.exclusive.update(snapshot.exclusive, snapshot.ownedBySelf, now)
	snapshot.limited, snapshot.limitWait, snapshot.limitHolder = d.updateLimit(endpoint, state, owners, now)
	snapshot.turnedAway = state.turnedAway.remaining(endpoint, now)
	snapshot.running, snapshot.pendingPrefill, snapshot.digestAge = state.totalLoad(now, d.demandRatios)
	snapshot.slotAvailable = d.hasFreeSlot(&snapshot, config, now)
	d.addReport(&snapshot, config, now)
	snapshot.addMemory(config.Engine)
	return snapshot, true
}

// servedVersion returns the version of the job's model that the endpoint serves, 0 if none or if
// the job needs no model.
func (s *endpointSnapshot) servedVersion(job *Job, now time.Time) int64 {
	if job.Model == "" {
		return 0
	}
	return s.state.version(s.endpoint, job.Model, now)
}

// hasFreeSlot reports whether the endpoint can take one more request from this gateway.
func (d *Dispatcher) hasFreeSlot(snapshot *endpointSnapshot, config *configuration.Service, now time.Time) bool {
	if snapshot.turnedAway > 0 {
		return false
	}
	if snapshot.limited && (!snapshot.state.limit.held || snapshot.state.limit.tokens < 1) {
		return false
	}
	slots := snapshot.endpoint.Slots + overcommittedSlots
	if snapshot.owner != "" && !snapshot.ownedBySelf {
		if !snapshot.state.isLentBy(snapshot.owner, d.Self.Name, now) {
			return false
		}
		slots = snapshot.endpoint.Slots - ownerReservedSlots
	}
	return snapshot.running < slots && d.underColdRate(config, snapshot.state, now)
}

// underColdRate reports whether this gateway may send one more request to an endpoint
// without exceeding the rate limit of its cold start. Gateways share the limit equally, unless
// one of them alone sends requests to the endpoint.
func (d *Dispatcher) underColdRate(config *configuration.Service, state *endpointState, now time.Time) bool {
	if config.ColdRate <= 0 || !now.Before(state.coldUntil) {
		return true
	}
	requests, _ := state.sentSince(now.Add(-sendRetention))
	return float64(requests) < config.ColdRate/float64(d.coldRateShares(state, now))
}

// distance returns 0 for an endpoint in the gateway's availability zone, 1 for one in its
// region and 2 for any other.
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

// ownershipPenalty returns the cost added to an endpoint that another gateway owns.
func (s *endpointSnapshot) ownershipPenalty() time.Duration {
	if s.owner == "" || s.ownedBySelf {
		return 0
	}
	return nonOwnerPenalty
}
