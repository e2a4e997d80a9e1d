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

	grantedAt time.Time
	// record applies an outcome to the state of the dispatcher that granted the job.
	record   func(Outcome)
	released bool
}

// Outcome is what became of a granted job.
type Outcome int

// Outcomes of granted jobs. Released follows the others.
const (
	// Responded means that the endpoint started to respond.
	Responded Outcome = iota
	// Failed means that the endpoint sent no valid response.
	Failed
	// Errored means that the endpoint responded with an error of its own.
	Errored
	// Refused means that the endpoint refused the request.
	Refused
	// Misdirected means that another endpoint responded at the endpoint's address.
	Misdirected
	// Released means that the job no longer uses the endpoint.
	Released
	// Unresponsive means that the gateway withdrew the request because the endpoint had not
	// begun it in time.
	Unresponsive
)

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
	// Lender names the gateway of another cell that granted the job, empty if this
	// gateway's own dispatcher did.
	Lender string
	// Announcement is what the gateway that granted the job knew of the endpoint.
	Announcement clusterstate.Announcement
	// ServedVersion is the version of the job's model that the endpoint served, 0 for a plain
	// service.
	ServedVersion int64
	// Rank is the rank with which the job competed; 0 is the most urgent. Reserve is the number of
	// places of each engine that it left to others, and Late is true for a late job for an engine.
	Rank    int
	Reserve int
	Late    bool
	// Candidates is the number of endpoints that could take the job.
	Candidates int
}

// NewRemoteGrant returns a grant of another gateway's dispatcher. record passes the outcomes
// on to that gateway.
func NewRemoteGrant(endpoint clusterstate.Endpoint, version int64, decision Decision, record func(Outcome)) *Grant {
	return &Grant{Endpoint: endpoint, Version: version, Decision: decision, grantedAt: time.Now(), record: record}
}

// maxGrantAge is the age from which a grant must not be used any more: the load at the
// endpoint has changed since. It is about the time of a request.
const maxGrantAge = time.Second

// Expired reports whether the grant is too old to be used, for example because the process
// was suspended. It compares the time of day too, because the monotonic clock does not
// count the time of a suspended instance.
func (g *Grant) Expired(now time.Time) bool {
	return now.Sub(g.grantedAt) > maxGrantAge || now.Round(0).Sub(g.grantedAt.Round(0)) > maxGrantAge
}

// Record records an outcome other than Released.
func (g *Grant) Record(outcome Outcome) { g.record(outcome) }

// Release releases the endpoint's slot. Further calls have no effect. It must not be called
// concurrently.
func (g *Grant) Release() {
	if !g.released {
		g.released = true
		g.record(Released)
	}
}

// localGrant is the state of a grant in the dispatcher that granted it.
type localGrant struct {
	dispatcher     *Dispatcher
	state          *endpointState
	endpoint       clusterstate.Endpoint
	job            *Job
	prefillPending bool
	grantedAt      time.Time
	// callFactor is how much longer the call was predicted to take than at an idle endpoint of
	// the usual speed, 0 if that is not known or was recorded.
	callFactor float64
	// tokens is the number of tokens that the job takes in the memory of an engine.
	tokens int
}

// apply applies an outcome to the state of the endpoint.
func (l *localGrant) apply(outcome Outcome) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	now := time.Now()
	switch outcome {
	case Responded:
		l.finishPrefill()
		l.recordCall(now)
		l.state.health.recordSuccess(now)
		// Late jobs also wait for pending prompts.
		if len(l.dispatcher.service(l.job.Service).late) > 0 {
			l.dispatcher.drainQueueAt(l.job.Service, l.endpoint.ID, now)
		}
	case Failed:
		l.state.health.recordFailure(now)
	case Unresponsive:
		l.state.health.recordUnresponsive(now)
	case Errored:
		l.state.health.recordError(now)
	case Refused:
		l.state.health.recordRefusal(now)
	case Misdirected:
		l.state.misdirectedIncarnation, l.state.misdirectedUntil = l.endpoint.Incarnation, now.Add(misdirectionMaxAge)
		if l.endpoint.Incarnation == 0 {
			l.state.health.recordFailure(now)
		}
	case Released:
		l.finishPrefill()
		l.state.running--
		l.state.tokens -= l.tokens
		l.dispatcher.drainQueueAt(l.job.Service, l.endpoint.ID, now)
	}
}

// finishPrefill subtracts the job's prompt from the endpoint's pending prefill, once.
func (l *localGrant) finishPrefill() {
	if l.prefillPending {
		l.prefillPending = false
		l.state.pendingPrefill -= l.job.PromptTokens
	}
}
