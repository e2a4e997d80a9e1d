package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/endpointload"
	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// probeAge is the age of an endpoint's last report from which its health path is called.
	probeAge = 300 * time.Millisecond
	// maxProbeDelay is the longest time between calls that yield no report. It starts at probeAge
	// and doubles with each such call.
	maxProbeDelay = 10 * time.Second
	// probeKey is the key prefix of the rendezvous order of the gateways that probe an endpoint.
	probeKey = "probe/"
)

// probes records the calls to the health path of an endpoint.
type probes struct {
	lastAt time.Time
	// failures is the number of calls without a report since the last report.
	failures int
}

// delay returns the time between calls.
func (p *probes) delay() time.Duration {
	return min(maxProbeDelay, probeAge<<min(p.failures, 10))
}

// NextProbe returns an endpoint whose health path this gateway must call now, with the path: the
// one whose last report or call is the oldest. It records the call. There is none without a service
// whose endpoints report their speed.
func (d *Dispatcher) NextProbe() (endpoint clusterstate.Endpoint, path string, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.stopping() {
		return endpoint, "", false
	}
	var chosen *probes
	view, oldest := d.View(), now
	for service := range d.loads {
		config, exists := d.Service(service)
		if !exists || config.HealthPath == "" || !d.hasDemand(service, now) {
			continue
		}
		owners := d.engineOwnership(view, config, now)
		endpoints := view.ServiceEndpoints(service)
		for index := range endpoints {
			state := d.endpoints[endpoints[index].ID]
			if state == nil || !state.probeDue(now) || !d.probesEndpoint(&endpoints[index], owners) || !d.mayProbe(view, config, owners, &endpoints[index], now) {
				continue
			}
			if at := state.lastHeard(); at.Before(oldest) {
				endpoint, path, found, chosen, oldest = endpoints[index], config.HealthPath, true, &state.probes, at
			}
		}
	}
	if found {
		chosen.lastAt = now
	}
	return endpoint, path, found
}

// hasDemand reports whether gateways of the cell had requests for the service recently. The load of
// endpoints without requests matters to nobody.
func (d *Dispatcher) hasDemand(service string, now time.Time) bool {
	if current := d.services[service]; current != nil && current.demand.rate(now) > 0 {
		return true
	}
	for _, peer := range d.peers {
		for _, demand := range peer.Digest.Demands {
			if demand.Service == service && demand.Rate > 0 {
				return true
			}
		}
	}
	return false
}

// lastHeard returns when the endpoint sent its last report or was last called for one.
func (s *endpointState) lastHeard() time.Time {
	if reportedAt := s.load.ReportedAt(); reportedAt.After(s.probes.lastAt) {
		return reportedAt
	}
	return s.probes.lastAt
}

// probeDue reports whether the endpoint, which reports its speed, has sent no report recently.
func (s *endpointState) probeDue(now time.Time) bool {
	return s.load.ReportsSpeed() && now.Sub(s.load.ReportedAt()) > probeAge && now.Sub(s.probes.lastAt) >= s.probes.delay()
}

// probesEndpoint reports whether this gateway is the one of its cell that probes the endpoint: the
// owner, or the first one in rendezvous order.
func (d *Dispatcher) probesEndpoint(endpoint *clusterstate.Endpoint, owners *ownership) bool {
	if owners != nil {
		if owner := owners.owners[endpoint.ID]; owner != "" {
			return owner == d.Self.Name
		}
	}
	own := membership.Score(probeKey+endpoint.ID, d.Self.Name)
	for _, gateway := range d.gateways {
		if gateway.Name != d.Self.Name && membership.Score(probeKey+endpoint.ID, gateway.Name) > own {
			return false
		}
	}
	return true
}

// mayProbe reports whether the endpoint can be called: it is in use, has no limit, is not cold and
// has not turned this gateway away.
func (d *Dispatcher) mayProbe(view *clusterstate.View, config *configuration.Service, owners *ownership, endpoint *clusterstate.Endpoint, now time.Time) bool {
	snapshot, usable := d.newSnapshot(view, config, owners, endpoint, now)
	if !usable || snapshot.limited || snapshot.turnedAway > 0 {
		return false
	}
	cold := config.ColdRate > 0 && now.Before(snapshot.state.coldUntil)
	// A new incarnation has not reported its speed yet.
	return !cold && snapshot.state.load.ReportsSpeed()
}

// RecordProbe records the result of a call to the health path of an endpoint. report is nil if the
// call failed or its response had no load header. Such a call says nothing about the endpoint's
// health, since requests do not depend on the path.
func (d *Dispatcher) RecordProbe(endpoint clusterstate.Endpoint, report *endpointload.Report) {
	if report != nil {
		d.RecordLoad(endpoint, *report)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	current := &d.state(endpoint.ID).probes
	if report != nil && report.Percent > 0 {
		current.failures = 0
		return
	}
	current.failures++
}
