// Package dispatch decides which endpoint receives a request and which requests are
// queued or refused. It does no I/O.
//
// A gateway counts its own requests at each endpoint and receives the counts of the
// other gateways in their digests, so that together they fill the slots of an endpoint
// without exceeding them. A request that cannot be served in time is refused immediately.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// Dispatcher assigns the requests of one gateway to endpoints. Set the exported fields
// before the first call; the methods are safe for concurrent use.
type Dispatcher struct {
	// Self identifies this gateway.
	Self peering.Member
	// View returns the current endpoints. Service returns the configuration of a service.
	View    func() *clusterstate.View
	Service func(name string) (*configuration.Service, bool)
	// MinVersion returns the lowest version of a model that may start new requests; 0
	// means any.
	MinVersion func(model string) int64
	// Peers returns the latest digests of the other live gateways.
	Peers func() []peering.Peer

	mu        sync.Mutex
	endpoints map[string]*endpointState
	ownership map[string]*ownership
	services  map[string]*serviceState
	// demandRatios holds the demand of each other gateway as a multiple of this
	// gateway's demand.
	demandRatios map[string]float64
	// peers are the other live gateways.
	peers []peering.Peer
	// snapshots is the buffer that snapshotEndpoints and snapshotEndpoint reuse.
	snapshots []endpointSnapshot
}

// Acquire returns a grant for an endpoint, or a refusal. It queues the job if an endpoint
// may become available in time.
func (d *Dispatcher) Acquire(ctx context.Context, job *Job) (*Grant, *Refusal) {
	now := time.Now()
	d.mu.Lock()
	service := d.service(job.Service)
	service.demand.record(now)
	queued := &queuedJob{job: job, enqueuedAt: now, done: make(chan struct{})}
	d.admit(service, queued, now)
	decided := queued.decided()
	d.mu.Unlock()
	if decided {
		return queued.grant, queued.refusal
	}
	return d.await(ctx, service, queued)
}

// await waits until the queued job is decided. It removes the job from the queue and
// returns a refusal if the deadline passes or ctx ends first.
func (d *Dispatcher) await(ctx context.Context, service *serviceState, queued *queuedJob) (*Grant, *Refusal) {
	timer := time.NewTimer(time.Until(queued.deadline))
	defer timer.Stop()
	reason := ClientDisconnected
	select {
	case <-queued.done:
		return queued.grant, queued.refusal
	case <-timer.C:
		reason = Overloaded
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if queued.decided() {
		return queued.grant, queued.refusal
	}
	service.remove(queued)
	return nil, &Refusal{Reason: reason, RetryAfter: overloadedRetryAfter, QueueTime: time.Since(queued.enqueuedAt)}
}

// ownershipOf returns the up-to-date ownership of the endpoints of a service with engines.
func (d *Dispatcher) ownershipOf(view *clusterstate.View, service string) *ownership {
	current := d.ownership[service]
	if current == nil {
		current = &ownership{}
		if d.ownership == nil {
			d.ownership = map[string]*ownership{}
		}
		d.ownership[service] = current
	}
	current.update(view, service, d.Self, d.peers)
	return current
}

// service returns the state of a service, and creates it if there is none.
func (d *Dispatcher) service(name string) *serviceState {
	if d.services == nil {
		d.services = map[string]*serviceState{}
	}
	current := d.services[name]
	if current == nil {
		current = &serviceState{}
		d.services[name] = current
	}
	return current
}

// state returns the state of an endpoint, and creates it if there is none.
func (d *Dispatcher) state(id string) *endpointState {
	if d.endpoints == nil {
		d.endpoints = map[string]*endpointState{}
	}
	current := d.endpoints[id]
	if current == nil {
		current = &endpointState{}
		d.endpoints[id] = current
	}
	return current
}

// RecordStatus records the engine status that the loader of an endpoint reported.
func (d *Dispatcher) RecordStatus(endpoint string, status engine.Status, responding bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	state := d.state(endpoint)
	changed := responding != state.responding || !state.status.Equal(status)
	state.status, state.responding, state.statusAt = status, responding, now
	if changed {
		d.drainAllQueues(now)
	}
}
