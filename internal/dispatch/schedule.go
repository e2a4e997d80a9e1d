package dispatch

import (
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// admit grants the job an endpoint, lets it wait, or refuses it.
func (d *Dispatcher) admit(service *serviceState, waiting *waiter, now time.Time) {
	described, known := d.Service(waiting.job.Service)
	if !known {
		waiting.refuse(&Refusal{Reason: NoEndpoint, RetryAfter: noEndpointRetry})
		return
	}
	best, count := d.choose(waiting.job, described, d.survey(described, now), now)
	if count == 0 {
		waiting.refuse(&Refusal{Reason: NoEndpoint, RetryAfter: noEndpointRetry})
		return
	}
	if best.opening != nil && !service.blocked(waiting.job) {
		d.grant(waiting, best, count, now)
		return
	}
	waiting.giveUp = giveUp(described, waiting.job, now)
	if !waiting.giveUp.After(now) {
		waiting.refuse(&Refusal{Reason: Overloaded, RetryAfter: refusedRetry})
		return
	}
	service.add(waiting)
}

const (
	// noEndpointRetry is when to come back if no endpoint may take a request: about when
	// a restarted engine holds its weights again.
	noEndpointRetry = time.Second
	// refusedRetry is when to come back to endpoints that are full.
	refusedRetry = 2 * time.Second
	// maxDraftWait is how long a request of a model waits for an endpoint: one that
	// waits longer is refused late and had better be tried elsewhere in time.
	maxDraftWait = 150 * time.Millisecond
	// maxPlainWait is how long a call of a plain service waits for an endpoint.
	maxPlainWait = 200 * time.Millisecond
)

// giveUp returns until when a job may wait for an endpoint.
func giveUp(described *configuration.Service, job *Job, now time.Time) time.Time {
	if described.Engine == nil {
		return now.Add(min(maxPlainWait, job.Deadline.Sub(now)/2))
	}
	quickest := predict(described.Engine, described.Engine.Slots-1, 0, job.PromptTokens, 1)
	latest := job.TargetTime.Add(-quickest)
	if longest := now.Add(maxDraftWait); longest.Before(latest) {
		return longest
	}
	return latest
}

// serve settles the waiting jobs of a service that the openings can take.
func (d *Dispatcher) serve(service *serviceState, described *configuration.Service, openings []opening, now time.Time) {
	if !slices.ContainsFunc(openings, func(open opening) bool { return open.free }) {
		return
	}
	for _, waiting := range slices.Clone(service.waiting) {
		best, count := d.choose(waiting.job, described, openings, now)
		if best.opening == nil {
			continue
		}
		service.remove(waiting)
		open := best.opening
		d.grant(waiting, best, count, now)
		open.running, open.unread, open.age = open.state.load(now, d.shares)
		open.free = d.isFree(open, described, now)
	}
}

// serveAll settles the waiting jobs of all services that can be sent now.
func (d *Dispatcher) serveAll(now time.Time) {
	for name, service := range d.services {
		if described, known := d.Service(name); known && len(service.waiting) > 0 {
			d.serve(service, described, d.survey(described, now), now)
		}
	}
}

// serveAt settles the waiting jobs of a service that an endpoint with a free place can
// take.
func (d *Dispatcher) serveAt(name, endpoint string, now time.Time) {
	service := d.service(name)
	if described, known := d.Service(name); known && len(service.waiting) > 0 {
		d.serve(service, described, d.surveyOne(described, endpoint, now), now)
	}
}

// grant gives the job the endpoint.
func (d *Dispatcher) grant(waiting *waiter, best candidate, count int, now time.Time) {
	job := waiting.job
	best.state.running++
	best.state.unread += job.PromptTokens
	best.state.noteSend(now, job.PromptTokens)
	waiting.settle(&Grant{
		Endpoint: *best.endpoint, Version: job.Version, dispatcher: d, state: best.state, job: job, unread: true,
		Decision: Decision{
			Running: best.running, PendingPrefill: best.unread, DigestAge: best.age, PredictedLatency: best.expected,
			QueueTime: now.Sub(waiting.since), Owned: best.owned, Candidates: count,
		},
	})
}
