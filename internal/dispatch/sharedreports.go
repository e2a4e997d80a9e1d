package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/endpointload"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// sharedReports returns the reports that this gateway passes on: those that came with responses to
// it, unless another gateway of the cell has passed on a later one. Without a service whose
// endpoints report their speed, there are none.
func (d *Dispatcher) sharedReports(now time.Time) []peering.ServiceReports {
	var list []peering.ServiceReports
	for service, load := range d.loads {
		config, exists := d.Service(service)
		if !exists || !load.reportsSpeed(now) {
			continue
		}
		if reports := d.sharedReportsOf(config, now); len(reports) > 0 {
			list = append(list, peering.ServiceReports{Service: service, Reports: reports})
		}
	}
	return list
}

func (d *Dispatcher) sharedReportsOf(config *configuration.Service, now time.Time) []peering.EndpointReport {
	var list []peering.EndpointReport
	endpoints := d.View().ServiceEndpoints(config.Name)
	for index := range endpoints {
		id := endpoints[index].ID
		state := d.endpoints[id]
		if state == nil || !d.sharesReports(config, state, id, now) {
			continue
		}
		if report, age, shared := state.load.Shared(now); shared {
			list = append(list, peering.EndpointReport{
				Endpoint: id, Percent: report.Percent, Running: report.Running, Waiting: report.Waiting, AgeMillis: int(age.Milliseconds()),
			})
		}
	}
	return list
}

// sharesReports reports whether the other gateways of the cell need the reports of an endpoint. Of
// an engine, they use only an unusual speed, since digests count its requests; most of the time
// there is nothing to pass on.
func (d *Dispatcher) sharesReports(config *configuration.Service, state *endpointState, id string, now time.Time) bool {
	if config.Engine == nil {
		return true
	}
	owners := d.ownership[config.Name]
	return owners != nil && owners.inCell[id] && state.load.RecentlyUnusual(now)
}

// recordSharedReports records the reports that another gateway of the cell passes on.
func (d *Dispatcher) recordSharedReports(services []peering.ServiceReports, now time.Time) {
	for _, service := range services {
		for _, shared := range service.Reports {
			if shared.Percent <= 0 || shared.Percent > endpointload.MaxPercent || shared.AgeMillis < 0 {
				continue
			}
			report := endpointload.Report{Percent: shared.Percent, Running: shared.Running, Waiting: shared.Waiting}
			d.recordReport(service.Service, d.state(shared.Endpoint), report, now.Add(-time.Duration(shared.AgeMillis)*time.Millisecond), now, false)
		}
	}
}
