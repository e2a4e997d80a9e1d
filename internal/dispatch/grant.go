package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
)

// Grant is the permission to send a job to an endpoint. The caller must call Release.
type Grant struct {
	Endpoint clusterstate.Endpoint
	// Version is the version of the model that must serve the job; 0 means any.
	Version int64
	// Decision describes the state on which the endpoint was selected.
	Decision Decision

	dispatcher     *Dispatcher
	state          *endpointState
	job            *Job
	prefillPending bool
	released       bool
}

// Decision describes the state on which an endpoint was selected.
type Decision struct {
	// Running is the number of requests of all gateways at the endpoint. PendingPrefill
	// is the number of prompt tokens in those whose response has not started.
	Running        int
	PendingPrefill int
	// DigestAge is the age of the oldest digest used.
	DigestAge time.Duration
	// PredictedLatency is the predicted time to the first event or the response.
	PredictedLatency time.Duration
	// QueueTime is how long the job was queued.
	QueueTime time.Duration
	// Owned is true if the gateway owns the endpoint, false if the endpoint is borrowed
	// or shared.
	Owned bool
	// Candidates is the number of endpoints that could take the job.
	Candidates int
}

// RecordResponse records that the endpoint started to respond.
func (g *Grant) RecordResponse() {
	g.update(func(now time.Time) {
		g.finishPrefill()
		g.state.health.recordSuccess(now)
	})
}

// RecordFailure records that the endpoint sent no valid response.
func (g *Grant) RecordFailure() { g.update(func(now time.Time) { g.state.health.recordFailure(now) }) }

// RecordError records that the endpoint responded with an error of its own.
func (g *Grant) RecordError() { g.update(func(now time.Time) { g.state.health.recordError(now) }) }

// RecordRefusal records that the endpoint refused the request.
func (g *Grant) RecordRefusal() { g.update(func(now time.Time) { g.state.health.recordRefusal(now) }) }

// RecordMisdirected records that another endpoint responded at the endpoint's
// address.
func (g *Grant) RecordMisdirected() {
	g.update(func(now time.Time) {
		g.state.misdirectedIncarnation = g.Endpoint.Incarnation
		if g.Endpoint.Incarnation == 0 {
			g.state.health.recordFailure(now)
		}
	})
}

// Release releases the endpoint's slot. Further calls have no effect.
func (g *Grant) Release() {
	g.update(func(now time.Time) {
		if g.released {
			return
		}
		g.released = true
		g.finishPrefill()
		g.state.running--
		g.dispatcher.drainQueueAt(g.job.Service, g.Endpoint.ID, now)
	})
}

// finishPrefill subtracts the job's prompt from the endpoint's pending prefill, once.
func (g *Grant) finishPrefill() {
	if g.prefillPending {
		g.prefillPending = false
		g.state.pendingPrefill -= g.job.PromptTokens
	}
}

func (g *Grant) update(change func(now time.Time)) {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	change(time.Now())
}
