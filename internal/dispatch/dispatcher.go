// Package dispatch decides which endpoint gets a request, and which requests wait
// or are refused. It does no I/O.
package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/fleet"
)

// Dispatcher decides for one gateway. Set the exported fields before the first
// call; the methods are safe for concurrent use.
type Dispatcher struct {
	// Region and AvailabilityZone are those of the gateway.
	Region           string
	AvailabilityZone string
	// View returns the endpoints.
	View func() *fleet.View
	// Gateways returns the number of gateways that share the endpoints.
	Gateways func() int

	mu        sync.Mutex
	endpoints map[string]*endpointState
	freed     chan struct{}
}

// endpointState is what the gateway knows about an endpoint from its own
// requests.
type endpointState struct {
	own         int
	pausedUntil time.Time
	// status is what the engine's loader said last, at statusAt.
	status    engine.Status
	answering bool
	statusAt  time.Time
}

// NoteStatus records what an engine's loader said.
func (d *Dispatcher) NoteStatus(endpoint string, status engine.Status, answering bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.state(endpoint)
	held.status, held.answering, held.statusAt = status, answering, time.Now()
	d.announce()
}

// statusMaxAge is how long a loader's word goes before the endpoint's own entry in
// the store.
const statusMaxAge = 2 * time.Second

// version returns the version of a model that an endpoint serves now, 0 if none.
func (s *endpointState) version(endpoint *fleet.Endpoint, model string, now time.Time) int64 {
	if now.Sub(s.statusAt) > statusMaxAge || s.status.Incarnation < endpoint.Incarnation {
		return endpoint.Version(model)
	}
	if s.status.Busy || !s.answering {
		return 0
	}
	return s.status.Version(model)
}

// Acquire returns the endpoint for a job, waiting for one if that helps.
func (d *Dispatcher) Acquire(ctx context.Context, job *Job) (*Grant, *Refusal) {
	give := time.Now().Add(maxWait)
	for {
		d.mu.Lock()
		if d.freed == nil {
			d.freed = make(chan struct{})
		}
		freed := d.freed
		grant, any := d.pick(job)
		d.mu.Unlock()
		switch {
		case grant != nil:
			return grant, nil
		case !any:
			return nil, &Refusal{Reason: NoEndpoint, ComeBack: time.Second}
		}
		left := time.Until(give)
		if left <= 0 {
			return nil, &Refusal{Reason: Overloaded, ComeBack: 500 * time.Millisecond}
		}
		timer := time.NewTimer(left)
		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, &Refusal{Reason: CallerLeft}
		}
		timer.Stop()
	}
}

const maxWait = 50 * time.Millisecond

func (d *Dispatcher) pick(job *Job) (grant *Grant, any bool) {
	view := d.View()
	now := time.Now()
	var best *endpointState
	var chosen fleet.Endpoint
	for _, endpoint := range view.Service(job.Service) {
		if endpoint.Draining || view.Evacuated(endpoint.AvailabilityZone) || slices.Contains(job.Tried, endpoint.ID) {
			continue
		}
		if len(job.Regions) > 0 && !slices.Contains(job.Regions, endpoint.Region) {
			continue
		}
		state := d.state(endpoint.ID)
		if job.Model != "" && state.version(&endpoint, job.Model, now) == 0 {
			continue
		}
		if now.Before(state.pausedUntil) {
			continue
		}
		any = true
		limit := 1 + endpoint.Slots/max(1, d.Gateways())
		if state.own >= limit {
			continue
		}
		if best == nil || state.own < best.own {
			best, chosen = state, endpoint
		}
	}
	if best == nil {
		return nil, any
	}
	best.own++
	return &Grant{Endpoint: chosen, dispatcher: d, state: best}, true
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

// Failed leaves the endpoint out for a while.
func (g *Grant) Failed(pause time.Duration) {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.state.pausedUntil = time.Now().Add(pause)
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
	g.state.own--
	d.announce()
}

// announce wakes the jobs that wait.
func (d *Dispatcher) announce() {
	if d.freed != nil {
		close(d.freed)
		d.freed = nil
	}
}
