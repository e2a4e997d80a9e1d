package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
)

// Grant is the permission to send a job to an endpoint. End must be called.
type Grant struct {
	Endpoint clusterstate.Endpoint
	// Version is the version of the model that must answer; 0 means that none is
	// demanded.
	Version int64
	// Decision are what the decision was made on.
	Decision Decision

	dispatcher     *Dispatcher
	state          *endpointState
	job            *Job
	prefillPending bool
	released       bool
}

// Decision are what a decision was made on.
type Decision struct {
	// Running is the number of requests at the endpoint, those of this gateway and
	// of others; Unread the prompt tokens of them that were not answered yet.
	Running        int
	PendingPrefill int
	// DigestAge is the age of the oldest digest that counted.
	DigestAge time.Duration
	// PredictedLatency is the predicted time to the first event or the answer.
	PredictedLatency time.Duration
	// QueueTime is how long the job waited for the endpoint.
	QueueTime time.Duration
	// Owned is true if the gateway owns the endpoint, false if it was lent or is shared.
	Owned bool
	// Candidates is the number of endpoints that could take the job.
	Candidates int
}

// RecordAnswer notes that the endpoint began to answer.
func (g *Grant) RecordAnswer() {
	g.update(func(now time.Time) {
		g.finishPrefill()
		g.state.health.recordSuccess(now)
	})
}

// RecordFailure notes that the endpoint did not answer as it should.
func (g *Grant) RecordFailure() { g.update(func(now time.Time) { g.state.health.recordFailure(now) }) }

// RecordError notes that the endpoint answered with a failure of its own.
func (g *Grant) RecordError() { g.update(func(now time.Time) { g.state.health.recordError(now) }) }

// RecordRefusal notes that the endpoint did not take the request.
func (g *Grant) RecordRefusal() { g.update(func(now time.Time) { g.state.health.recordRefusal(now) }) }

// RecordMisdirected notes that another endpoint answers at the endpoint's address.
func (g *Grant) RecordMisdirected() {
	g.update(func(now time.Time) {
		g.state.misdirectedIncarnation = g.Endpoint.Incarnation
		if g.Endpoint.Incarnation == 0 {
			g.state.health.recordFailure(now)
		}
	})
}

// Release gives the endpoint's place back.
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

// finishPrefill takes the job's prompt off the unread tokens.
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
