// Package dispatch decides which endpoint gets a request, and which requests wait
// or are refused. It does no I/O.
//
// A gateway counts its own requests at each endpoint and hears those of the others
// in their digests, so that together they fill the places of an endpoint and no
// more. A request that cannot be served in time is refused at once.
package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/fleet"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// Dispatcher decides for one gateway. Set the exported fields before the first
// call; the methods are safe for concurrent use.
type Dispatcher struct {
	// Region and AvailabilityZone are those of the gateway.
	Region           string
	AvailabilityZone string
	// View returns the endpoints, Service describes a service.
	View    func() *fleet.View
	Service func(name string) (*configuration.Service, bool)
	// Demanded returns the version of a model below which nothing may begin any more;
	// 0 means none.
	Demanded func(model string) int64
	// Others returns the digests of the other gateways that are alive.
	Others func() []peering.Peer

	mu        sync.Mutex
	endpoints map[string]*endpointState
	services  map[string]*serviceState
	// shares holds how much each other gateway asks for, as a multiple of the own
	// demand.
	shares map[string]float64
}

// Acquire returns the endpoint for a job, waiting for one if that helps.
func (d *Dispatcher) Acquire(ctx context.Context, job *Job) (*Grant, *Refusal) {
	now := time.Now()
	d.mu.Lock()
	service := d.service(job.Service)
	service.demand.note(now)
	waiting := &waiter{job: job, since: now, done: make(chan struct{})}
	d.admit(service, waiting, now)
	d.mu.Unlock()
	if waiting.settled() {
		return waiting.grant, waiting.refusal
	}
	return d.await(ctx, service, waiting)
}

