package dispatch

import (
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
)

// Avoids reports whether this gateway must not send requests to the endpoint, whichever gateway
// grants it.
func (d *Dispatcher) Avoids(endpoint *clusterstate.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.avoids(endpoint, time.Now())
}

func (d *Dispatcher) avoids(endpoint *clusterstate.Endpoint, now time.Time) bool {
	state := d.endpoints[endpoint.ID]
	return state != nil && (state.announced.leaving(endpoint) || state.turnedAway.remaining(endpoint, now) > 0)
}

// turnedAway is the time for which an endpoint wants no requests from this gateway.
type turnedAway struct {
	incarnation int64
	until       time.Time
}

// remaining returns how much longer the endpoint wants no requests.
func (t turnedAway) remaining(endpoint *clusterstate.Endpoint, now time.Time) time.Duration {
	if t.incarnation != endpoint.Incarnation {
		return 0
	}
	return max(0, t.until.Sub(now))
}

// RecordTurnedAway records that an endpoint wants no requests from this gateway for a while.
func (d *Dispatcher) RecordTurnedAway(endpoint clusterstate.Endpoint, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := &d.state(endpoint.ID).turnedAway
	until := time.Now().Add(duration)
	if endpoint.Incarnation > current.incarnation || (endpoint.Incarnation == current.incarnation && until.After(current.until)) {
		*current = turnedAway{incarnation: endpoint.Incarnation, until: until}
	}
}

// withoutAvoided returns the job as another gateway should decide on it: the endpoints that
// this gateway must avoid count as tried.
func (d *Dispatcher) withoutAvoided(job *Job) *Job {
	d.mu.Lock()
	defer d.mu.Unlock()
	restricted, now := *job, time.Now()
	restricted.Tried = slices.Clone(job.Tried)
	endpoints := d.View().ServiceEndpoints(job.Service)
	for index := range endpoints {
		if d.avoids(&endpoints[index], now) {
			restricted.Tried = append(restricted.Tried, endpoints[index].ID)
		}
	}
	return &restricted
}
