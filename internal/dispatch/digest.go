package dispatch

import (
	"maps"
	"time"

	"github.com/mimosaward/mimosaward/internal/peering"
)

// maxDemandRatio is the upper bound of a demand ratio. It limits the load that a gateway
// with little demand of its own attributes to others.
const maxDemandRatio = 3

// RecordDigest records the load that another gateway reports for the endpoints.
func (d *Dispatcher) RecordDigest(digest peering.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	name := digest.Member.Name
	reported := make(map[string]bool, len(digest.Loads))
	for _, load := range digest.Loads {
		reported[load.Endpoint] = true
		state := d.state(load.Endpoint)
		if state.peerLoads == nil {
			state.peerLoads = map[string]peerLoad{}
		}
		state.peerLoads[name] = peerLoad{running: load.Running, pendingPrefill: load.Unread, tokens: load.Tokens, receivedAt: now, lentTo: load.LentTo}
	}
	for id, state := range d.endpoints {
		if !reported[id] {
			delete(state.peerLoads, name)
		}
	}
	for _, reported := range digest.Statuses {
		if state := d.state(reported.Endpoint); state.statusAt.Before(now.Add(-reported.Age)) {
			state.recordStatus(reported.Status, reported.Responding, now.Add(-reported.Age))
		}
	}
	for _, demand := range digest.Demands {
		for _, lack := range demand.Lacks {
			d.service(demand.Service).cellShortage.Record(lack.Priority, now.Add(-lack.Age))
		}
	}
	d.updateDemandRatios(now)
	d.recordSharedReports(digest.ServiceReports, now)
	d.drainAllQueues(now)
}

// updateDemandRatios recomputes the demand of each live gateway relative to this one, and
// drops the reported loads of gateways that are no longer alive.
func (d *Dispatcher) updateDemandRatios(now time.Time) {
	ownRate := 0.0
	for _, service := range d.services {
		ownRate += service.demand.rate(now)
	}
	d.demandRatios = map[string]float64{}
	d.peers, d.peersCheckedAt = d.Peers(), now
	d.gateways = readyGateways(d.Self, d.peers)
	for _, peer := range d.peers {
		peerRate := 0.0
		for _, demand := range peer.Digest.Demands {
			peerRate += demand.Rate
		}
		d.demandRatios[peer.Digest.Member.Name] = min(maxDemandRatio, (peerRate+1)/(ownRate+1))
	}
	for _, state := range d.endpoints {
		for name := range state.peerLoads {
			if _, alive := d.demandRatios[name]; !alive {
				delete(state.peerLoads, name)
			}
		}
	}
}

// AddTo adds the gateway's own load, demand, capacities, statuses and reports to the digest for the
// other gateways. It renews the lending of owned endpoints that has expired.
func (d *Dispatcher) AddTo(digest *peering.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	lentTo := d.renewLending(now)
	for id, state := range d.endpoints {
		running := state.running + state.borrowed.orphaned(d.demandRatios)
		if running > 0 || lentTo[id] != "" {
			digest.Loads = append(digest.Loads, peering.Load{Endpoint: id, Running: running, Unread: state.pendingPrefill, Tokens: state.sharedTokens(), LentTo: lentTo[id]})
		}
	}
	digest.Demands = d.demands(now)
	digest.Capacities = d.capacities(now)
	digest.Statuses = d.ownedStatuses(now)
	digest.Announced = d.announcements(now)
	digest.ServiceReports = d.sharedReports(now)
}

// Demands returns the gateway's own load for each service.
func (d *Dispatcher) Demands() []peering.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.demands(time.Now())
}

func (d *Dispatcher) demands(now time.Time) []peering.Demand {
	demands := make([]peering.Demand, 0, len(d.services))
	for name, service := range d.services {
		demand := peering.Demand{Service: name, Rate: service.demand.rate(now), Waiting: len(service.queue)}
		demand.Late = len(service.late)
		for _, lack := range service.shortage.Recent(now) {
			demand.Lacks = append(demand.Lacks, peering.Lack{Priority: lack.Priority, Age: lack.Age})
		}
		demands = append(demands, demand)
	}
	return demands
}

// ownedStatuses returns the recent statuses of the engines that the gateway owns.
func (d *Dispatcher) ownedStatuses(now time.Time) []peering.EndpointStatus {
	var statuses []peering.EndpointStatus
	for _, owners := range d.ownership {
		for _, id := range owners.ownedBy(d.Self.Name) {
			if state := d.state(id); state.statusFresh(now) {
				statuses = append(statuses, peering.EndpointStatus{Endpoint: id, Status: state.status, Responding: state.responding, Age: now.Sub(state.statusAt)})
			}
		}
	}
	return statuses
}

// renewLending renews the lending of this gateway's endpoints where it has expired, and
// returns the borrower of each lent endpoint by the endpoint's ID.
func (d *Dispatcher) renewLending(now time.Time) map[string]string {
	lentTo := map[string]string{}
	for service, current := range d.ownership {
		if current.exclusive {
			continue
		}
		current.lending.renew(now, current.ownedBy(d.Self.Name), d.peers, service)
		maps.Copy(lentTo, current.lending.lentTo)
	}
	// Only the holder of a limit sends requests to the endpoint.
	maps.DeleteFunc(lentTo, func(id, _ string) bool { return d.endpoints[id] != nil && d.endpoints[id].limit.held })
	return lentTo
}