// await returns when the job was settled, or gives it up.
func (d *Dispatcher) await(ctx context.Context, service *serviceState, waiting *waiter) (*Grant, *Refusal) {
	timer := time.NewTimer(time.Until(waiting.giveUp))
	defer timer.Stop()
	reason := CallerLeft
	select {
	case <-waiting.done:
		return waiting.grant, waiting.refusal
	case <-timer.C:
		reason = Overloaded
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if waiting.settled() {
		return waiting.grant, waiting.refusal
	}
	service.remove(waiting)
	now := time.Now()
	return nil, &Refusal{Reason: reason, ComeBack: d.comeBack(service, waiting.job, now), Waited: now.Sub(waiting.since)}
}

// admit grants the job an endpoint, lets it wait, or refuses it.
func (d *Dispatcher) admit(service *serviceState, waiting *waiter, now time.Time) {
	any := d.eligible(waiting.job, now)
	if !any {
		waiting.refuse(&Refusal{Reason: NoEndpoint, ComeBack: noEndpointRetry})
		return
	}
	if !service.blocked(waiting.job) && d.grant(waiting, now) {
		return
	}
	waiting.giveUp = d.giveUp(waiting.job, now)
	if !waiting.giveUp.After(now) {
		waiting.refuse(&Refusal{Reason: Overloaded, ComeBack: d.comeBack(service, waiting.job, now)})
		return
	}
	service.add(waiting)
}

// noEndpointRetry is when to come back if no endpoint may take a request: about when
// a restarted engine holds its weights again.
const noEndpointRetry = time.Second

// giveUp returns until when a job may wait for an endpoint.
func (d *Dispatcher) giveUp(job *Job, now time.Time) time.Time {
	described, known := d.Service(job.Service)
	if !known || described.Engine == nil {
		return now.Add(min(maxPlainWait, time.Until(job.Deadline)/2))
	}
	quickest := predict(described.Engine, described.Engine.Slots-1, 0, job.PromptTokens, 1)
	latest := job.Objective.Add(-quickest)
	return earlier(latest, now.Add(maxDraftWait))
}

// maxDraftWait is how long a request of a model waits for an endpoint: one that waits
// longer is refused late and had better be tried elsewhere in time.
const maxDraftWait = 150 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// maxPlainWait is how long a call of a plain service waits for an endpoint.
const maxPlainWait = 200 * time.Millisecond

// comeBack returns when a refused job should come back.
func (d *Dispatcher) comeBack(_ *serviceState, _ *Job, _ time.Time) time.Duration {
	return refusedRetry
}

// refusedRetry is when to come back to endpoints that are full.
const refusedRetry = 2000 * time.Millisecond

// serve settles the waiting jobs that an endpoint can take now.
func (d *Dispatcher) serve(service *serviceState) {
	now := time.Now()
	for _, waiting := range slices.Clone(service.waiting) {
		if d.grant(waiting, now) {
			service.remove(waiting)
		}
	}
}

// grant gives the job the best endpoint that has room, and reports whether there is
// one.
func (d *Dispatcher) grant(waiting *waiter, now time.Time) bool {
	best := candidate{}
	count := 0
	d.candidates(waiting.job, now, func(found candidate) {
		count++
		if found.room && (best.state == nil || found.betterThan(&best)) {
			best = found
		}
	})
	if best.state == nil {
		return false
	}
	job := waiting.job
	best.state.running++
	best.state.unread += job.PromptTokens
	best.state.noteSend(now, job.PromptTokens)
	waiting.settle(&Grant{
		Endpoint: best.endpoint, Version: job.Version, dispatcher: d, state: best.state, job: job, unread: true,
		Facts: Facts{
			Running: best.running, Unread: best.unread, OthersAge: best.age, Expected: best.expected,
			Waited: now.Sub(waiting.since), Candidates: count,
		},
	})
	return true
}

// eligible reports whether any endpoint may take the job, now or later.
func (d *Dispatcher) eligible(job *Job, now time.Time) bool {
	any := false
	d.candidates(job, now, func(candidate) { any = true })
	return any
}

func (d *Dispatcher) service(name string) *serviceState {
	if d.services == nil {
		d.services = map[string]*serviceState{}
	}
	held := d.services[name]
	if held == nil {
		held = &serviceState{}
		d.services[name] = held
	}
	return held
}

func (d *Dispatcher) state(id string) *endpointState {
	if d.endpoints == nil {
		d.endpoints = map[string]*endpointState{}
	}
	held := d.endpoints[id]
	if held == nil {
		held = &endpointState{}
		d.endpoints[id] = held
	}
	return held
}

// NoteStatus records what an engine's loader said.
func (d *Dispatcher) NoteStatus(endpoint string, status engine.Status, answering bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.state(endpoint)
	held.status, held.answering, held.statusAt = status, answering, time.Now()
	d.serveAll()
}

// NoteDigest records what another gateway has at the endpoints.
func (d *Dispatcher) NoteDigest(digest peering.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	name := digest.Member.Name
	told := make(map[string]bool, len(digest.Loads))
	for _, load := range digest.Loads {
		told[load.Endpoint] = true
		held := d.state(load.Endpoint)
		if held.others == nil {
			held.others = map[string]foreignLoad{}
		}
		held.others[name] = foreignLoad{running: load.Running, unread: load.Unread, heard: now}
	}
	for id, held := range d.endpoints {
		if !told[id] {
			delete(held.others, name)
		}
	}
	d.updateShares(now)
	d.serveAll()
}

// maxShare bounds what a gateway with little demand of its own assumes of others.
const maxShare = 3

// updateShares compares the demands of the gateways that are alive.
func (d *Dispatcher) updateShares(now time.Time) {
	own := 0.0
	for _, service := range d.services {
		own += service.demand.rate(now)
	}
	d.shares = map[string]float64{}
	for _, peer := range d.Others() {
		theirs := 0.0
		for _, demand := range peer.Digest.Demands {
			theirs += demand.Rate
		}
		d.shares[peer.Digest.Member.Name] = min(maxShare, (theirs+1)/(own+1))
	}
	for _, held := range d.endpoints {
		for name := range held.others {
			if _, alive := d.shares[name]; !alive {
				delete(held.others, name)
			}
		}
	}
}

func (d *Dispatcher) serveAll() {
	for _, service := range d.services {
		d.serve(service)
	}
}

// Digest returns the gateway's own load, for the others.
func (d *Dispatcher) Digest() (loads []peering.Load, demands []peering.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, held := range d.endpoints {
		if held.running > 0 {
			loads = append(loads, peering.Load{Endpoint: id, Running: held.running, Unread: held.unread})
		}
	}
	now := time.Now()
	for name, service := range d.services {
		demands = append(demands, peering.Demand{Service: name, Rate: service.demand.rate(now), Waiting: len(service.waiting)})
	}
	return loads, demands
}

// Answered notes that the endpoint began to answer.
func (g *Grant) Answered() {
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	g.read()
	g.state.health.succeeded(time.Now())
}

// read takes the job's prompt off the unread tokens.
func (g *Grant) read() {
	if g.unread {
		g.unread = false
		g.state.unread -= g.job.PromptTokens
	}
}

// Failed notes that the endpoint did not answer as it should.
func (g *Grant) Failed() {
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	g.state.health.failed(time.Now())
}

// Erred notes that the endpoint answered with a failure of its own.
func (g *Grant) Erred() {
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	g.state.health.erred(time.Now())
}

// Refused notes that the endpoint did not take the request.
func (g *Grant) Refused() {
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	g.state.health.refused(time.Now())
}

// Misdirected notes that another endpoint answers at the endpoint's address.
func (g *Grant) Misdirected() {
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	g.state.misdirected = g.Endpoint.Incarnation
	if g.Endpoint.Incarnation == 0 {
		g.state.health.failed(time.Now())
	}
}

// End gives the endpoint's place back.
func (g *Grant) End() {
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	g.read()
	g.state.running--
	d.serve(d.service(g.job.Service))
}
