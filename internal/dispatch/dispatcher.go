// Package dispatch decides which endpoint receives a request and which requests are
// queued or refused. It does no I/O.
//
// A gateway counts its own requests at each endpoint and receives the counts of the
// other gateways in their digests, so that together they fill the slots of an endpoint
// without exceeding them. A request that cannot be served in time is refused immediately.
package dispatch

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/peering"
	"github.com/mimosaward/mimosaward/internal/scarcity"
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
	// Peers returns the latest digests of the other live gateways of the cell.
	Peers func() []peering.Peer
	// CellEndpoints returns a function that reports whether the gateways of the cell send
	// requests to an engine, given the ID and the region of its endpoint. It returns nil if
	// they do so to every engine.
	CellEndpoints func() func(id, region string) bool
	// FleetGateways returns the names of the gateways of all cells that take requests. It may
	// be nil if there is only this one.
	FleetGateways func() []string
	// Priorities returns the priorities of the routes to a service, in ascending order without
	// duplicates. It may be nil if no service has routes of different priorities.
	Priorities func(service string) []int
	// Stopping reports whether this gateway is about to stop. A nil Stopping means that it is
	// not.
	Stopping func() bool

	mu        sync.Mutex
	endpoints map[string]*endpointState
	ownership map[string]*ownership
	services  map[string]*serviceState
	// demandRatios holds the demand of each other gateway as a multiple of this
	// gateway's demand.
	demandRatios map[string]float64
	// peers are the other live gateways of the cell. gateways are the ready ones of them
	// and this one, ordered by name.
	peers    []peering.Peer
	gateways []peering.Member
	// peersCheckedAt is when peers and gateways were last determined.
	peersCheckedAt time.Time
	// snapshots is the buffer that snapshotEndpoints and snapshotEndpoint reuse.
	snapshots []endpointSnapshot
	// loads holds what endpoints report of their load, by service.
	loads map[string]*serviceLoad
	// candidates is the buffer of chooseAmongClose.
	candidates []candidate
	// limitSeenAt is when an endpoint was last known to have a request limit.
	limitSeenAt time.Time
	// readiness replaces readyIn in tests.
	readiness func(job *Job, now time.Time) (time.Duration, bool)
	// fleetGateways are the gateways of all cells that took requests at fleetCheckedAt.
	fleetGateways  []string
	fleetCheckedAt time.Time
}

// Acquire returns a grant for an endpoint or, if the grant is nil, the refusal. It queues the
// job if an endpoint may become available in time and the job is not Immediate.
func (d *Dispatcher) Acquire(ctx context.Context, job *Job) (*Grant, Refusal) {
	d.recordDemand(job)
	return d.decide(ctx, job)
}

// AwaitEndpoint is like Acquire for a job whose demand is already recorded.
func (d *Dispatcher) AwaitEndpoint(ctx context.Context, job *Job) (*Grant, Refusal) {
	return d.decide(ctx, job)
}

// predict returns the predicted latency of the job at the endpoint that could take it now.
// If there is none, it returns a refusal, whose reason is NoEndpoint or EndpointLimited if no
// endpoint of the cell may take the job soon.
func (d *Dispatcher) predict(job *Job) (time.Duration, *Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	found, config := d.findEndpoint(job, now)
	best := found.best
	switch {
	case found.count == 0:
		refusal := found.refusal()
		return 0, &refusal
	case best.endpointSnapshot == nil || d.service(job.Service).hasJobAhead(job, d.standing(job, config, now)):
		return 0, &Refusal{Reason: Overloaded, RetryAfter: overloadedRetryAfter}
	default:
		return best.predicted, nil
	}
}

func (d *Dispatcher) recordDemand(job *Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	service := d.service(job.Service)
	service.demand.record(now)
	if !job.late(now) && d.sharesApply(job) {
		service.shares.RecordDemand(job.Workspace, scarcity.Tokens(job.PromptTokens, job.ResponseTokens), now)
	}
}

func (d *Dispatcher) decide(ctx context.Context, job *Job) (*Grant, Refusal) {
	queued := &queuedJob{job: job, enqueuedAt: time.Now(), done: make(chan struct{})}
	service, decided := d.tryAdmit(queued, waitLimit(ctx, job))
	if decided {
		return queued.grant, queued.refusal
	}
	return d.await(ctx, service, queued)
}

// tryAdmit assigns the job to an endpoint, queues it, or refuses it. A late job waits until limit
// at most. It reports whether the job is decided.
func (d *Dispatcher) tryAdmit(queued *queuedJob, limit time.Time) (*serviceState, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := d.service(queued.job.Service)
	d.admit(service, queued, limit, queued.enqueuedAt)
	return service, queued.decided()
}

// await waits until the queued job is decided. It removes the job from the queue and
// returns a refusal if the deadline passes or ctx ends first.
func (d *Dispatcher) await(ctx context.Context, service *serviceState, queued *queuedJob) (*Grant, Refusal) {
	timer := time.NewTimer(time.Until(queued.deadline))
	defer timer.Stop()
	reason := ClientDisconnected
	select {
	case <-queued.done:
		return queued.grant, queued.refusal
	case <-timer.C:
		reason = queued.reason
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if queued.decided() {
		return queued.grant, queued.refusal
	}
	service.remove(queued)
	refusal := Refusal{Reason: reason, RetryAfter: overloadedRetryAfter, QueueTime: time.Since(queued.enqueuedAt)}
	if reason == ClientDisconnected {
		return nil, refusal
	}
	now := time.Now()
	if queued.standing.late {
		service.lateCounts.Refused++
	}
	if reason == NoEndpoint {
		refusal.RetryAfter = noEndpointRetryAfter
		return nil, refusal
	}
	service.recordLack(queued, now)
	refusal.RetryAfter = d.overloaded(service, queued, now).RetryAfter
	return nil, refusal
}

// ownershipOf returns the up-to-date ownership of the endpoints of a service with engines.
func (d *Dispatcher) ownershipOf(view *clusterstate.View, service string, now time.Time) *ownership {
	current := d.ownership[service]
	if current == nil {
		current = &ownership{}
		if d.ownership == nil {
			d.ownership = map[string]*ownership{}
		}
		d.ownership[service] = current
	}
	d.refreshPeers(now)
	if d.gateways == nil {
		d.gateways = readyGateways(d.Self, d.peers)
	}
	current.mode = d.ownershipMode(service)
	current.update(view, service, d.gateways, d.CellEndpoints, now)
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
	if d.state(endpoint).recordStatus(status, responding, now) {
		d.drainAllQueues(now)
	}
}

// OwnedEndpoints returns the IDs of the engines of a service whose loaders this gateway
// polls: those that it owns, or all engines of the cell if they have no owners because their
// service has no models. The other gateways receive their statuses in its digests.
func (d *Dispatcher) OwnedEndpoints(service string) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	owners := d.ownershipOf(d.View(), service, time.Now())
	if owners.owners == nil {
		return maps.Clone(owners.inCell)
	}
	owned := map[string]bool{}
	for _, id := range owners.ownedBy(d.Self.Name) {
		owned[id] = true
	}
	return owned
}
