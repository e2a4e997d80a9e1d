package dispatch

import (
	"slices"
	"time"
)

// readyIn returns the time until engines are expected to serve jobs like this one again, and
// false if that is not known. It is the median of the times that the loaders of the cell's
// engines estimate: the first engine alone could not take the jobs that wait for all.
func (d *Dispatcher) readyIn(job *Job, now time.Time) (time.Duration, bool) {
	times := d.readyTimes(job, now)
	if len(times) == 0 {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)/2], true
}

// readyTimes returns the times until those of the cell's engines that serve no weights are expected
// to serve jobs like this one, as far as they are known.
func (d *Dispatcher) readyTimes(job *Job, now time.Time) []time.Duration {
	config, exists := d.Service(job.Service)
	if !exists || job.Model == "" || config.Engine == nil {
		return nil
	}
	view := d.View()
	owners := d.engineOwnership(view, config, now)
	var times []time.Duration
	endpoints := view.ServiceEndpoints(config.Name)
	for index := range endpoints {
		endpoint := &endpoints[index]
		if endpoint.Draining || view.Evacuated(endpoint.AvailabilityZone) || !owners.inCell[endpoint.ID] || !job.allowsRegion(endpoint.Region) {
			continue
		}
		if ready, known := d.state(endpoint.ID).readyIn(now); known {
			times = append(times, ready)
		}
	}
	return times
}

// readyIn returns the time until the engine is expected to serve weights, and false if its
// loader reported none recently.
func (s *endpointState) readyIn(now time.Time) (time.Duration, bool) {
	if !s.statusFresh(now) || !s.responding || s.status.ReadyIn <= 0 {
		return 0, false
	}
	return max(0, s.status.ReadyIn-now.Sub(s.statusAt)), true
}
