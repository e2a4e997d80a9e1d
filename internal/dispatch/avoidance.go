package dispatch

import (
	"slices"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
)

// Avoids reports whether this gateway must not send requests to the endpoint, whichever gateway
// grants it.
func (d *Dispatcher) Avoids(endpoint *clusterstate.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.avoids(endpoint)
}

func (d *Dispatcher) avoids(endpoint *clusterstate.Endpoint) bool {
	state := d.endpoints[endpoint.ID]
	return state != nil && state.announced.leaving(endpoint)
}

// withoutAvoided returns the job as another gateway should decide on it: the endpoints that
// this gateway must avoid count as tried.
func (d *Dispatcher) withoutAvoided(job *Job) *Job {
	d.mu.Lock()
	defer d.mu.Unlock()
	restricted := *job
	restricted.Tried = slices.Clone(job.Tried)
	endpoints := d.View().ServiceEndpoints(job.Service)
	for index := range endpoints {
		if d.avoids(&endpoints[index]) {
			restricted.Tried = append(restricted.Tried, endpoints[index].ID)
		}
	}
	return &restricted
}
