// Package dispatch decides which endpoint gets a request, and which requests wait
// or are refused. It does no I/O.
//
// A gateway counts its own requests at each endpoint and hears those of the others
// in their digests, so that together they fill the places of an endpoint and no
// more. A request that cannot be served in time is refused at once.
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

// Dispatcher decides for one gateway. Set the exported fields before the first
// call; the methods are safe for concurrent use.
type Dispatcher struct {
	// Self is the gateway.
	Self peering.Member
	// View returns the endpoints, Service describes a service.
	View    func() *clusterstate.View
	Service func(name string) (*configuration.Service, bool)
	// MinVersion returns the version of a model below which nothing may begin any more;
	// 0 means none.
	MinVersion func(model string) int64
	// Peers returns the digests of the other gateways that are alive.
	Peers func() []peering.Peer

	mu        sync.Mutex
	endpoints map[string]*endpointState
	ownership map[string]*ownership
	services  map[string]*serviceState
	// demandRatios holds how much each other gateway asks for, as a multiple of the own
	// demand.
	demandRatios map[string]float64
	// peers are the other gateways that are alive.
	peers []peering.Peer
	// snapshots is the memory of the last survey.
	snapshots []endpointSnapshot
}

// Acquire returns the endpoint for a job, waiting for one if that helps.
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

// await returns when the job was settled, or gives it up.
func (d *Dispatcher) await(ctx context.Context, service *serviceState, queued *queuedJob) (*Grant, *Refusal) {
	timer := time.NewTimer(time.Until(queued.deadline))
	defer timer.Stop()
	reason := CallerLeft
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

// ownershipOf returns who owns the endpoints of a service of engines.
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

// RecordStatus records what an engine's loader said.
func (d *Dispatcher) RecordStatus(endpoint string, status engine.Status, answering bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	state := d.state(endpoint)
	changed := answering != state.answering || !state.status.Equal(status)
	state.status, state.answering, state.statusAt = status, answering, now
	if changed {
		d.drainAllQueues(now)
	}
}
